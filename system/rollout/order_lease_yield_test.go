package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
)

// newYieldingWorld returns a world whose process holds the order lease and yields it.
func newYieldingWorld(t *testing.T) *world {
	w := newLeaseWorld(t)
	firstOrder(t, w)
	w.tables.Rollout.OrderLease.Yielding = true
	return w
}

// TestYieldedLeaseIsReleased guards against a process that goes on giving orders under a token
// that the platform has refused, releases the lease while a call is under way, or acquires it
// again before another process can.
func TestYieldedLeaseIsReleased(t *testing.T) {
	w := newYieldingWorld(t)
	lease := &w.tables.Rollout.OrderLease
	require.False(t, lease.MayAct(w.now))
	for id, s := range w.tables.Rollout.Servers.All() {
		require.NotEmpty(t, id)
		s.Order.Pending = false
	}
	lease.DutyCalls = 1
	require.Empty(t, releases(w.advance(time.Second)))
	lease.DutyCalls = 0
	require.Len(t, releases(w.step()), 1)
	w.step(event.OrderLeaseWritten{SentAt: w.now, Version: lease.Version + 1, Released: true})
	require.False(t, lease.Held)
	require.Empty(t, commandsOf[command.WriteOrderLease](w.advance(orderLeaseYieldDelay-100*time.Millisecond)), "acquired too soon")
	require.Len(t, commandsOf[command.WriteOrderLease](w.advance(time.Second)), 1, "no other process acquired it")
	w.step(event.OrderLeaseWritten{SentAt: w.now, Version: lease.Version + 1, Acquired: true})
	require.True(t, lease.Held)
	require.False(t, lease.Yielding)
}

func releases(commands []command.Command) []command.WriteOrderLease {
	var found []command.WriteOrderLease
	for _, c := range commandsOf[command.WriteOrderLease](commands) {
		if c.Release {
			found = append(found, c)
		}
	}
	return found
}

// TestHoldersActInTurn guards against the order A, B, A within the handover delay: a process
// that yielded the lease and acquires it again after another one waits for that one's calls.
func TestHoldersActInTurn(t *testing.T) {
	w := newYieldingWorld(t)
	lease := &w.tables.Rollout.OrderLease
	for _, s := range w.tables.Rollout.Servers.All() {
		s.Order.Pending = false
	}
	require.Len(t, releases(w.step()), 1)
	w.step(event.OrderLeaseWritten{SentAt: w.now, Version: lease.Version + 1, Released: true})
	other := w.tables.Rollout.Self
	other.Host, other.BootID = "b", "2"
	w.step(event.OrderLeaseRead{Holder: other, Settled: true, Version: lease.Version + 1})
	seen := w.now // the other process may act until its lease ends
	w.step(event.OrderLeaseRead{Quiet: 0, Version: lease.Version + 1})
	released := w.now
	require.True(t, acquire(t, w).Acquire)
	w.step(event.OrderLeaseWritten{SentAt: w.now, Version: lease.Version + 1, Acquired: true})
	require.GreaterOrEqual(t, lease.OrdersFrom, released+testHandoverDelay)
	require.False(t, lease.MayAct(seen+testHandoverDelay))
}
