package system_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/standin"
)

// benchSamples is the number of samples per group at the scale expected in two
// years.
const benchSamples = 16

// newFilledWorld returns a world whose holder has about the given number of group
// and sample rows. Generation takes longer than the benchmark.
func newFilledWorld(b testing.TB, rows int) (*world, *node) {
	w := newWorld(1)
	w.outcome = func(_ *node, c command.Command) outcome {
		if _, ok := c.(command.GenerateSample); ok {
			return outcome{delay: 24 * time.Hour}
		}
		return outcome{}
	}
	w.run(3 * time.Second)
	n := w.holder()
	require.NotNil(b, n)
	groups := max(1, rows/(benchSamples+1))
	for first := 0; first < groups; first += 512 {
		var specs []ledger.GroupSpec
		for i := first; i < min(first+512, groups); i++ {
			specs = append(specs, spec(fmt.Sprintf("g%d", i), benchSamples))
		}
		w.submit(n, specs...)
		w.run(100 * time.Millisecond)
	}
	w.pull(n, 1, 1, 512) // makes the groups of a whole batch eligible
	w.run(500 * time.Millisecond)
	return w, n
}

// BenchmarkTick measures a tick without events of a controller with groups that
// are being generated, for different numbers of rows.
func BenchmarkTick(b *testing.B) {
	for _, rows := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			w, n := newFilledWorld(b, rows)
			b.ReportAllocs()
			for b.Loop() {
				var out command.Outbox
				for _, s := range n.systems {
					s.Run(w.now, n.t, nil, &out)
				}
			}
		})
	}
}

// BenchmarkRowMemory reports the memory used per group or sample row.
func BenchmarkRowMemory(b *testing.B) {
	const rows = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		w, n := newFilledWorld(b, 100)
		runtime.GC()
		runtime.ReadMemStats(&before)
		large, holder := newFilledWorld(b, rows)
		large.store, large.queue = standin.NewRows(), nil
		large.log.Reset()
		runtime.GC()
		runtime.ReadMemStats(&after)
		count := holder.t.Groups.Len() + holder.t.Samples.Len()
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "bytes/row")
		runtime.KeepAlive(w)
		runtime.KeepAlive(n)
		runtime.KeepAlive(large)
	}
}

// BenchmarkBatch reports the rows written for a batch of 8,192 samples, from the
// submission to the deletion after its acknowledgement. The units of the metrics
// call a batch a lot.
func BenchmarkBatch(b *testing.B) {
	const groups = 512
	for b.Loop() {
		w := newWorld(1)
		w.run(3 * time.Second)
		n := w.holder()
		var specs, scored []ledger.GroupSpec
		for i := range groups {
			s := spec(fmt.Sprintf("g%d", i), benchSamples)
			s.Scorer = "judge"
			specs = append(specs, s)
			s.ID = "n" + s.ID
			scored = append(scored, s)
		}
		before := w.store.Written
		w.submit(n, specs...)
		pull := w.pull(n, 1, 1, groups)
		w.run(15 * time.Second)
		require.Len(b, w.batch(b, pull).Samples, groups*benchSamples)
		row, err := json.Marshal(w.batch(b, pull))
		require.NoError(b, err)
		b.ReportMetric(float64(len(row)), "bytes/lot-row")
		delivered := w.store.Written - before
		w.submit(n, scored[:1]...)
		w.pull(n, 2, 1, 1)
		w.run(15 * time.Second)
		require.Less(b, n.t.Groups.Len(), 3)
		b.ReportMetric(float64(delivered), "rows/lot")
		b.ReportMetric(float64(w.store.Written-before-delivered), "rows/deletion")
	}
}
