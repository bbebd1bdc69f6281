package system

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// Intervals of the lease system.
const (
	leaseRetryDelay = 500 * time.Millisecond
	// renewalsPerTTL divides the TTL to give the time between renewals, so that two
	// renewals may fail before the lease expires.
	renewalsPerTTL = 3
	// freeLeaseGrace is the time for which only controllers below their share
	// acquire a released partition. Afterwards any controller may acquire it.
	freeLeaseGrace = 2 * time.Second
	// excessLeaseGrace is the time for which a controller keeps partitions beyond
	// its share, so that it releases them only if another controller has been
	// present for that long to acquire them.
	excessLeaseGrace = 10 * time.Second
)

// LeaseOptions are the lease parameters. They must be the same on all controllers.
type LeaseOptions struct {
	Partitions    int
	TTL           time.Duration
	Margin        time.Duration // time beyond TTL before a takeover
	OrderValidity time.Duration // maximum validity of an order to an engine
}

// Leases acquires, renews and releases the leases on this process's share of the
// partitions. It runs before every other system of a controller, so that a lease
// that expired while the process was suspended is noticed before anything is
// decided under it.
func Leases(o LeaseOptions) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		ensurePartitions(t, o.Partitions)
		leasesRead := false
		for _, e := range in {
			switch e := e.(type) {
			case event.LeaseWritten:
				applyLeaseWritten(now, t, o, e, out)
			case event.LeasesRead:
				t.Controller.LeasesPending = false
				if e.Failure == nil {
					applyLeases(now, t, e.Rows, out)
					leasesRead = true
				}
			case event.DrainRequested:
				t.Self.Draining = true
			}
		}
		expireLeases(now, t, out)
		if leasesRead {
			acquireLeases(now, t, o, out)
		}
		releaseExcess(now, t, o, out)
		renewLeases(now, t, o, out)
		scheduleLeaseRead(now, t, out)
	}
}

func ensurePartitions(t *table.Tables, n int) {
	for i := t.Partitions.Len(); i < n; i++ {
		p, _ := t.Partitions.Upsert(table.PartitionKey(i))
		p.Number = i
	}
}

func scheduleLeaseRead(now time.Duration, t *table.Tables, out *command.Outbox) {
	b := &t.Controller
	if b.LeasesPending {
		return // the answer wakes the loop
	}
	if now < b.LeasesNext {
		out.WakeAt(b.LeasesNext)
		return
	}
	b.LeasesPending, b.LeasesNext = true, now+leaseReadInterval(liveControllers(t))
	out.Add(command.ReadLeases{})
}

// applyLeases applies rows that are newer than the known ones. A read that was
// overtaken by a write of this process returns a lower row version.
func applyLeases(now time.Duration, t *table.Tables, rows []event.LeaseRow, out *command.Outbox) {
	for _, row := range rows {
		p := t.Partitions.Find(table.PartitionKey(row.Partition))
		if p == nil || row.RowVersion <= p.RowVersion {
			continue
		}
		switch {
		case p.Held && (row.Holder != t.Self.ID || row.Fence != p.Fence):
			dropPartition(t, p, "taken_over", out)
		case row.Holder != t.Self.ID:
			dropTrainers(t, p)
		}
		copyLease(now, p, row)
	}
}

func copyLease(now time.Duration, p *table.Partition, row event.LeaseRow) {
	p.RowVersion, p.Holder, p.Address = row.RowVersion, row.Holder, row.Address
	p.Fence, p.TTL, p.VersionSeenAt = row.Fence, row.TTL, now
}

func applyLeaseWritten(now time.Duration, t *table.Tables, o LeaseOptions, e event.LeaseWritten, out *command.Outbox) {
	p := t.Partitions.Find(table.PartitionKey(e.Row.Partition))
	if p == nil {
		return
	}
	p.Pending, p.RenewAt = false, now+leaseRetryDelay
	if e.Failure != nil || !e.Committed || e.Row.RowVersion < p.RowVersion {
		countReason(out, "lease_write_failed", failureReason(e.Failure))
		return
	}
	ordersFrom := ordersAllowedFrom(now, p, o)
	renewal := p.Held && p.Fence == e.Row.Fence
	copyLease(now, p, e.Row)
	if e.Row.Holder != t.Self.ID {
		return
	}
	p.ValidUntil = e.SentAt + e.Row.TTL
	p.RenewAt = e.SentAt + e.Row.TTL/renewalsPerTTL
	if !renewal {
		p.Held, p.Loaded, p.OrdersFrom = true, false, ordersFrom
		logPartition(out, "partition acquired", p, "")
	}
}

// ordersAllowedFrom returns the time at which all orders of the previous holder of
// p have expired. The previous lease ends at most TTL after its row version was
// first seen, and an order sent until then is valid for OrderValidity.
func ordersAllowedFrom(now time.Duration, p *table.Partition, o LeaseOptions) time.Duration {
	if p.Fence == 0 {
		return now
	}
	if p.Holder == "" {
		return now + o.OrderValidity
	}
	return max(now, p.VersionSeenAt+p.TTL+o.OrderValidity)
}

