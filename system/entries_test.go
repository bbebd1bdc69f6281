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
// again and again while all entry hosts are full, and against samples that wait
// for a backoff while one has room.
func TestFullEntryHostsGetNoMoreSamples(t *testing.T) {
	const room = 2 // samples that an entry host takes
	w := newWorld(1)
	running := map[string]int{}
	sent, refused := 0, 0
	w.fate = func(_ *node, c command.Command) fate {
		g, ok := c.(command.GenerateSample)
		if !ok {
			return fate{}
		}
		if sent++; running[g.EntryID] == room {
			refused++
			return fate{delay: testLatency - testGenerate, fail: &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload}}
		}
		running[g.EntryID]++
		w.at(testGenerate, func() { running[g.EntryID]-- })
		return fate{}
	}
	w.run(3 * time.Second)
	n := w.holder()
	w.submit(n, spec("g1", 40))
	pull := w.pull(n, 1, 1, 1)
	w.run(12 * time.Second)
	require.Len(t, w.lot(t, pull).Samples, 40)
	// 40 samples, 4 at a time, take 10 rounds; a probe per host each 250 ms and
	// the first burst are refused.
	require.Less(t, refused, 40+2*4*11)
	require.Equal(t, 40, sent-refused)
}
