#!/usr/bin/env bash
# Runs the benchmarks from which docs/CAPACITY.md extrapolates and prints their
# results by package. Takes about two minutes on an otherwise idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}

bench() { # package, pattern, benchtime
  "$go" test -p 2 -run '^$' -bench "$2" -benchtime "$3" -benchmem "$1" | grep -E '^(pkg|Benchmark|FAIL|---|panic)'
}

"$go" version
bench ./system '^BenchmarkEntrySecond$' 20x
bench ./system '^Benchmark(EntryTickIdle|EntryEvent|PlanBuild|HostListApply|HostRowsApply|Tick|StatusAtScale)$' 200ms
bench ./system '^Benchmark(TableMemory|RowMemory|Batch)$' 3x
bench ./plan '^BenchmarkPick$' 200ms
bench ./traffic '^BenchmarkCompletion$' 300x
bench ./api '^BenchmarkStream$' 300x
bench ./handler '^Benchmark(Wire|WirePeer)$' 20x
bench ./handler '^BenchmarkClient$' 200ms
bench ./handler '^BenchmarkIdleConnection$' 5x
bench ./platform '^Benchmark(Call|Stream)$' 2000x
bench ./lease '^BenchmarkRenewal$' 200ms
bench ./claim '^BenchmarkClaim$' 200ms
bench ./configstore '^BenchmarkChange$' 200ms
bench ./rendezvous '^BenchmarkOrder$' 200ms
bench ./system/rollout '^BenchmarkGrantPermit$' 200ms
