#!/usr/bin/env bash
# Builds the stand-ins and requesters of the scripts in review/11 to review/15, after the build
# of the deploy file. The project's own stand-ins that they use are packages of the program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/_rig3
