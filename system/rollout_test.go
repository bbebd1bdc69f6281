package system_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/table"
)

// addEngines adds engines that follow orders. The engine named failing fails
// every load.
func addEngines(w *world, failing string, names ...string) {
	n := w.nodes[0]
	for _, name := range names {
		b, _ := n.t.Backends.Upsert(name)
		*b = table.Backend{
			Name: name, Kind: table.KindEngine, Model: "m", Address: name + ":1",
			BootID: "b1", Active: 1, Loaded: []ledger.Version{1}, ReportSeen: 1,
		}
	}
	w.outcome = func(_ *node, c command.Command) outcome {
		if c, ok := c.(command.OrderWeights); ok {
			w.after(500*time.Millisecond, func() { followOrder(n.t.Backends.Find(c.Backend), c, c.Backend == failing) })
		}
		return outcome{}
	}
}

func followOrder(b *table.Backend, c command.OrderWeights, fails bool) {
	switch {
	case c.Wanted.Active != 0:
		b.Active = c.Wanted.Active
	case fails:
		b.LoadFailures++
	default:
		b.Loaded = append(b.Loaded, c.Wanted.Preload)
	}
}

// runWithReports runs the world for d and keeps the engines' reports recent.
func runWithReports(w *world, d time.Duration) {
	for end := w.now + d; w.now < end; w.run(100 * time.Millisecond) {
		for _, b := range w.nodes[0].t.Backends.All() {
			b.ReportSeen = w.now
		}
	}
}

// TestSessionRollout guards against more concurrent loads than the weight store
// can handle, activation before all engines have loaded the version, a
// permanently failing engine that blocks the others, a delayed old order, and a
// rollout that continues after a newer version is wanted.
func TestSessionRollout(t *testing.T) {
	w := newWorld(1)
	addEngines(w, "m4", "m1", "m2", "m3", "m4")
	n := w.nodes[0]
	n.t.Config.Body.Policy.MaxWeightFetches = 2
	w.weights = []event.WeightsRow{{Model: "m", RowVersion: 1, Version: 2}}
	runWithReports(w, 8*time.Second)
	require.True(t, n.t.Weights.Find("m").Engines["m4"].Quarantined)
	require.NotZero(t, n.t.Weights.Find("m").ActiveAt)
	w.logf("m1 follows a late order for version 1")
	n.t.Backends.Find("m1").Active = 1
	runWithReports(w, 7*time.Second)
	require.Equal(t, ledger.Version(2), n.t.Backends.Find("m1").Active)
	w.logf("versions 3 and 4 are wanted")
	w.weights = []event.WeightsRow{{Model: "m", RowVersion: 2, Version: 3}}
	runWithReports(w, 1200*time.Millisecond)
	w.weights = []event.WeightsRow{{Model: "m", RowVersion: 3, Version: 4}}
	runWithReports(w, 8*time.Second)
	for _, name := range []string{"m1", "m2", "m3"} {
		require.Equal(t, ledger.Version(4), n.t.Backends.Find(name).Active, name)
	}
	golden(t, w)
}

// TestRolloutAfterTakeOver guards against a new holder that restarts the rollout
// from the beginning, or that sends orders while those of the old holder may still
// be valid.
func TestRolloutAfterTakeOver(t *testing.T) {
	w := newWorld(1)
	addEngines(w, "", "m1", "m2", "m3")
	n := w.nodes[0]
	w.store.SetLease(event.LeaseRow{RowVersion: 7, Holder: "old", Fence: 4, TTL: testLease.TTL})
	n.t.Backends.Find("m1").Active = 2
	n.t.Backends.Find("m2").Loaded = []ledger.Version{1, 2}
	w.weights = []event.WeightsRow{{Model: "m", RowVersion: 1, Version: 2}}
	var first time.Duration
	orders := make(map[string]int)
	inner := w.outcome
	w.outcome = func(n *node, c command.Command) outcome {
		if o, ok := c.(command.OrderWeights); ok {
			if first == 0 {
				first = w.now
			}
			require.Equal(t, uint64(5), o.Wanted.Fence)
			orders[o.Backend]++
			if o.Backend == "m2" {
				require.Equal(t, first, w.now, "m2 must be activated immediately because the old holder had begun the activation")
			}
		}
		return inner(n, c)
	}
	runWithReports(w, 12*time.Second)
	require.GreaterOrEqual(t, first, testLease.TTL+testLease.OrderValidity)
	require.Equal(t, map[string]int{"m2": 1, "m3": 2}, orders)
	require.Equal(t, ledger.Version(2), n.t.Backends.Find("m3").Active)
}

