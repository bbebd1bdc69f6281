package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const testHandoverDelay = 3 * time.Second

// newLeaseWorld returns a world in which an engine lags behind the named version.
func newLeaseWorld(t *testing.T) *world {
	w := newWorld(t)
	w.step(w.server("s1", nil), event.VersionNamed{Model: model, Version: 2}, event.SettingsRead{OrderHandoverDelay: testHandoverDelay})
	return w
}

// firstOrder renews the lease until the first order is sent and returns its time. The world
// handles in first.
func firstOrder(t *testing.T, w *world, in ...event.Event) time.Duration {
	for end := w.now + 10*time.Second; w.now < end; {
		commands := w.step(in...)
		in = nil
		if len(commandsOf[command.SendOrder](commands)) > 0 {
			return w.now
		}
		for range commandsOf[command.WriteOrderLease](commands) {
			in = append(in, event.OrderLeaseWritten{SentAt: w.now, Version: w.tables.Rollout.OrderLease.Version + 1, Acquired: !w.tables.Rollout.OrderLease.Held})
		}
	}
	require.Fail(t, "no order within 10 s")
	return 0
}

// acquire handles events and runs ticks until this process writes the lease.
func acquire(t *testing.T, w *world, in ...event.Event) command.WriteOrderLease {
	for end := w.now + 10*time.Second; w.now < end; {
		if writes := commandsOf[command.WriteOrderLease](w.step(in...)); len(writes) > 0 {
			return writes[0]
		}
		in = nil
	}
	require.Fail(t, "the lease was not acquired within 10 s")
	return command.WriteOrderLease{}
}

// TestHolderWaitsForItsPredecessor guards against a holder that takes itself for its own
// predecessor and sends an order less than OrderHandoverDelay after one of another host.
func TestHolderWaitsForItsPredecessor(t *testing.T) {
	written := func(w *world) event.Event {
		return event.OrderLeaseWritten{SentAt: w.now, Version: 11, Acquired: true}
	}
	ownRow := func(w *world) event.Event {
		return event.OrderLeaseRead{Holder: w.tables.Rollout.Self, Version: 11}
	}
	for name, outcome := range map[string]func(w *world){
		"answer first": func(w *world) { w.step(written(w)); w.step(ownRow(w)) },
		"feed first":   func(w *world) { w.step(ownRow(w)); w.step(written(w)) },
		"answer lost": func(w *world) {
			w.step(event.OrderLeaseWritten{Failure: &event.Failure{Verdict: verdict.MayHaveRun}})
			w.step(ownRow(w))
		},
		"answer lost, feed first": func(w *world) {
			w.step(ownRow(w))
			w.step(event.OrderLeaseWritten{Failure: &event.Failure{Verdict: verdict.MayHaveRun}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLeaseWorld(t)
			released := w.now
			w.step(event.OrderLeaseRead{Version: 10}) // another host released it after an order
			require.True(t, acquire(t, w).Acquire)
			outcome(w)
			require.GreaterOrEqual(t, firstOrder(t, w), released+testHandoverDelay)
		})
	}
}

// TestRestartedHolderWaits guards against a process that takes the lease of the process before
// it on its host, which had not waited for the holder before that.
func TestRestartedHolderWaits(t *testing.T) {
	for _, settled := range []bool{false, true} {
		w := newLeaseWorld(t)
		read := w.now
		earlier := w.tables.Rollout.Self
		earlier.BootID = "earlier"
		require.True(t, acquire(t, w, event.OrderLeaseRead{Holder: earlier, Settled: settled, Version: 10}).Acquire)
		at := firstOrder(t, w, event.OrderLeaseWritten{SentAt: w.now, Version: 11, Acquired: true})
		if settled {
			require.Less(t, at, read+time.Second)
		} else {
			require.GreaterOrEqual(t, at, read+testHandoverDelay)
		}
	}
}

// TestReleaseTellsTheLastOrder guards against a wait after a planned stop that is longer than
// the time since the last order requires, and against one that is shorter.
func TestReleaseTellsTheLastOrder(t *testing.T) {
	for _, quiet := range []time.Duration{0, time.Second, 10 * time.Second} {
		w := newLeaseWorld(t)
		released := w.now
		w.step(event.OrderLeaseRead{Quiet: quiet, Version: 10})
		require.True(t, acquire(t, w).Acquire)
		at := firstOrder(t, w, event.OrderLeaseWritten{SentAt: w.now, Version: 11, Acquired: true})
		require.GreaterOrEqual(t, at, released-quiet+testHandoverDelay)
		require.LessOrEqual(t, at, max(released+firstAcquireDelay, released-quiet+testHandoverDelay+maxOrderInFlight)+300*time.Millisecond)
	}

	w := newLeaseWorld(t)
	acquire(t, w)
	ordered := firstOrder(t, w, event.OrderLeaseWritten{SentAt: w.now, Version: 11, Acquired: true})
	w.step(event.OrderEnded{Server: "s1", Model: model, Version: 2}, event.OrderLeaseWritten{SentAt: w.now, Version: w.tables.Rollout.OrderLease.Version + 1})
	commands := append(w.step(event.DrainRequested{}), w.advance(500*time.Millisecond)...)
	release := commandsOf[command.WriteOrderLease](commands)
	require.NotEmpty(t, release)
	require.True(t, release[0].Release)
	require.LessOrEqual(t, release[0].Quiet, w.now-ordered)
	require.Positive(t, release[0].Quiet)
}

// TestReleaseByAWaitingHolder guards against a release that tells nothing of an order of the
// holder before.
func TestReleaseByAWaitingHolder(t *testing.T) {
	w := newLeaseWorld(t)
	w.step(event.OrderLeaseRead{Holder: lot.Process{}, Version: 10})
	acquire(t, w)
	w.step(event.OrderLeaseWritten{SentAt: w.now, Version: 11, Acquired: true})
	seen := w.tables.Rollout.OrderLease.Predecessor.SeenAt
	release := commandsOf[command.WriteOrderLease](append(w.step(event.DrainRequested{}), w.step()...))
	require.Len(t, release, 1)
	require.LessOrEqual(t, release[0].Quiet, w.now-seen)
}
