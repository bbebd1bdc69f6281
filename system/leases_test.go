package system_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func (n *node) held() int {
	held := 0
	for _, p := range n.t.Partitions.All() {
		if p.Held {
			held++
		}
	}
	return held
}

func newWorldWithPartitions(controllers int) *world {
	o := testLease
	o.Partitions = 16
	return newWorldOf(controllers, o)
}

// TestSessionDrain guards against a drain that lets leases expire instead of
// releasing them, and against one that drops a write in flight.
func TestSessionDrain(t *testing.T) {
	w := startWorld(t, 2, spec("g1", 1))
	first := w.holder()
	w.run(700 * time.Millisecond)
	slow := true
	w.outcome = func(_ *node, c command.Command) outcome {
		if _, ok := c.(command.CommitRows); ok && slow {
			slow = false
			return outcome{delay: time.Second}
		}
		return outcome{}
	}
	pull := w.pull(first, 1, 1, 1)
	w.run(50 * time.Millisecond)
	first.inbox = append(first.inbox, event.DrainRequested{})
	w.run(3500 * time.Millisecond)
	require.True(t, first.t.Controller.Released)
	require.NotEqual(t, first, w.holder())
	require.Equal(t, verdict.ReasonNotHolder, w.answers[pull].(command.AnswerPull).Failure.Reason)
	golden(t, w)
}

// TestLeaseShares guards against partitions that remain with one controller after
// others have started, and against partitions without a holder.
func TestLeaseShares(t *testing.T) {
	w := newWorldWithPartitions(3)
	late := w.nodes[2]
	late.paused = true
	w.run(5 * time.Second)
	require.Equal(t, 16, w.nodes[0].held()+w.nodes[1].held())
	late.paused = false
	w.run(40 * time.Second)
	total := 0
	for _, n := range w.nodes {
		require.LessOrEqual(t, n.held(), 6, n.id)
		total += n.held()
	}
	require.Equal(t, 16, total)
}

// TestLeasesOfDeadHolder guards against a takeover that waits until the host row of
// the dead holder has expired although its leases have already expired.
func TestLeasesOfDeadHolder(t *testing.T) {
	w := newWorldWithPartitions(3)
	w.run(20 * time.Second)
	w.nodes[0].dead = true
	w.run(10 * time.Second)
	require.Equal(t, 16, w.nodes[1].held()+w.nodes[2].held())
}

// TestOneHolder guards against two controllers that hold a partition at the same
// time by their own clocks, and against fences that decrease.
func TestOneHolder(t *testing.T) {
	w := newWorldWithPartitions(3)
	fences := make(map[int]uint64)
	for i := range 600 {
		w.nodes[i%3].paused = i%7 == 0
		w.run(100 * time.Millisecond)
		holders := make(map[int]string)
		for _, n := range w.nodes {
			for _, p := range n.t.Partitions.All() {
				if n.paused || !p.Held || w.now >= p.ValidUntil {
					continue
				}
				require.Empty(t, holders[p.Number], "partition %d at %s", p.Number, w.now)
				holders[p.Number] = n.id
				require.GreaterOrEqual(t, p.Fence, fences[p.Number])
				fences[p.Number] = p.Fence
			}
		}
	}
}

// TestOrdersWaitForOlderOrders guards against an order of a previous holder that
// arrives after one of the new holder. The new holder must wait until the old lease
// and any order sent under it have expired.
func TestOrdersWaitForOlderOrders(t *testing.T) {
	o := testLease
	o.OrderValidity = 2*o.Margin + time.Second
	w := newWorldOf(2, o)
	w.run(3 * time.Second)
	first := w.holder()
	old := first.t.Partitions.Find(table.PartitionKey(0)).ValidUntil
	first.dead = true
	w.run(10 * time.Second)
	p := w.holder().t.Partitions.Find(table.PartitionKey(0))
	require.GreaterOrEqual(t, p.OrdersFrom, old+o.OrderValidity)
}

// TestNoTicksWithoutWork guards against a loop that ticks at its minimum interval
// while reads of the table service hang.
func TestNoTicksWithoutWork(t *testing.T) {
	w := newWorld(1)
	w.run(5 * time.Second)
	w.outcome = func(*node, command.Command) outcome { return outcome{delay: time.Minute} }
	w.run(2 * time.Second)
	before := w.nodes[0].ticks
	w.run(20 * time.Second)
	require.LessOrEqual(t, w.nodes[0].ticks-before, 220)
}