// TestRolloutSkipsLeavingAndUpdatesLateEngines guards against a leaving engine
// that delays a rollout or receives orders, and against an engine that starts after
// the rollout and remains at its old version.
func TestRolloutSkipsLeavingAndUpdatesLateEngines(t *testing.T) {
	w := newWorld(1)
	addEngines(w, "", "m1", "m2")
	n := w.nodes[0]
	n.t.Backends.Find("m2").ListLeaving = true
	w.weights = []event.WeightsRow{{Model: "m", RowVersion: 1, Version: 2}}
	runWithReports(w, 4*time.Second)
	require.Equal(t, ledger.Version(2), n.t.Backends.Find("m1").Active)
	require.Equal(t, ledger.Version(1), n.t.Backends.Find("m2").Active)
	require.NotZero(t, n.t.Weights.Find("m").ActiveAt)
	late, _ := n.t.Backends.Upsert("m3")
	*late = *n.t.Backends.Find("m2")
	late.Name, late.ListLeaving = "m3", false
	runWithReports(w, 4*time.Second)
	require.Equal(t, ledger.Version(2), n.t.Backends.Find("m3").Active)
}

// TestVersionsNamedFasterThanLoaded guards against a rollout that is superseded each time
// before all engines have loaded its version, so that no version is ever activated.
func TestVersionsNamedFasterThanLoaded(t *testing.T) {
	w := newWorld(1)
	addEngines(w, "", "m1", "m2", "m3", "m4")
	n := w.nodes[0]
	n.t.Config.Body.Policy.MaxWeightFetches = 1
	seen := make(map[ledger.Version]bool)
	last := ledger.Version(12)
	for version := ledger.Version(2); version <= last; version++ {
		w.weights = []event.WeightsRow{{Model: "m", RowVersion: uint64(version), Version: version}}
		for range 15 {
			runWithReports(w, 100*time.Millisecond)
			seen[n.t.Backends.Find("m1").Active] = true
		}
	}
	require.GreaterOrEqual(t, len(seen), 3, "versions that were active: %v", seen)
	runWithReports(w, 8*time.Second)
	for _, name := range []string{"m1", "m2", "m3", "m4"} {
		require.Equal(t, last, n.t.Backends.Find(name).Active, "the newest version is active in the end")
	}
}

// TestStuckRolloutIsSuperseded guards against a newer version that waits without end for a
// rollout that cannot complete.
func TestStuckRolloutIsSuperseded(t *testing.T) {
	w := newWorld(1)
	addEngines(w, "", "m1", "m2")
	n := w.nodes[0]
	inner, stuck := w.outcome, true
	w.outcome = func(n *node, c command.Command) outcome {
		if o, ok := c.(command.OrderWeights); ok && stuck && o.Backend == "m2" {
			return outcome{}
		}
		return inner(n, c)
	}
	for version := ledger.Version(2); version <= 4; version++ {
		w.weights = []event.WeightsRow{{Model: "m", RowVersion: uint64(version), Version: version}}
		runWithReports(w, time.Second)
	}
	runWithReports(w, 15*time.Second)
	stuck = false
	runWithReports(w, 12*time.Second)
	require.Equal(t, ledger.Version(4), n.t.Backends.Find("m1").Active)
	require.Equal(t, ledger.Version(4), n.t.Backends.Find("m2").Active)
}
