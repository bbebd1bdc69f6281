#!/usr/bin/env bash
# Plays case 8; claim.txt tells what it shows. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/_rig2/bin/rig ] || { echo "run review/build-2.sh first" >&2; exit 2; }
timeout --kill-after=5 113 review/_rig2/bin/rig stop review/8 &
pid=$!
trap 'kill "$pid" 2>/dev/null' EXIT
wait "$pid"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
