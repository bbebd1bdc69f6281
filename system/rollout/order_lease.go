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
	// orderLeaseRenewInterval is the time between two renewals. It allows a holder two
	// attempts within orderLeaseValidity.
	orderLeaseRenewInterval = 800 * time.Millisecond
	// orderLeaseValidity is the time for which a holder may send orders, counted from
	// just before its last renewal was sent.
	orderLeaseValidity = 2 * time.Second
	// orderLeaseTakeoverTimeout is the time without a renewal after which another host
	// acquires the lease. The new holder waits longer before its first order, see ordersFrom.
	orderLeaseTakeoverTimeout = 2500 * time.Millisecond
	// firstAcquireDelay is the wait before a lease without a holder is acquired. By then,
	// hosts that started at the same time have read each other's presence rows, which
	// determine the order of their attempts (see staggerDelay).
	firstAcquireDelay = 250 * time.Millisecond
	// orderLeaseRetryDelay is the wait after a failed write of the lease row.
	orderLeaseRetryDelay = 250 * time.Millisecond
	// orderLeaseYieldDelay is the wait of a process that yielded the lease before it acquires
	// it again, if no other process does. It is longer than another process takes.
	orderLeaseYieldDelay = 3 * time.Second
	// maxOrderInFlight bounds the time for which an order may be in flight after the
	// lease of its sender ended.
	maxOrderInFlight = 300 * time.Millisecond
)

// OrderLease ensures that only one process at a time sends orders to engines. The
// lease is a row that its holder renews. Another process acquires it when the row has
// not changed for orderLeaseTakeoverTimeout on that process's own clock.
func OrderLease(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		switch e := e.(type) {
		case event.OrderLeaseRead:
			applyOrderLeaseRead(now, r, e, out)
		case event.OrderLeaseWritten:
			applyOrderLeaseWritten(now, r, e, out)
		}
	}
	feed := r.Feeds.Find(feedCoordination)
	if r.OrderLease.Writing || feed == nil || r.Desired == nil {
		return
	}
	switch {
	case r.OrderLease.Held && (r.Draining || r.OrderLease.Yielding):
		releaseOrderLease(now, r, out)
	case r.OrderLease.Held:
		renewOrderLease(now, r, out)
	case !r.Draining && !feed.Down:
		acquireOrderLease(now, r, feed, out)
	}
}

func applyOrderLeaseRead(now time.Duration, r *table.Rollout, e event.OrderLeaseRead, out *command.Outbox) {
	lease := &r.OrderLease
	if e.Version <= lease.Version {
		return
	}
	lease.Holder, lease.Version, lease.VersionSeenAt = e.Holder, e.Version, now
	if e.Holder != r.Self {
		lease.Predecessor = table.Predecessor{Known: true, Holder: e.Holder, Settled: e.Settled, Quiet: e.Quiet, SeenAt: now}
	}
	recordStoreUp(now, r, e)
	if lease.Held && e.Holder != r.Self {
		lease.Held = false
		logOrderLease("order lease lost", lease, out)
	}
}

// recordStoreUp records since when the store has served the holder of the lease. If that is
// longer than it has served this host, only this host was cut off. A row that was written
// while this host was cut off says nothing of the time since.
func recordStoreUp(now time.Duration, r *table.Rollout, e event.OrderLeaseRead) {
	coordination, servers := r.Feeds.Find(feedCoordination), r.Feeds.Find(feedServers)
	if coordination == nil || !coordination.CaughtUp || servers == nil || servers.Down || e.StoreUpFor <= 0 {
		return
	}
	servers.ServedSince = min(servers.ServedSince, now-e.StoreUpFor)
}

// storeUpFor returns the time for which the store has served this host without a break.
func storeUpFor(now time.Duration, r *table.Rollout) time.Duration {
	servers := r.Feeds.Find(feedServers)
	if servers == nil || servers.Down {
		return 0
	}
	return now - servers.Since
}

