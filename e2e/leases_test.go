package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/standin"
)

// TestSuspendedHolderSendsNoLateOrder guards against orders from a controller whose lease
// expired while the process was suspended, to engines that check fencing tokens and to
// engines that do not. It also guards against a rollout that does not continue under
// the next lease holder.
func TestSuspendedHolderSendsNoLateOrder(t *testing.T) {
	t.Parallel()
	// The engines of model matching check fencing tokens, those of model dial do not.
	for model, engines := range map[string][2]string{"matching": {"engine-1", "engine-3"}, "dial": {"engine-2", "engine-4"}} {
		t.Run(model, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 41)
			d.runTraining(17*time.Second, func() {
				require.Eventually(t, func() bool { return d.engineState(engines[0]).Active > 1 }, 10*time.Second, 20*time.Millisecond)
				d.suspend(d.leaseHolder(model), 11*time.Second)
			})
			for _, name := range engines {
				requireOrdersOfTwoHolders(t, name, d.ledgerOf(name))
			}
		})
	}
}

// requireOrdersOfTwoHolders checks that an engine obeyed no order after one with a
// higher fencing token, and that it obeyed orders of more than one lease holder.
func requireOrdersOfTwoHolders(t *testing.T, name string, entries []standin.JournalEntry) {
	t.Helper()
	newest, fences := uint64(0), make(map[uint64]bool)
	for _, e := range entries {
		if e.Kind != standin.EntryOrder || !e.Obeyed {
			continue
		}
		require.GreaterOrEqual(t, e.Fence, newest, "%s obeyed order %s after an order with a higher fencing token", name, e.OrderID)
		newest, fences[e.Fence] = e.Fence, true
	}
	require.Greater(t, len(fences), 1, "%s: the rollout did not continue under the next lease holder", name)
}

// TestFailedLoadsAreQuarantined guards against an engine that blocks a rollout, is not
// counted as quarantined or still receives training work although its weight loads keep
// failing.
func TestFailedLoadsAreQuarantined(t *testing.T) {
	t.Parallel()
	d := deploy(t, 42)
	d.setFault("engine-1", `{"load_failures":1000}`)
	d.publish("matching", 2, 0)
	require.Eventually(t, func() bool { return d.engineState("engine-3").Active == 2 }, 15*time.Second, 50*time.Millisecond,
		"the rollout waits for an engine that cannot load its weights")
	require.GreaterOrEqual(t, d.engineState("engine-1").LoadFailures, 3)
	require.Eventually(t, func() bool { return d.sumCounter("lavender_sampler_quarantined") > 0 }, 5*time.Second, 100*time.Millisecond)
	time.Sleep(7 * time.Second) // covers the grace period of the activation and the age of reports
	before := trainingRuns(d.ledgerOf("engine-1"))
	d.submitGroups(12)
	d.waitComplete(48)
	require.Equal(t, before, trainingRuns(d.ledgerOf("engine-1")), "the quarantined engine received training work")
}

// trainingRuns counts the completions in a ledger that were started for samples.
func trainingRuns(entries []standin.JournalEntry) int {
	runs := 0
	for _, e := range entries {
		if e.Kind == standin.EntryStart && strings.HasPrefix(e.RequestID, "sample-") {
			runs++
		}
	}
	return runs
}
