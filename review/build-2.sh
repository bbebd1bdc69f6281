#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/_rig2/bin/rig ./review/_rig2
