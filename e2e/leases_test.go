package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/standin"
)

// TestFrozenHolderSendsNoLateOrder guards against orders of a holder whose lease
// lapsed while it was stopped, on engines that check the fence and on engines
// that do not, and against a rollout that stops with its holder.
func TestFrozenHolderSendsNoLateOrder(t *testing.T) {
	t.Parallel()
	// Engines of the model matching check the fence, those of dial do not.
	for model, engines := range map[string][2]string{"matching": {"engine-1", "engine-3"}, "dial": {"engine-2", "engine-4"}} {
		t.Run(model, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 41)
			d.runTraining(17*time.Second, func() {
				require.Eventually(t, func() bool { return d.engineState(engines[0]).Active > 1 }, 10*time.Second, 20*time.Millisecond)
				d.freeze(d.leaseHolder(model), 11*time.Second)
			})
			for _, name := range engines {
				requireOrdersOfTwoHolders(t, name, d.ledgerOf(name))
			}
		})
	}
}

// requireOrdersOfTwoHolders checks that no order was obeyed after one with a
// higher fence, and that more than one holder gave orders.
func requireOrdersOfTwoHolders(t *testing.T, name string, entries []standin.JournalEntry) {
	t.Helper()
	newest, fences := uint64(0), make(map[uint64]bool)
	for _, e := range entries {
		if e.Kind != standin.EntryOrder || !e.Obeyed {
			continue
		}
		require.GreaterOrEqual(t, e.Fence, newest, "%s obeyed order %s", name, e.OrderID)
		newest, fences[e.Fence] = e.Fence, true
	}
	require.Greater(t, len(fences), 1, "%s: the rollout did not go on under the next holder", name)
}

// TestFailedLoadsAreQuarantined guards against a sampler whose loads keep failing
// that holds up a rollout, is not counted, or still gets training work.
func TestFailedLoadsAreQuarantined(t *testing.T) {
	t.Parallel()
	d := deploy(t, 42)
	d.setFault("engine-1", `{"load_failures":1000}`)
	d.publish("matching", 2, 0)
	require.Eventually(t, func() bool { return d.engineState("engine-3").Active == 2 }, 15*time.Second, 50*time.Millisecond,
		"the rollout waits for a sampler that cannot load")
	require.GreaterOrEqual(t, d.engineState("engine-1").LoadFailures, 3)
	require.Eventually(t, func() bool { return d.sumCounter("lavender_sampler_quarantined") > 0 }, 5*time.Second, 100*time.Millisecond)
	time.Sleep(7 * time.Second) // activation grace and report lag
	before := trainingRuns(d.ledgerOf("engine-1"))
	d.submitGroups(12)
	d.waitComplete(48)
	require.Equal(t, before, trainingRuns(d.ledgerOf("engine-1")), "a quarantined sampler got training work")
}

// trainingRuns counts the accepted completions of samples.
func trainingRuns(entries []standin.JournalEntry) int {
	runs := 0
	for _, e := range entries {
		if e.Kind == standin.EntryStart && strings.HasPrefix(e.RequestID, "sample-") {
			runs++
		}
	}
	return runs
}
