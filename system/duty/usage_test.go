package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestWindowsAreReportedOnce guards against windows that are reported twice, not at all, late or
// with counts of another window.
func TestWindowsAreReportedOnce(t *testing.T) {
	c := newCluster(t, 3)
	for window := range int64(4) {
		for i := range c.hosts {
			c.began(i, "a", 2+window)
		}
		c.began(1, "b", 1)
		c.run(windowLength)
	}
	c.run(8 * time.Second)
	for window := range int64(4) {
		require.Equal(t, []map[string]int64{{"a": 3 * (2 + window), "b": 1}}, c.reports(firstWindow+window))
	}
	require.Equal(t, int64(5), c.hosts[0].counts["usage_reportssent"], "the fifth window has no requests and is reported empty")
	require.Zero(t, c.hosts[0].counts["usage_reportssent_late"])
}

// TestRefusedAttemptMovesCount guards against requests that count in the window of an attempt
// that a server refused.
func TestRefusedAttemptMovesCount(t *testing.T) {
	c := newCluster(t, 2)
	c.run(windowLength)
	c.began(1, "a", 1)
	c.run(time.Second)
	c.began(1, "a", -1)
	c.run(10 * time.Second)
	require.Equal(t, []map[string]int64{{}}, c.reports(firstWindow+1))
}

// TestHolderDiesBetweenFixingAndSending guards against a new holder that reports other counts
// than those that the old one stored and may have sent.
func TestHolderDiesBetweenFixingAndSending(t *testing.T) {
	c := newCluster(t, 3)
	c.began(0, "a", 1) // only the old holder knows this request
	c.began(1, "a", 4)
	c.api.outcome = func(pamoja.APICall) (bool, error) {
		c.hosts[0].down = true // the call is sent, and the holder never learns its outcome
		return true, verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "lost")
	}
	c.runUntil(fixDelay + time.Second)
	require.True(t, c.hosts[0].down)
	c.api.outcome = nil
	c.hold(1)
	c.run(4 * time.Second)
	require.Equal(t, []map[string]int64{{"a": 5}, {"a": 5}}, c.reports(firstWindow))
}

// TestLostAnswerIsRepeated guards against a report that is dropped or changed after its answer
// was lost.
func TestLostAnswerIsRepeated(t *testing.T) {
	c := newCluster(t, 2)
	calls := 0
	c.api.outcome = func(pamoja.APICall) (bool, error) {
		if calls++; calls > 2 {
			return true, nil
		}
		c.began(1, "a", 1)
		return true, verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "answer lost")
	}
	c.began(1, "a", 4)
	c.runUntil(fixDelay + 3*time.Second)
	require.Equal(t, []map[string]int64{{"a": 4}, {"a": 4}, {"a": 4}}, c.reports(firstWindow))
}

// TestTwoHoldersAfterPause guards against a holder that goes on after it was stopped for longer
// than its lease: with a call that was decided before, or with counts of its own.
func TestTwoHoldersAfterPause(t *testing.T) {
	c := newCluster(t, 3)
	c.began(0, "a", 1)
	c.began(1, "a", 4)
	c.runUntil(fixDelay - time.Second)
	old := c.hosts[0]
	old.down = true
	old.tables.Rollout.OrderLease.ValidUntil = old.now() + 2*time.Second
	c.run(4 * time.Second)
	c.hold(1)
	c.run(3 * time.Second)
	old.tables.Rollout.OrderLease.Held = true // it has not read the row yet
	old.down = false
	c.run(5 * time.Second)
	for _, call := range c.api.accepted {
		require.Equal(t, "h1", call.Holder)
	}
	require.Len(t, c.reports(firstWindow), 1)
	require.Zero(t, old.counts["send_usage"]+old.counts["fix_usage"])
}

// TestLeaseEndsBeforeCall guards against a call that is sent after the process was stopped
// between the decision and the call.
func TestLeaseEndsBeforeCall(t *testing.T) {
	c := newCluster(t, 1)
	c.began(0, "a", 1)
	c.runUntil(fixDelay - time.Second)
	h := c.hosts[0]
	h.tables.Rollout.OrderLease.ValidUntil = h.now() + 300*time.Millisecond
	h.c.elapsed += 10 * time.Second // the executor runs after a pause
	lease := h.tables.Rollout.OrderLease
	h.execute(command.SendUsage{Fence: lease.Fence, Number: firstWindow, ValidUntil: lease.ValidUntil})
	require.Zero(t, len(c.api.accepted)+c.api.refused)
}

