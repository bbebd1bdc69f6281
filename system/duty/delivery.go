package duty

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/usage"
)

const (
	// deliveryInterval is the minimum time between two reports of this host. It bounds the
	// counts that are lost when the host is killed.
	deliveryInterval = time.Second
	// maxDeliveryRetry bounds the wait after failed reports. A window is fixed fixDelay after
	// its end, so a report must be repeated sooner.
	maxDeliveryRetry = 2 * time.Second
	// maxClockRoundTrip bounds the round trip of a report whose answer corrects the clock. The
	// correction is wrong by up to half of the round trip.
	maxClockRoundTrip = 100 * time.Millisecond
)

// Delivery reports the counts of this host to the holder of the order lease when they have
// changed, and again to a new holder until it has fixed the windows.
func Delivery(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	u, lease := &t.Duties.Usage, &t.Rollout.OrderLease
	for _, e := range in {
		if e, ok := e.(event.UsageDelivered); ok {
			applyDelivered(now, u, e, out)
		}
	}
	if !reporting(&t.Duties) || lease.Holder.Host == "" {
		return
	}
	d := &u.Delivery
	if d.Receiver != lease.Holder {
		d.Receiver = lease.Holder
		for _, w := range u.Counted.All() {
			w.Reported = 0
		}
	}
	holder := t.Rollout.Peers.Find(lease.Holder.Host)
	if lease.Holder == t.Rollout.Self || holder == nil || holder.Address == "" || d.Pending {
		return
	}
	c := command.ReportUsage{
		Address: holder.Address, Boot: lease.Holder.BootID, ClockBase: u.Clock.Base, Revisions: make(map[int64]int), Totals: make(map[int64]int64),
		Report: usage.Report{Host: t.Rollout.Self.Host, BootID: t.Rollout.Self.BootID},
	}
	for _, w := range u.Counted.All() {
		if w.Reported != w.Revision {
			c.Report.Windows = append(c.Report.Windows, usage.Count{Window: w.Number, Counts: maps.Clone(w.Counts)})
			c.Revisions[w.Number], c.Totals[w.Number] = w.Revision, w.Total
		}
	}
	if len(c.Report.Windows) == 0 && len(u.Unassigned) == 0 {
		return
	}
	if now < d.NextReport {
		out.WakeAt(d.NextReport)
		return
	}
	slices.SortFunc(c.Report.Windows, func(a, b usage.Count) int { return cmp.Compare(a.Window, b.Window) })
	d.Pending = true
	out.Add(c)
}

// applyDelivered records what the holder has, corrects the clock and removes the windows that
// the holder has fixed.
func applyDelivered(now time.Duration, u *table.Usage, e event.UsageDelivered, out *command.Outbox) {
	d := &u.Delivery
	d.Pending, d.NextReport = false, e.SentAt+deliveryInterval
	if e.Failure != nil {
		d.Failures++
		d.NextReport = now + backoff(deliveryInterval, maxDeliveryRetry, d.Failures)
		count(out, "usage_delivery_failed", "reason", string(e.Failure.Reason), 1)
		return
	}
	d.Failures = 0
	if !e.Answer.Holder {
		return
	}
	if !u.Clock.Known {
		d.NextReport = now // with the counts that waited for the correction
	}
	if !u.Clock.Known || e.RoundTrip <= maxClockRoundTrip {
		u.Clock.Correction, u.Clock.Known = e.Answer.Correction-e.RoundTrip/2, true
		out.WakeAt(now) // requests that wait for the correction
	}
	d.FixedThrough = max(d.FixedThrough, e.Answer.FixedThrough)
	for n, revision := range e.Revisions {
		w := u.Counted.Find(table.WindowKey(n))
		if w == nil {
			continue
		}
		if e.Boot == d.Receiver.BootID {
			w.Reported = revision
		}
		if n > e.Answer.FixedThrough {
			w.DeliveredTotal = e.Totals[n]
		}
	}
	countLate(out, dropFixed(u))
}
