#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, from the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig"
go build -o bin/rig .
