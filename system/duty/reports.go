package duty

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// maxCalls bounds the usage reports that are under way. Only after an outage there is more
	// than one to send.
	maxCalls = 2
	// maxSendRetry bounds the wait after failed calls.
	maxSendRetry = 2 * time.Second
	// rateLimitWait is the wait after the platform refused a call because of its rate limit.
	rateLimitWait = time.Second
)

// Reports sends the stored counts of windows to the platform and marks the windows that the
// platform took. If the platform has seen a higher fencing token, it yields the order lease, so
// that another process acquires it under a higher one.
func Reports(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	u, lease := &t.Duties.Usage, &t.Rollout.OrderLease
	for _, e := range in {
		switch e := e.(type) {
		case event.UsageSent:
			lease.DutyCalls--
			applySent(now, t, e, out)
		case event.UsageMarked:
			applyMarked(now, &u.Collection, e, out)
		}
	}
	c := &u.Collection
	if c.Fence == 0 || !c.Read || t.Rollout.Draining || !lease.MayAct(now) {
		return
	}
	calls, marks := 0, 0
	var waiting []*table.FixedWindow
	for _, w := range c.Windows.All() {
		switch {
		case w.Pending && w.Stage == table.WindowFixed:
			calls++
		case w.Pending && w.Stage == table.WindowSent:
			marks++
		case w.Stage == table.WindowFixed, w.Stage == table.WindowSent:
			waiting = append(waiting, w)
		}
	}
	slices.SortFunc(waiting, func(a, b *table.FixedWindow) int { return cmp.Compare(a.Number, b.Number) })
	for _, w := range waiting {
		switch {
		case now < w.Next:
			out.WakeAt(w.Next)
		case w.Stage == table.WindowSent && marks == 0:
			marks++
			w.Pending = true
			out.Add(command.MarkUsage{Fence: c.Fence, Window: usageWindow(w)})
		case w.Stage == table.WindowFixed && calls < maxCalls:
			if ok, next := t.Duties.Budget.Take(now, t.Duties.Settings.CallsPerSecond); !ok {
				out.WakeAt(next)
				return
			}
			calls++
			send(now, t, w, out)
		}
	}
}

// send has the counts of a window sent to the platform.
func send(now time.Duration, t *table.Tables, w *table.FixedWindow, out *command.Outbox) {
	lease := &t.Rollout.OrderLease
	w.Pending = true
	lease.DutyCalls++
	lease.LastOrderAt = now
	last, _ := t.Duties.Last.Upsert(nameUsage)
	*last = table.DutyCall{Subject: number(w.Number), At: now}
	out.Add(command.SendUsage{Fence: lease.Fence, Number: w.Number, Counts: w.Counts, ValidUntil: lease.ValidUntil})
}

// applySent records the outcome of a call.
func applySent(now time.Duration, t *table.Tables, e event.UsageSent, out *command.Outbox) {
	u := &t.Duties.Usage
	c, lease := &u.Collection, &t.Rollout.OrderLease
	outcome := outcomeSent
	if e.Failure != nil {
		outcome = string(e.Failure.Reason)
	}
	last, _ := t.Duties.Last.Upsert(nameUsage)
	last.Outcome = outcome
	lease.LastOrderAt = max(lease.LastOrderAt, now) // the call may have been sent just before
	if e.Failure != nil && e.Failure.Reason == verdict.ReasonConflict && lease.Held && lease.Fence == e.Fence {
		lease.Yielding = true
		out.WakeAt(now)
	}
	if failed := e.Failure != nil; failed != c.SendFailed && e.Fence == c.Fence {
		c.SendFailed = failed
		message := "usage reports accepted again"
		if failed {
			message = "usage report not accepted"
		}
		out.Add(command.LogChange{Message: message, Fields: []command.Field{field("window", number(e.Number)), field("outcome", outcome)}})
	}
	w := c.Windows.Find(table.WindowKey(e.Number))
	current := e.Fence == c.Fence && w != nil
	if e.Failure == nil && current && u.Clock.Time(now) > endOf(u, e.Number)+u.Due {
		outcome = outcomeSentLate
	}
	count(out, "usage_reports", "outcome", outcome, 1)
	if !current {
		return
	}
	w.Pending = false
	if e.Failure == nil {
		w.Stage, w.Failures, w.Next = table.WindowSent, 0, 0
		return
	}
	w.Failures++
	w.Next = now + backoff(minRetry, maxSendRetry, w.Failures)
	if e.Failure.Reason == verdict.ReasonRateLimited {
		w.Next = now + max(rateLimitWait, e.Failure.RetryAfter)
	}
}

// applyMarked records the outcome of a write that marks a window as sent. If the mark is lost, a
// later holder repeats the report, which the platform ignores.
func applyMarked(now time.Duration, c *table.UsageCollection, e event.UsageMarked, out *command.Outbox) {
	w := c.Windows.Find(table.WindowKey(e.Number))
	if e.Fence != c.Fence || w == nil {
		return
	}
	w.Pending = false
	if e.Failure != nil {
		w.Failures++
		w.Next = now + backoff(minRetry, maxSendRetry, w.Failures)
		count(out, "usage_store_failed", "reason", string(e.Failure.Reason), 1)
		return
	}
	w.Stage = table.WindowMarked
}
