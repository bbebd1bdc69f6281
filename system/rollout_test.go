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

// samplers obey orders; a name in failing fails every load.
func samplers(w *world, failing string, names ...string) {
	n := w.nodes[0]
	for _, name := range names {
		b, _ := n.t.Backends.Upsert(name)
		*b = table.Backend{
			Name: name, Kind: table.KindEngine, Model: "m", Address: name + ":1",
			BootID: "b1", Active: 1, Loaded: []ledger.Version{1}, ReportSeen: 1,
		}
	}
	w.fate = func(_ *node, c command.Command) fate {
		if c, ok := c.(command.OrderWeights); ok {
			w.at(500*time.Millisecond, func() { obey(n.t.Backends.Find(c.Backend), c, c.Backend == failing) })
		}
		return fate{}
	}
}

func obey(b *table.Backend, c command.OrderWeights, fails bool) {
	switch {
	case c.Wanted.Active != 0:
		b.Active = c.Wanted.Active
	case fails:
		b.LoadFailures++
	default:
		b.Loaded = append(b.Loaded, c.Wanted.Preload)
	}
}

// report keeps the samplers' reports recent while the world runs.
func report(w *world, d time.Duration) {
	for end := w.now + d; w.now < end; w.run(100 * time.Millisecond) {
		for _, b := range w.nodes[0].t.Backends.All() {
			b.ReportSeen = w.now
		}
	}
}

// TestSessionRollout guards against more loads at once than the weight store
// bears, activation before all samplers have the version, a sampler that fails
// for ever holding up the others, an old order that arrives late, and a rollout
// that goes on after a newer version is wanted.
func TestSessionRollout(t *testing.T) {
	w := newWorld(1)
	samplers(w, "m4", "m1", "m2", "m3", "m4")
	n := w.nodes[0]
	n.t.Config.Body.Policy.MaxWeightFetches = 2
	w.weights = []event.WeightsRow{{Model: "m", RowVersion: 1, Version: 2}}
	report(w, 8*time.Second)
	require.True(t, n.t.Weights.Find("m").Samplers["m4"].Quarantined)
	require.NotZero(t, n.t.Weights.Find("m").ActiveAt)
	w.say("m1 follows a late order for version 1")
	n.t.Backends.Find("m1").Active = 1
	report(w, 7*time.Second)
	require.Equal(t, ledger.Version(2), n.t.Backends.Find("m1").Active)
	w.say("versions 3 and 4 are wanted")
	w.weights = []event.WeightsRow{{Model: "m", RowVersion: 2, Version: 3}}
	report(w, 1200*time.Millisecond)
	w.weights = []event.WeightsRow{{Model: "m", RowVersion: 3, Version: 4}}
	report(w, 8*time.Second)
	for _, name := range []string{"m1", "m2", "m3"} {
		require.Equal(t, ledger.Version(4), n.t.Backends.Find(name).Active, name)
	}
	golden(t, w)
}

// TestRolloutAfterTakeOver guards against a new holder that starts the rollout
// over, or that sends orders while those of the old holder may still run.
func TestRolloutAfterTakeOver(t *testing.T) {
	w := newWorld(1)
	samplers(w, "", "m1", "m2", "m3")
	n := w.nodes[0]
	w.store.SetLease(event.LeaseRow{RowVersion: 7, Holder: "old", Fence: 4, TTL: testLease.TTL})
	n.t.Backends.Find("m1").Active = 2
	n.t.Backends.Find("m2").Loaded = []ledger.Version{1, 2}
	w.weights = []event.WeightsRow{{Model: "m", RowVersion: 1, Version: 2}}
	var first time.Duration
	orders := make(map[string]int)
	inner := w.fate
	w.fate = func(n *node, c command.Command) fate {
		if o, ok := c.(command.OrderWeights); ok {
			if first == 0 {
				first = w.now
			}
			require.Equal(t, uint64(5), o.Wanted.Fence)
			orders[o.Backend]++
			if o.Backend == "m2" {
				require.Equal(t, first, w.now, "m2 waits although the old holder had begun to activate")
			}
		}
		return inner(n, c)
	}
	report(w, 12*time.Second)
	require.GreaterOrEqual(t, first, testLease.TTL+testLease.OrderValidity)
	require.Equal(t, map[string]int{"m2": 1, "m3": 2}, orders)
	require.Equal(t, ledger.Version(2), n.t.Backends.Find("m3").Active)
}

// TestRolloutSkipsLeavingAndServesLate guards against a leaving sampler that
// holds up a rollout or receives orders, and against a sampler that comes up
// after the rollout and stays at its old version.
func TestRolloutSkipsLeavingAndServesLate(t *testing.T) {
	w := newWorld(1)
	samplers(w, "", "m1", "m2")
	n := w.nodes[0]
	n.t.Backends.Find("m2").ListLeaving = true
	w.weights = []event.WeightsRow{{Model: "m", RowVersion: 1, Version: 2}}
	report(w, 4*time.Second)
	require.Equal(t, ledger.Version(2), n.t.Backends.Find("m1").Active)
	require.Equal(t, ledger.Version(1), n.t.Backends.Find("m2").Active)
	require.NotZero(t, n.t.Weights.Find("m").ActiveAt)
	late, _ := n.t.Backends.Upsert("m3")
	*late = *n.t.Backends.Find("m2")
	late.Name, late.ListLeaving = "m3", false
	report(w, 4*time.Second)
	require.Equal(t, ledger.Version(2), n.t.Backends.Find("m3").Active)
}
