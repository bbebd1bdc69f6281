package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/standin"
)

// TestFrozenHolderSendsNoLateOrder guards against orders of a holder whose lease
// lapsed while it was stopped, on engines that check the fence and on engines
// that do not, and against a rollout that stops with its holder.
func TestFrozenHolderSendsNoLateOrder(t *testing.T) {
	t.Parallel()
	d := deploy(t, 41)
	d.train(17*time.Second, func() {
		require.Eventually(t, func() bool { return d.engineState("engine-2").Active > 1 }, 10*time.Second, 20*time.Millisecond)
		d.freeze(d.holder("dial"), 11*time.Second)
	})
	for _, name := range []string{"engine-2", "engine-4"} {
		newest, fences := uint64(0), make(map[uint64]ledger.Version)
		for _, e := range d.ledgerOf(name) {
			if e.Kind != standin.EntryOrder || !e.Obeyed {
				continue
			}
			require.GreaterOrEqual(t, e.Fence, newest, "%s obeyed order %s", name, e.OrderID)
			newest, fences[e.Fence] = e.Fence, e.Version
		}
		require.Greater(t, len(fences), 1, "the rollout did not go on under the next holder")
	}
}

// TestFailedLoadsAreQuarantined guards against a sampler whose loads keep failing
// that holds up a rollout, is not counted, or still gets training work.
func TestFailedLoadsAreQuarantined(t *testing.T) {
	t.Parallel()
	d := deploy(t, 42)
	d.fault("engine-1", `{"load_failures":1000}`)
	d.publish("matching", 2, 0)
	require.Eventually(t, func() bool { return d.engineState("engine-3").Active == 2 }, 15*time.Second, 50*time.Millisecond,
		"the rollout waits for a sampler that cannot load")
	require.GreaterOrEqual(t, d.engineState("engine-1").LoadFailures, 3)
	require.Eventually(t, func() bool { return d.counter("lavender_sampler_quarantined") > 0 }, 5*time.Second, 100*time.Millisecond)
	time.Sleep(7 * time.Second) // activation grace and report lag
	before := trainingRuns(d.ledgerOf("engine-1"))
	d.submitGroups(12)
	d.waitComplete(48)
	require.Equal(t, before, trainingRuns(d.ledgerOf("engine-1")), "a quarantined sampler got training work")
}

// trainingRuns counts the accepted completions of samples.
func trainingRuns(entries []standin.Entry) int {
	runs := 0
	for _, e := range entries {
		if e.Kind == standin.EntryStart && strings.HasPrefix(e.RequestID, "sample-") {
			runs++
		}
	}
	return runs
}