func expireLeases(now time.Duration, t *table.Tables, out *command.Outbox) {
	for _, p := range t.Partitions.All() {
		if !p.Held {
			continue
		}
		if now >= p.ValidUntil {
			expireLease(t, p, out)
			continue
		}
		out.WakeAt(p.ValidUntil)
	}
}

// endLease stops all decisions under a lease.
func endLease(p *table.Partition, reason string, out *command.Outbox) {
	p.Held, p.Loaded, p.Releasing = false, false, false
	countReason(out, "lease_lost", reason)
	logPartition(out, "partition no longer held", p, reason)
}

// expireLease ends a lease that could not be renewed. Results that are not stored
// yet are kept: during an outage of the table service no other controller can take
// over, and this process may acquire the partition again and load its rows.
func expireLease(t *table.Tables, p *table.Partition, out *command.Outbox) {
	endLease(p, "lapsed", out)
	for _, tr := range t.Trainers.All() {
		if tr.Partition == p.Number {
			tr.Loaded, tr.Claimed = false, false
		}
	}
}

// dropPartition ends a lease that another controller has or will acquire and
// removes the partition's trainers from the tables.
func dropPartition(t *table.Tables, p *table.Partition, reason string, out *command.Outbox) {
	endLease(p, reason, out)
	dropTrainers(t, p)
}

func dropTrainers(t *table.Tables, p *table.Partition) {
	for name, tr := range t.Trainers.All() {
		if tr.Partition == p.Number {
			dropTrainer(t, name)
		}
	}
}

func acquireLeases(now time.Duration, t *table.Tables, o LeaseOptions, out *command.Outbox) {
	if t.Self.Draining {
		return
	}
	markExpiredHolders(now, t, o)
	share, held := leaseShare(t, o.Partitions), 0
	for _, p := range t.Partitions.All() {
		if p.Held || (p.Pending && p.Holder != t.Self.ID) {
			held++
		}
	}
	// Controllers start at different partitions so that they rarely compete.
	start := int(xxhash.Sum64String(t.Self.ID) % uint64(o.Partitions))
	for i := range o.Partitions {
		p := t.Partitions.Find(table.PartitionKey((start + i) % o.Partitions))
		if p.Held || p.Pending || !canAcquire(now, t, p, o, held < share) {
			continue
		}
		held++
		p.Pending = true
		out.Add(command.WriteLease{Row: leaseRow(t, p, o, p.Fence+1)})
	}
}

// canAcquire reports whether the partition may be acquired. An expired lease may
// also be acquired beyond the share, because its holder may remain in the host
// table for a minute.
func canAcquire(now time.Duration, t *table.Tables, p *table.Partition, o LeaseOptions, belowShare bool) bool {
	switch p.Holder {
	case "":
		return belowShare || now >= p.VersionSeenAt+freeLeaseGrace
	case t.Self.ID:
		return belowShare // this process acquired it, but the answer to the write was lost
	default:
		return now >= p.VersionSeenAt+p.TTL+o.Margin
	}
}

func markExpiredHolders(now time.Duration, t *table.Tables, o LeaseOptions) {
	for _, p := range t.Partitions.All() {
		if p.Holder == "" || p.Held || now < p.VersionSeenAt+p.TTL+o.Margin {
			continue
		}
		if h := t.Hosts.Find(p.Holder); h != nil {
			h.LeaseExpiredAt = now
		}
	}
}

func renewLeases(now time.Duration, t *table.Tables, o LeaseOptions, out *command.Outbox) {
	for _, p := range t.Partitions.All() {
		if !p.Held || p.Pending {
			continue
		}
		if now >= p.RenewAt {
			p.Pending = true
			out.Add(command.WriteLease{Row: leaseRow(t, p, o, p.Fence)})
			continue
		}
		out.WakeAt(p.RenewAt)
	}
}

// leaseRow returns the row of a lease write. Its RowVersion is the version that
// the write expects in the store.
func leaseRow(t *table.Tables, p *table.Partition, o LeaseOptions, fence uint64) event.LeaseRow {
	return event.LeaseRow{
		Partition: p.Number, RowVersion: p.RowVersion, Holder: t.Self.ID,
		Address: t.Self.Address, Fence: fence, TTL: o.TTL,
	}
}

func logPartition(out *command.Outbox, message string, p *table.Partition, reason string) {
	out.Add(command.LogChange{Message: message, Fields: []command.Field{
		{Key: "partition", Value: table.PartitionKey(p.Number)},
		{Key: "fence", Value: strconv.FormatUint(p.Fence, 10)},
		{Key: "reason", Value: reason},
	}})
}
