package duty

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/usage"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// fixDelay is the time from the end of a window until its counts are stored. Hosts report
	// each second, so it allows for a lost report. It is below the 4 s that the design allows:
	// a new holder can act 5.5 s after the last sign of the old one, and a holder that dies just
	// before it fixes a window leaves its successor 1.5 s until the report is due.
	fixDelay = 3 * time.Second
	// giveUpDelay is the time after the due time of a report for which its counts are still to
	// be stored.
	giveUpDelay = 5 * time.Second
	// maxFixRetry bounds the wait between attempts to store a window.
	maxFixRetry = time.Second
	// maxRemoved bounds the windows that one command removes.
	maxRemoved = 32
)

// Outcomes of the counter usage_reports.
const (
	outcomeSent     = "sent"
	outcomeSentLate = "sent_late" // accepted after it was due
	// outcomeUnknown is that of a window that ended before this process could know its counts.
	outcomeUnknown = "unknown"
	// outcomeNotStored is that of a window whose counts could not be stored in time.
	outcomeNotStored = "not_stored"
	// outcomeNotSent is that of a window that the platform did not take.
	outcomeNotSent = "not_sent"
	// outcomeMissed is that of a window that ended while no process held the order lease.
	outcomeMissed = "missed"
)

// Windows stores the counts of each window some time after its end, in the order of the
// windows, and removes old windows. Every sender of a report sends the stored counts.
func Windows(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	u := &t.Duties.Usage
	c, lease := &u.Collection, &t.Rollout.OrderLease
	for _, e := range in {
		switch e := e.(type) {
		case event.UsageFixed:
			applyFixed(now, u, e, out)
		case event.UsageRemoved:
			applyRemoved(now, c, e)
		}
	}
	if c.Fence == 0 || !c.Read || !u.Clock.Known || t.Rollout.Draining || !lease.MayAct(now) {
		return
	}
	if now < c.SettledFrom {
		out.WakeAt(c.SettledFrom)
		return
	}
	removeOld(now, u, out)
	skipMissed(now, u, out)
	for fixNext(now, u, lease.ValidUntil, out) {
	}
}

// skipMissed sets the first window to fix. Windows whose reports can no longer be made are
// skipped at once, because there may be many after a long outage.
func skipMissed(now time.Duration, u *table.Usage, out *command.Outbox) {
	c := &u.Collection
	current := u.Clock.Time(now)
	if c.NextWindow == 0 {
		c.NextWindow = windowOf(u, u.Clock.Time(c.Since))
		for _, h := range c.HostCounts.All() {
			c.NextWindow = min(c.NextWindow, h.Window)
		}
	}
	oldest := windowOf(u, current-u.Due-giveUpDelay) - 1
	w := c.Windows.Find(table.WindowKey(c.NextWindow))
	if c.NextWindow < oldest && (w == nil || !w.Pending) {
		count(out, "usage_reports", "outcome", outcomeMissed, oldest-c.NextWindow)
		out.Add(command.LogChange{Message: "usage windows not reported", Fields: []command.Field{
			field("first", number(c.NextWindow)), field("last", number(oldest-1)), field("outcome", outcomeMissed),
		}})
		advance(u, oldest-1, out)
	}
}

// fixNext has the counts of the next window stored if it is time. It reports whether the window
// is done, so that the next one may follow.
func fixNext(now time.Duration, u *table.Usage, validUntil time.Duration, out *command.Outbox) bool {
	c := &u.Collection
	n := c.NextWindow
	due := endOf(u, n) + fixDelay
	current := u.Clock.Time(now)
	if current < due {
		out.WakeAt(now + due - current)
		return false
	}
	w, created := c.Windows.Upsert(table.WindowKey(n))
	if created {
		*w = table.FixedWindow{Number: n, Stage: table.WindowFixing}
	}
	if w.Pending {
		return false
	}
	counts := totals(c, n)
	switch {
	case len(counts) == 0 && windowOf(u, u.Clock.Time(0)) >= n:
		giveUp(u, w, outcomeUnknown, out)
		return true
	case current > endOf(u, n)+u.Due+giveUpDelay:
		giveUp(u, w, outcomeNotStored, out)
		return true
	case now < w.Next:
		out.WakeAt(w.Next)
		return false
	}
	w.Pending = true
	out.Add(command.FixUsage{Fence: c.Fence, Number: n, Counts: counts, ValidUntil: validUntil})
	return false
}