func applyOrderLeaseWritten(now time.Duration, r *table.Rollout, e event.OrderLeaseWritten, out *command.Outbox) {
	lease := &r.OrderLease
	lease.Writing, lease.NextWrite = false, now+orderLeaseRenewInterval
	if e.Failure != nil {
		lease.NextWrite = now + orderLeaseRetryDelay
		if e.Failure.Reason == verdict.ReasonConflict && lease.Held {
			lease.Held = false
			logOrderLease("order lease lost", lease, out)
		}
		return
	}
	lease.Version, lease.VersionSeenAt = e.Version, now
	if e.Released {
		lease.Held, lease.Holder = false, lot.Process{}
		if lease.Yielding {
			lease.Yielding, lease.NextWrite = false, now+orderLeaseYieldDelay
		}
		logOrderLease("order lease released", lease, out)
		return
	}
	lease.ValidUntil, lease.Holder = e.SentAt+orderLeaseValidity, r.Self
	if e.Acquired && !lease.Held {
		lease.Held, lease.Fence, lease.Yielding = true, e.Version, false
		lease.LastOrderAt = lastForeignOrder(r, &lease.Predecessor)
		lease.OrdersFrom = lease.LastOrderAt + r.OrderHandoverDelay + maxOrderInFlight
		logOrderLease("order lease acquired", lease, out)
	}
}

// lastForeignOrder returns the latest time at which another host may have sent an order,
// before this process acquired the lease. It is long ago if no other host can have.
func lastForeignOrder(r *table.Rollout, p *table.Predecessor) time.Duration {
	switch {
	case !p.Known, p.Holder.Host == r.Self.Host && p.Settled:
		return -r.OrderHandoverDelay - maxOrderInFlight
	case p.Holder == lot.Process{}:
		return p.SeenAt - p.Quiet
	default: // also an earlier process of this host that was still waiting
		return p.SeenAt + orderLeaseValidity
	}
}

// releaseOrderLease releases the lease once no order and no call of a duty is pending. The row tells how long ago
// the last order was sent, so that the next holder waits no longer than necessary.
func releaseOrderLease(now time.Duration, r *table.Rollout, out *command.Outbox) {
	if r.OrderLease.DutyCalls > 0 {
		return
	}
	for _, s := range r.Servers.All() {
		if s.Order.Pending {
			return
		}
	}
	r.OrderLease.Writing = true
	out.Add(command.WriteOrderLease{Version: r.OrderLease.Version, Release: true, Quiet: max(0, now-r.OrderLease.LastOrderAt)})
}

func renewOrderLease(now time.Duration, r *table.Rollout, out *command.Outbox) {
	if now < r.OrderLease.NextWrite {
		out.WakeAt(r.OrderLease.NextWrite)
		return
	}
	r.OrderLease.Writing = true
	out.Add(command.WriteOrderLease{Version: r.OrderLease.Version, Settled: now >= r.OrderLease.OrdersFrom, StoreUpFor: storeUpFor(now, r)})
}

// acquireOrderLease requests the lease if it has no holder, if its holder stopped renewing
// it, or if it was held by an earlier process of this host.
func acquireOrderLease(now time.Duration, r *table.Rollout, feed *table.Feed, out *command.Outbox) {
	lease := &r.OrderLease
	due := max(lease.VersionSeenAt, feed.Since) + staggerDelay(r, "duty", staggerStep)
	switch {
	case lease.Holder == lot.Process{}:
		due += firstAcquireDelay
	case lease.Holder.Host != r.Self.Host:
		due += orderLeaseTakeoverTimeout
	}
	due = max(due, lease.NextWrite)
	if now < due {
		out.WakeAt(due)
		return
	}
	lease.Writing = true
	out.Add(command.WriteOrderLease{Version: lease.Version, Acquire: true})
}

func logOrderLease(message string, lease *table.OrderLease, out *command.Outbox) {
	out.Add(command.LogChange{Message: message, Fields: []command.Field{
		field("holder", lease.Holder.Host), field("row_version", strconv.FormatUint(lease.Version, 10)),
		field("fence", strconv.FormatUint(lease.Fence, 10)),
		field("predecessor", lease.Predecessor.Holder.Host), field("orders_from_ms", millis(lease.OrdersFrom)), field("quiet_ms", millis(lease.Predecessor.Quiet)),
	}})
}