// TestStoppedHolderWaitsForCounts guards against a holder that was stopped over the end of a
// window and fixes it before the hosts have repeated their reports.
func TestStoppedHolderWaitsForCounts(t *testing.T) {
	c := newCluster(t, 2)
	c.run(time.Second)
	c.hosts[0].down = true
	c.began(1, "a", 4)
	c.runUntil(fixDelay + time.Second)
	c.hosts[0].down = false
	c.run(4 * time.Second)
	require.Equal(t, []map[string]int64{{"a": 4}}, c.reports(firstWindow))
}

// TestStoreAway guards against a report that is sent before its counts are stored, and against
// one that is given up too soon or retried for ever.
func TestStoreAway(t *testing.T) {
	for name, test := range map[string]struct {
		outage  time.Duration // after the window could be stored first
		reports int
	}{"short": {10 * time.Second, 1}, "long": {20 * time.Second, 0}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2)
			c.began(1, "a", 4)
			c.runUntil(fixDelay - time.Second)
			c.store.SetFault(func(pamoja.Call) pamoja.Outcome { return pamoja.Refused })
			c.run(time.Second + test.outage)
			require.Empty(t, c.api.accepted)
			c.store.SetFault(nil)
			c.run(3 * time.Second)
			require.Len(t, c.reports(firstWindow), test.reports)
			require.Equal(t, int64(1-test.reports), min(1, c.hosts[0].counts["usage_reportsnot_stored"]))
		})
	}
}

// TestAnswerOfStoreLost guards against counts that differ from those stored by a write whose
// answer was lost.
func TestAnswerOfStoreLost(t *testing.T) {
	c := newCluster(t, 2)
	c.began(1, "a", 4)
	c.run(time.Second) // until the stored windows have been read
	writes := 0
	c.store.SetFault(func(call pamoja.Call) pamoja.Outcome {
		if call.Write {
			writes++
		}
		if !call.Write || writes > 4 {
			return pamoja.Served
		}
		if writes > 1 {
			return pamoja.Refused // until the holder knows other counts
		}
		c.hosts[1].queue = append(c.hosts[1].queue, event.RequestBegan{Organisation: "a", At: time.Second, Delta: 3})
		return pamoja.AnswerLost
	})
	c.runUntil(fixDelay + 4*time.Second)
	require.Equal(t, []map[string]int64{{"a": 4}}, c.reports(firstWindow))
}

// TestCountsOfKilledHost guards against losing more than the last second of a host that is
// killed.
func TestCountsOfKilledHost(t *testing.T) {
	for killed := range 3 { // the first one is the holder
		c := newCluster(t, 3)
		for i := range c.hosts {
			c.began(i, "a", 1)
		}
		c.run(windowLength)
		for i := range c.hosts {
			c.began(i, "a", 1)
		}
		c.run(deliveryInterval + 2*tick)
		c.hosts[killed].down = true
		c.began(killed, "a", 1) // this one may be lost
		if killed == 0 {
			c.hold(1)
		}
		c.run(9 * time.Second)
		require.Equal(t, []map[string]int64{{"a": 3}}, c.reports(firstWindow+1), "host %d was killed", killed)
	}
}

// TestWrongClock guards against counts in wrong windows because the time of day of a host is
// off, also if it is that of the first holder.
func TestWrongClock(t *testing.T) {
	for _, off := range []int{0, 2} {
		c := newCluster(t, 4)
		c.hosts[off].clock = 5 * time.Second
		c.hosts[off].restart()
		c.hold(0)
		for range 3 {
			for i := range c.hosts {
				c.began(i, "a", 1)
			}
			c.run(windowLength)
		}
		c.run(5 * time.Second)
		for window := range int64(3) {
			require.Equal(t, []map[string]int64{{"a": 4}}, c.reports(firstWindow+window), "clock of host %d is off", off)
		}
	}
}

// TestClockOfNewHolder guards against a new holder that takes its own clock for true before
// other hosts have reported theirs.
func TestClockOfNewHolder(t *testing.T) {
	c := newCluster(t, 4)
	c.hosts[1].clock = -7 * time.Second
	c.hosts[1].restart()
	c.hold(0)
	for i := range c.hosts {
		c.began(i, "a", 1)
	}
	c.run(2 * time.Second)
	c.hosts[0].down = true
	c.hold(1)
	c.run(windowLength)
	c.began(2, "a", 2)
	c.run(windowLength + 3*time.Second)
	require.Equal(t, []map[string]int64{{"a": 4}}, c.reports(firstWindow), "the dead holder had stored its count")
	require.Equal(t, []map[string]int64{{"a": 2}}, c.reports(firstWindow+1))
}

