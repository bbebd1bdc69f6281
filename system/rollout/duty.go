package rollout

import (
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// dutyRenewEvery leaves a holder two tries within dutyValidFor.
	dutyRenewEvery = 800 * time.Millisecond
	// dutyValidFor is the time after the send of a renewal for which a holder gives
	// orders.
	dutyValidFor = 2 * time.Second
	// dutyTakeAfter is the silence of a holder after which others take the lease.
	// Orders of the new holder wait longer, see ordersFrom.
	dutyTakeAfter = 2500 * time.Millisecond
	// dutyFirst is the wait before a lease without a holder is taken: by then the hosts
	// that start at the same time know of each other and of their turns.
	dutyFirst = 250 * time.Millisecond
	dutyRetry = 250 * time.Millisecond
	// orderFlight is the time that an order may be under way after its holder's
	// right to send it ended.
	orderFlight = 300 * time.Millisecond
)

// OrderLease keeps one process in the right to give orders to engines. The lease is a
// row that its holder renews; others take it after a silence on their own clock.
func OrderLease(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		switch e := e.(type) {
		case event.OrderLeaseRead:
			readDuty(now, r, e, out)
		case event.OrderLeaseWritten:
			writtenDuty(now, r, e, out)
		}
	}
	feed := r.Feeds.Find(feedCoordination)
	if r.OrderLease.Writing || feed == nil || r.Desired == nil {
		return
	}
	switch {
	case r.OrderLease.Held && r.Draining:
		releaseDuty(r, out)
	case r.OrderLease.Held:
		renewDuty(now, r, out)
	case !r.Draining && !feed.Down:
		takeDuty(now, r, feed, out)
	}
}

func readDuty(now time.Duration, r *table.Rollout, e event.OrderLeaseRead, out *command.Outbox) {
	d := &r.OrderLease
	if e.Version <= d.Version {
		return
	}
	d.Holder, d.Version, d.VersionSeenAt = e.Holder, e.Version, now
	if d.Held && e.Holder != r.Self {
		d.Held = false
		logDuty("lease for orders lost", d, out)
	}
}

func writtenDuty(now time.Duration, r *table.Rollout, e event.OrderLeaseWritten, out *command.Outbox) {
	d := &r.OrderLease
	d.Writing, d.NextWrite = false, now+dutyRenewEvery
	if e.Failure != nil {
		d.NextWrite = now + dutyRetry
		if e.Failure.Reason == verdict.ReasonConflict && d.Held {
			d.Held = false
			logDuty("lease for orders lost", d, out)
		}
		return
	}
	silent := now - d.VersionSeenAt
	before := d.Holder
	d.Version, d.VersionSeenAt = e.Version, now
	if e.Released {
		d.Held, d.Holder = false, lot.Process{}
		logDuty("lease for orders released", d, out)
		return
	}
	d.ValidUntil, d.Holder = e.SentAt+dutyValidFor, r.Self
	if e.Acquired && !d.Held {
		d.Held, d.Fence = true, e.Version
		d.OrdersFrom = ordersFrom(now, r, before, silent)
		logDuty("lease for orders taken", d, out)
	}
}

// ordersFrom returns the earliest time of the first order of a new holder: the last
// holder's orders must be older than the lease. Orders of an earlier lifetime of
// this host count as its own.
func ordersFrom(now time.Duration, r *table.Rollout, before lot.Process, silent time.Duration) time.Duration {
	switch {
	case before.Host == r.Self.Host:
		return now
	case before == lot.Process{} && silent >= now: // nobody held it since this process started
		return now
	case before == lot.Process{}:
		return now - silent + r.LeaseTTL + orderFlight
	default:
		return now - silent + dutyValidFor + r.LeaseTTL + orderFlight
	}
}

func releaseDuty(r *table.Rollout, out *command.Outbox) {
	for _, s := range r.Servers.All() {
		if s.Order.Pending {
			return
		}
	}
	r.OrderLease.Writing = true
	out.Add(command.WriteOrderLease{Version: r.OrderLease.Version, Release: true})
}

func renewDuty(now time.Duration, r *table.Rollout, out *command.Outbox) {
	if now < r.OrderLease.NextWrite {
		out.WakeAt(r.OrderLease.NextWrite)
		return
	}
	r.OrderLease.Writing = true
	out.Add(command.WriteOrderLease{Version: r.OrderLease.Version})
}

func takeDuty(now time.Duration, r *table.Rollout, feed *table.Feed, out *command.Outbox) {
	d := &r.OrderLease
	due := max(d.VersionSeenAt, feed.Since) + turn(r, "duty", turnStep)
	switch {
	case d.Holder == lot.Process{}:
		due += dutyFirst
	case d.Holder.Host != r.Self.Host:
		due += dutyTakeAfter
	}
	due = max(due, d.NextWrite)
	if now < due {
		out.WakeAt(due)
		return
	}
	d.Writing = true
	out.Add(command.WriteOrderLease{Version: d.Version, Acquire: true})
}

func logDuty(message string, d *table.OrderLease, out *command.Outbox) {
	out.Add(command.LogChange{Message: message, Fields: []command.Field{
		field("holder", d.Holder.Host), field("row_version", strconv.FormatUint(d.Version, 10)),
		field("fence", strconv.FormatUint(d.Fence, 10)),
	}})
}
