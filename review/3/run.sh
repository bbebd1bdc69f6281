#!/usr/bin/env bash
# Runs the case on loopback addresses; see claim.txt. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lavender-host ] || [ ! -x review/rig/bin/rig ]; then
  echo "build first: the line 'build' of deploy/system.toml, and review/build.sh" >&2
  exit 2
fi
exec review/rig/bin/rig late-creation "review/3/record.txt"