// TestAllHostsRestarted guards against an empty or changed report of a window of which the
// restarted hosts know nothing, and against windows that are never reported again.
func TestAllHostsRestarted(t *testing.T) {
	c := newCluster(t, 3)
	c.began(1, "a", 4)
	c.runUntil(fixDelay - time.Second)
	for _, h := range c.hosts {
		h.restart()
	}
	c.hold(2)
	c.runUntil(windowLength)
	c.began(1, "a", 6)
	c.run(9 * time.Second)
	require.Empty(t, c.reports(firstWindow))
	require.Empty(t, c.reports(firstWindow+1))
	require.Equal(t, []map[string]int64{{"a": 6}}, c.reports(firstWindow+2))
}

// TestRestartAfterFixing guards against a restarted cluster that reports a window again with
// other counts, or never reports a window that is stored.
func TestRestartAfterFixing(t *testing.T) {
	c := newCluster(t, 3)
	c.began(1, "a", 4)
	c.api.outcome = func(pamoja.APICall) (bool, error) {
		return false, verdict.New(verdict.NotRun, verdict.ReasonPlatformUnavailable, "down")
	}
	c.runUntil(fixDelay + time.Second)
	for _, h := range c.hosts {
		h.restart()
	}
	c.api.outcome = nil
	c.hold(2)
	c.run(4 * time.Second)
	require.Equal(t, []map[string]int64{{"a": 4}}, c.reports(firstWindow))
}

// TestCutOffHostRepeats guards against counts that are lost because the holder could not be
// reached for a while.
func TestCutOffHostRepeats(t *testing.T) {
	c := newCluster(t, 2)
	c.began(1, "a", 1)
	c.run(time.Second)
	c.hosts[1].isolated = true
	c.began(1, "a", 3)
	c.runUntil(500 * time.Millisecond)
	c.hosts[1].isolated = false
	c.runUntil(fixDelay + time.Second)
	require.Equal(t, []map[string]int64{{"a": 4}}, c.reports(firstWindow))
}

// TestLateCountsAreCounted guards against counts that are missing in a report without a trace.
func TestLateCountsAreCounted(t *testing.T) {
	c := newCluster(t, 2)
	c.began(1, "a", 1)
	c.run(2 * time.Second)
	c.hosts[1].isolated = true
	c.began(1, "a", 3)
	c.runUntil(fixDelay + time.Second)
	c.hosts[1].isolated = false
	c.run(3 * time.Second)
	require.Equal(t, []map[string]int64{{"a": 1}}, c.reports(firstWindow))
	require.Equal(t, int64(3), c.hosts[1].counts["usage_counts_late"])
}

// TestConflictYieldsLease guards against a holder that goes on calling with a token lower than
// one that the platform has seen.
func TestConflictYieldsLease(t *testing.T) {
	c := newCluster(t, 2)
	c.api.outcome = func(call pamoja.APICall) (bool, error) {
		if call.Fence < 20 {
			return false, verdict.New(verdict.NotRun, verdict.ReasonConflict, "a newer token was used")
		}
		return true, nil
	}
	c.began(1, "a", 4)
	c.runUntil(fixDelay + 4*time.Second)
	require.Equal(t, 1, c.api.refused)
	require.True(t, c.hosts[0].tables.Rollout.OrderLease.Yielding)
	c.fence = 20
	c.hold(1)
	c.run(4 * time.Second)
	require.Equal(t, []map[string]int64{{"a": 4}}, c.reports(firstWindow))
}

// TestRateLimit guards against calls that are repeated at once after status 429.
func TestRateLimit(t *testing.T) {
	c := newCluster(t, 1)
	c.api.outcome = func(pamoja.APICall) (bool, error) {
		return false, verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "too many calls")
	}
	c.began(0, "a", 1)
	c.runUntil(fixDelay + rateLimitWait - tick)
	require.Equal(t, 1, c.api.refused)
	c.run(3 * rateLimitWait)
	require.Equal(t, 4, c.api.refused)
}

// TestOldRowsAreRemoved guards against a table that grows, and against the removal of rows that
// a new holder needs.
func TestOldRowsAreRemoved(t *testing.T) {
	c := newCluster(t, 2)
	c.run(30 * windowLength)
	rows := c.usageRows()
	require.InDelta(t, keptWindows, len(rows), 2)
	for _, w := range rows[:len(rows)-1] {
		require.True(t, w.Sent, "window %d", w.Number)
	}
}