// giveUp ends a window that is not reported.
func giveUp(u *table.Usage, w *table.FixedWindow, outcome string, out *command.Outbox) {
	w.Stage = table.WindowGivenUp
	count(out, "usage_reports", "outcome", outcome, 1)
	out.Add(command.LogChange{Message: "usage windows not reported", Fields: []command.Field{
		field("first", number(w.Number)), field("last", number(w.Number)), field("outcome", outcome),
	}})
	advance(u, w.Number, out)
}

// advance records that all windows up to n are fixed or given up.
func advance(u *table.Usage, n int64, out *command.Outbox) {
	c := &u.Collection
	c.NextWindow = max(c.NextWindow, n+1)
	for key, h := range c.HostCounts.All() {
		if h.Window <= n {
			c.HostCounts.Delete(key)
		}
	}
	u.Delivery.FixedThrough = max(u.Delivery.FixedThrough, n)
	countLate(out, dropFixed(u))
}

// totals returns the counts of all hosts in a window.
func totals(c *table.UsageCollection, window int64) map[string]int64 {
	sum := make(map[string]int64)
	for _, h := range c.HostCounts.All() {
		if h.Window != window {
			continue
		}
		for organisation, n := range h.Counts {
			sum[organisation] += n
		}
	}
	return sum
}

// applyFixed records the outcome of a write of the counts of a window.
func applyFixed(now time.Duration, u *table.Usage, e event.UsageFixed, out *command.Outbox) {
	c := &u.Collection
	w := c.Windows.Find(table.WindowKey(e.Number))
	if e.Fence != c.Fence || w == nil {
		return
	}
	w.Pending = false
	if e.Failure != nil {
		w.Failures++
		w.Next = now + backoff(minRetry, maxFixRetry, w.Failures)
		count(out, "usage_store_failed", "reason", string(e.Failure.Reason), 1)
		if e.Failure.Reason == verdict.ReasonStoreRejected {
			giveUp(u, w, outcomeNotStored, out)
		}
		return
	}
	*w = storedWindow(e.Window)
	advance(u, e.Number, out)
}

// removeOld removes stored windows and rows older than keptWindows.
func removeOld(now time.Duration, u *table.Usage, out *command.Outbox) {
	c := &u.Collection
	if c.Removing || now < c.NextRemoval {
		return
	}
	oldest := windowOf(u, u.Clock.Time(now)) - keptWindows
	var stored []int64
	for key, w := range c.Windows.All() {
		switch {
		case w.Number >= oldest || w.Pending || len(stored) == maxRemoved:
		case w.RowVersion == 0:
			c.Windows.Delete(key)
		default:
			if w.Stage == table.WindowFixed {
				w.Stage = table.WindowGivenUp
				count(out, "usage_reports", "outcome", outcomeNotSent, 1)
				out.Add(command.LogChange{Message: "usage windows not reported", Fields: []command.Field{
					field("first", number(w.Number)), field("last", number(w.Number)), field("outcome", outcomeNotSent),
				}})
			}
			stored = append(stored, w.Number)
		}
	}
	if len(stored) > 0 {
		c.Removing = true
		out.Add(command.RemoveUsage{Fence: c.Fence, Numbers: stored})
	}
}

// applyRemoved drops the windows that were removed from the store.
func applyRemoved(now time.Duration, c *table.UsageCollection, e event.UsageRemoved) {
	if e.Fence != c.Fence {
		return
	}
	c.Removing, c.NextRemoval = false, now+maxFixRetry
	if e.Failure != nil {
		return
	}
	for _, n := range e.Numbers {
		c.Windows.Delete(table.WindowKey(n))
	}
}

// usageWindow returns a window in the form in which it is stored.
func usageWindow(w *table.FixedWindow) usage.Window {
	return usage.Window{Number: w.Number, Counts: w.Counts, Version: w.RowVersion}
}
