#!/usr/bin/env bash
# Measures the processor time and resident memory of lavender-entry and
# lavender-controller without requests, on loopback and against the stand-in of
# the platform. Prints one line for each process. Options and defaults:
#   --engines N (10)   number of engine processes
#   --listed N (0)     number of further servers in the host list, without a process
#   --seconds S (60)   duration of the measurement
# Stops only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

engines=10 listed=0 seconds=60
while [ $# -gt 0 ]; do
  case $1 in
    --engines) engines=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    --listed) listed=$2; shift 2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
done

bin=${MEASURE_BIN:-bin}
dir=$(mktemp -d "${TMPDIR:-/tmp}/lavender-measure.XXXXXX")
address=127.$((RANDOM % 200 + 10)).$((RANDOM % 200 + 10)).$((RANDOM % 200 + 10))
pids=()
cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

start() {
  "$@" >"$dir/log.${#pids[@]}" 2>&1 &
  pids+=($!)
}

start "$bin/lavender-standin" platform --listen "$address:9000"
hosts=""
for i in $(seq "$engines"); do
  start "$bin/lavender-standin" engine --name "engine-$i" --model matching --zone a \
    --listen "$address:$((10000 + i))" --slots 64 --tokens-per-second 100
  hosts+="{\"name\":\"engine-$i\",\"kind\":\"engine\",\"model\":\"matching\",\"address\":\"$address:$((10000 + i))\",\"zone\":\"a\",\"state\":\"live\"},"
done
for i in $(seq "$listed"); do
  hosts+="{\"name\":\"listed-$i\",\"kind\":\"engine\",\"model\":\"other\",\"address\":\"$address:9999\",\"zone\":\"b\",\"state\":\"live\"},"
done
printf '{"hosts":[%s]}' "${hosts%,}" >"$dir/hosts.json"
sleep 2
curl -sf -X PUT "http://$address:9000/admin/hosts" -H 'Content-Type: application/json' -d "@$dir/hosts.json" -o /dev/null

settings() { # name, HTTP port
  cat <<TOML
[host]
name = "$1"
zone = "a"
[listen]
http = "$address:$2"
grpc = "$address:$(($2 + 1))"
[platform]
tables = "http://$address:9000"
objects = "http://$address:9000"
hosts = "http://$address:9000"
[identity]
principals_file = "$dir/principals.toml"
process_token_file = "$dir/token"
TOML
}
head -c 24 /dev/urandom | base64 >"$dir/token"
cat >"$dir/principals.toml" <<TOML
[[principal]]
name = "process"
role = "process"
token_file = "$dir/token"
TOML
settings entry-1 8000 >"$dir/entry.toml"
settings controller-1 8100 >"$dir/controller.toml"
start "$bin/lavender-entry" --settings "$dir/entry.toml"
entry=${pids[-1]}
start "$bin/lavender-controller" --settings "$dir/controller.toml"
controller=${pids[-1]}
sleep 3

ticks_per_second=$(getconf CLK_TCK)
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
anonymous_kb() { awk '/^RssAnon/ {print $2}' "/proc/$1/status"; }

measure() { # phase
  local e c
  e=$(cpu_ticks "$entry") c=$(cpu_ticks "$controller")
  sleep "$seconds"
  e=$(($(cpu_ticks "$entry") - e)) c=$(($(cpu_ticks "$controller") - c))
  for line in "entry $e $entry" "controller $c $controller"; do
    read -r name ticks pid <<<"$line"
    awk -v n="$name" -v p="$1" -v t="$ticks" -v hz="$ticks_per_second" -v s="$seconds" -v m="$(resident_kb "$pid")" -v a="$(anonymous_kb "$pid")" -v g="$engines" -v l="$listed" \
      'BEGIN {printf "%s %s engines=%d listed=%d core=%.2f%% resident=%.1fMB anonymous=%.1fMB\n", p, n, g, l, 100 * t / hz / s, m / 1024, a / 1024}'
  done
}

# ticks prints the number of ticks of the control loop since the start, from /metrics.
ticks() {
  curl -sf "http://$address:$1/metrics" | awk '/^lavender_tick_seconds_count.*step="tick"/ {print $2}'
}

measure idle
before=$(ticks 8000)
sleep 5
echo "entry: $((($(ticks 8000) - before) / 5)) ticks per second"
before=$(ticks 8100)
sleep 5
echo "controller: $((($(ticks 8100) - before) / 5)) ticks per second"
