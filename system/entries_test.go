package system_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestFullEntryHostsGetNoMoreSamples guards against samples that are refused
// repeatedly while all entry hosts are full, and against samples that wait for a
// backoff while an entry host has free capacity.
func TestFullEntryHostsGetNoMoreSamples(t *testing.T) {
	const capacity = 2 // samples that an entry host runs at the same time
	w := newWorld(1)
	running := map[string]int{}
	sent, refused := 0, 0
	w.outcome = func(_ *node, c command.Command) outcome {
		g, ok := c.(command.GenerateSample)
		if !ok {
			return outcome{}
		}
		if sent++; running[g.EntryID] == capacity {
			refused++
			return outcome{delay: testLatency - testGenerate, fail: &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload}}
		}
		running[g.EntryID]++
		w.after(testGenerate, func() { running[g.EntryID]-- })
		return outcome{}
	}
	w.run(3 * time.Second)
	n := w.holder()
	w.submit(n, spec("g1", 40))
	pull := w.pull(n, 1, 1, 1)
	w.run(12 * time.Second)
	require.Len(t, w.batch(t, pull).Samples, 40)
	// 40 samples, 4 at a time, take 10 rounds of 1 s. The first burst is refused, and
	// so is one probe per host every 250 ms.
	require.Less(t, refused, 40+2*4*11)
	require.Equal(t, 40, sent-refused)
}
