#!/usr/bin/env bash
# Starts all processes of a demonstration run, generates the load, stops the
# processes gracefully and verifies the result. Options (make demo DEMO_ARGS=...):
#   --seed N --duration D --entries N --engines N
#   --fault TIME,PROCESS,JSON   fault to inject into a stand-in, see docs/standins-backends.md
#   --kill SECONDS,PROCESS      SIGKILL
#   --stop SECONDS,PROCESS      SIGTERM, which begins a graceful shutdown
#   --freeze SECONDS,PROCESS,SECONDS   SIGSTOP, and SIGCONT after the second time
#   --keep                      keep the directory of the run
# Times count from the start of the load. The whole run ends within 60 s.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly stop_limit=20 # time limit in seconds for the graceful shutdown of all processes
plan_args=() load_args=() signals=() keep=no
while [ $# -gt 0 ]; do
  case $1 in
    --seed | --entries | --engines) plan_args+=("$1" "$2"); shift 2 ;;
    --duration | --fault) load_args+=("$1" "$2"); shift 2 ;;
    --kill | --stop | --freeze) signals+=("${1#--},$2"); shift 2 ;;
    --keep) keep=yes; shift ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
done

bin=${DEMO_BIN:-bin}
dir=$(mktemp -d "${TMPDIR:-/tmp}/lavender-demo.XXXXXX")
declare -A pids=()
declare -A killed=()
timers=()

# Stops all timers and processes, the entry and controller processes first.
# Continues frozen processes, which would receive SIGTERM only after SIGCONT.
stop_all() {
  local name deadline=$((SECONDS + stop_limit)) failed=0
  for name in "${timers[@]}"; do kill "$name" 2>/dev/null || true; done
  for name in "${!pids[@]}"; do kill -CONT "${pids[$name]}" 2>/dev/null || true; done
  stop_group '^(entry|controller)-' "$deadline" || failed=1
  stop_group '.' "$deadline" || failed=1
  return $failed
}

# Sends SIGTERM to the processes whose names match $1 and waits until they have
# exited. Kills those that still run at the deadline $2.
stop_group() {
  local name failed=0
  for name in "${!pids[@]}"; do
    [[ $name =~ $1 ]] && kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    [[ $name =~ $1 ]] || continue
    while kill -0 "${pids[$name]}" 2>/dev/null; do
      if [ $SECONDS -ge "$2" ]; then
        echo "$name did not stop in time; killing it" >&2
        kill -KILL "${pids[$name]}" 2>/dev/null || true
        failed=1
        break
      fi
      sleep 0.1
    done
    wait "${pids[$name]}" 2>/dev/null || true
    unset "pids[$name]"
  done
  return $failed
}

cleanup() {
  local status=$?
  stop_all || true
  if [ $keep = yes ] || [ $status -ne 0 ]; then
    echo "files of the run: $dir" >&2
  else
    rm -rf "$dir"
  fi
  exit $status
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# Sleeps for $1 seconds. SIGTERM also ends the background sleep.
wait_for() {
  local sleeper
  sleep "$1" &
  sleeper=$!
  trap 'kill $sleeper 2>/dev/null; exit 0' TERM
  wait $sleeper
  trap - TERM
}

# Sends a signal to a process at a time after the start of the load. $1 is
# KIND,SECONDS,PROCESS and, for freeze, the seconds until SIGCONT.
signal_later() {
  local kind at name rest
  IFS=, read -r kind at name rest <<<"$1"
  [ -n "${pids[$name]:-}" ] || { echo "no process $name" >&2; exit 2; }
  local pid=${pids[$name]}
  case $kind in
    kill) (wait_for "$at"; kill -KILL "$pid") & ;;
    stop) (wait_for "$at"; kill -TERM "$pid") & ;;
    freeze) (wait_for "$at"; kill -STOP "$pid"; wait_for "$rest"; kill -CONT "$pid") & ;;
  esac
  timers+=($!)
  if [ "$kind" != freeze ]; then killed[$name]=1; fi
}

"$bin/lavender-demo" plan --dir "$dir" "${plan_args[@]}"
while read -r name program args; do
  # shellcheck disable=SC2086 # the arguments in the list contain no spaces
  "$bin/$program" $args >"$dir/logs/$name.log" 2>&1 &
  pids[$name]=$!
done <"$dir/processes.txt"

"$bin/lavender-demo" load --dir "$dir" "${load_args[@]}" &
load=$!
while [ ! -e "$dir/loading" ] && kill -0 $load 2>/dev/null; do sleep 0.05; done
for signal in "${signals[@]}"; do signal_later "$signal"; done
load_status=0
wait $load || load_status=$?
early=0
for name in "${!pids[@]}"; do
  if ! kill -0 "${pids[$name]}" 2>/dev/null && [ -z "${killed[$name]:-}" ]; then
    echo "$name exited early; last lines of its log:" >&2
    tail -n 5 "$dir/logs/$name.log" >&2
    early=1
  fi
done
stopped=0
stop_all || stopped=1
[ $load_status -eq 0 ] || { echo "load failed with status $load_status" >&2; exit 1; }
if [ $early -ne 0 ]; then echo "a process exited early" >&2; fi
if [ $stopped -ne 0 ]; then echo "the graceful shutdown took too long" >&2; fi
"$bin/lavender-demo" judge --dir "$dir"
exit $stopped
