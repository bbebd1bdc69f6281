package system

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// Periods of the lease system.
const (
	leaseReadPeriod = time.Second
	leaseRetry      = 500 * time.Millisecond
	// renewFraction of the length is the time between renewals, so that two may
	// fail before the lease lapses.
	renewFraction = 3
	// freeGrace is how long a released partition is left to controllers that
	// are below their share. After it any controller takes it.
	freeGrace = 2 * time.Second
	// excessGrace keeps a controller from releasing partitions to a host that
	// has not shown for this long that it is there to take them.
	excessGrace = 10 * time.Second
)

// LeaseOptions hold the lengths that all controllers agree on.
type LeaseOptions struct {
	Partitions int
	Length     time.Duration
	Margin     time.Duration // waited beyond Length before a take-over
	Order      time.Duration // longest validity of an order to an engine
}

// Leases holds this process's share of the partitions. It runs before every
// other system of background work, so that a lease that lapsed while the process
// was stopped is noticed before anything is decided under it.
func Leases(o LeaseOptions) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		ensurePartitions(t, o.Partitions)
		fresh := false
		for _, e := range in {
			switch e := e.(type) {
			case event.LeaseWritten:
				applyLeaseWritten(now, t, o, e, out)
			case event.LeasesRead:
				t.Background.LeasesPending = false
				if e.Failure == nil {
					applyLeases(now, t, e.Rows, out)
					fresh = true
				}
			case event.DrainRequested:
				t.Self.Draining = true
			}
		}
		expireLeases(now, t, out)
		if fresh {
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
	b := &t.Background
	if b.LeasesPending {
		return // its answer wakes the loop
	}
	if now < b.LeasesNext {
		out.WakeAt(b.LeasesNext)
		return
	}
	b.LeasesPending, b.LeasesNext = true, now+leaseReadPeriod
	out.Add(command.ReadLeases{})
}

// applyLeases takes over rows that are newer than what is known. A read that was
// overtaken by this process's own write shows a lower row version.
func applyLeases(now time.Duration, t *table.Tables, rows []event.LeaseRow, out *command.Outbox) {
	for _, row := range rows {
		p := t.Partitions.Find(table.PartitionKey(row.Partition))
		if p == nil || row.RowVersion <= p.RowVersion {
			continue
		}
		if p.Held && (row.Holder != t.Self.ID || row.Fence != p.Fence) {
			dropPartition(t, p, "taken_over", out)
		}
		copyLease(now, p, row)
	}
}

func copyLease(now time.Duration, p *table.Partition, row event.LeaseRow) {
	p.RowVersion, p.Holder, p.Address = row.RowVersion, row.Holder, row.Address
	p.Fence, p.Length, p.SeenSince = row.Fence, row.Length, now
}

func applyLeaseWritten(now time.Duration, t *table.Tables, o LeaseOptions, e event.LeaseWritten, out *command.Outbox) {
	p := t.Partitions.Find(table.PartitionKey(e.Row.Partition))
	if p == nil {
		return
	}
	p.Pending, p.RenewAt = false, now+leaseRetry
	if e.Failure != nil || !e.Committed || e.Row.RowVersion < p.RowVersion {
		countReason(out, "lease_write_failed", failureReason(e.Failure))
		return
	}
	ordersFrom := ordersFromAfter(now, p, o)
	renewal := p.Held && p.Fence == e.Row.Fence
	copyLease(now, p, e.Row)
	if e.Row.Holder != t.Self.ID {
		return
	}
	p.ValidUntil = e.SentAt + e.Row.Length
	p.RenewAt = e.SentAt + e.Row.Length/renewFraction
	if !renewal {
		p.Held, p.Loaded, p.OrdersFrom = true, false, ordersFrom
		logPartition(out, "partition acquired", p, "")
	}
}

// ordersFromAfter returns when orders of the holder before p's next write have
// lapsed: its lease ends no later than Length after its row version was seen,
// and an order that it sent until then is valid for Order.
func ordersFromAfter(now time.Duration, p *table.Partition, o LeaseOptions) time.Duration {
	if p.Fence == 0 {
		return now
	}
	if p.Holder == "" {
		return now + o.Order
	}
	return max(now, p.SeenSince+p.Length+o.Order)
}

func expireLeases(now time.Duration, t *table.Tables, out *command.Outbox) {
	for _, p := range t.Partitions.All() {
		if !p.Held {
			continue
		}
		if now >= p.ValidUntil {
			dropPartition(t, p, "lapsed", out)
			continue
		}
		out.WakeAt(p.ValidUntil)
	}
}

// dropPartition forgets what was known under a lease that is over. Rows of the
// table service are loaded again by the next holder.
func dropPartition(t *table.Tables, p *table.Partition, reason string, out *command.Outbox) {
	p.Held, p.Loaded, p.Releasing = false, false, false
	countReason(out, "lease_lost", reason)
	logPartition(out, "partition given up", p, reason)
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
	markLapsedHolders(now, t, o)
	share, held := leaseShare(t, o.Partitions), 0
	for _, p := range t.Partitions.All() {
		if p.Held || (p.Pending && p.Holder != t.Self.ID) {
			held++
		}
	}
	// Controllers start at different partitions, so that they seldom compete.
	start := int(xxhash.Sum64String(t.Self.ID) % uint64(o.Partitions))
	for i := range o.Partitions {
		p := t.Partitions.Find(table.PartitionKey((start + i) % o.Partitions))
		if p.Held || p.Pending || !takeable(now, t, p, o, held < share) {
			continue
		}
		held++
		p.Pending = true
		out.Add(command.WriteLease{Row: leaseRow(t, p, o, p.Fence+1)})
	}
}

// takeable reports whether the partition may be acquired. A lapsed lease is
// taken beyond the share too: its holder may stay in the host list for a minute.
func takeable(now time.Duration, t *table.Tables, p *table.Partition, o LeaseOptions, belowShare bool) bool {
	switch p.Holder {
	case "":
		return belowShare || now >= p.SeenSince+freeGrace
	case t.Self.ID:
		return belowShare // an earlier write whose answer was lost
	default:
		return now >= p.SeenSince+p.Length+o.Margin
	}
}

func markLapsedHolders(now time.Duration, t *table.Tables, o LeaseOptions) {
	for _, p := range t.Partitions.All() {
		if p.Holder == "" || p.Held || now < p.SeenSince+p.Length+o.Margin {
			continue
		}
		if h := t.Hosts.Find(p.Holder); h != nil {
			h.LapsedAt = now
		}
	}
}

// leaseShare is the number of partitions per live controller, rounded up. A
// controller whose lease lapsed counts again once it renews its host row.
func leaseShare(t *table.Tables, partitions int) int {
	live := 1
	for id, h := range t.Hosts.All() {
		if h.Role == table.RoleController && id != t.Self.ID && (h.LapsedAt == 0 || h.RowSeen > h.LapsedAt) {
			live++
		}
	}
	return (partitions + live - 1) / live
}

func releaseExcess(now time.Duration, t *table.Tables, o LeaseOptions, out *command.Outbox) {
	share := leaseShare(t, o.Partitions)
	if t.Self.Draining {
		share = 0
	}
	held := 0
	for _, p := range t.Partitions.All() {
		if !p.Held {
			continue
		}
		if held++; held <= share {
			p.ExcessFrom = 0
			continue
		}
		if p.ExcessFrom == 0 {
			p.ExcessFrom = now
		}
		p.Releasing = p.Releasing || t.Self.Draining || now >= p.ExcessFrom+excessGrace
		if p.Releasing && !p.Pending && !writing(t, p) {
			releaseLease(t, p, o, out)
		}
	}
	if t.Self.Draining {
		finishDrain(now, t, o, out)
	}
}

// finishDrain repeats releases that failed and reports when no lease is left. A
// lease that could not be released in time has lapsed.
func finishDrain(now time.Duration, t *table.Tables, o LeaseOptions, out *command.Outbox) {
	left := 0
	for _, p := range t.Partitions.All() {
		if p.Holder != t.Self.ID || now >= p.ValidUntil {
			continue
		}
		left++
		if !p.Held && !p.Pending && now >= p.RenewAt {
			sendRelease(t, p, o, out)
		}
	}
	if left == 0 && !t.Background.Released {
		t.Background.Released = true
		out.Add(command.DrainFinished{})
	}
}

// writing reports whether writes or orders under the lease are under way.
func writing(t *table.Tables, p *table.Partition) bool {
	for _, tr := range t.Trainers.All() {
		if tr.Partition == p.Number && (tr.Pending || tr.RowsPending || (tr.Claimed && len(tr.Done) > 0)) {
			return true
		}
	}
	for _, w := range t.Weights.All() {
		for _, s := range w.Samplers {
			if w.Partition == p.Number && s.OrderPending {
				return true
			}
		}
	}
	return false
}

// releaseLease stops all decisions under the lease at once; the write tells the
// others. If it fails, the lease lapses.
func releaseLease(t *table.Tables, p *table.Partition, o LeaseOptions, out *command.Outbox) {
	dropPartition(t, p, "handed_over", out)
	p.ExcessFrom = 0
	sendRelease(t, p, o, out)
}

func sendRelease(t *table.Tables, p *table.Partition, o LeaseOptions, out *command.Outbox) {
	p.Pending = true
	row := leaseRow(t, p, o, p.Fence)
	row.Holder, row.Address = "", ""
	out.Add(command.WriteLease{Row: row})
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

// leaseRow names the row version that the write requires.
func leaseRow(t *table.Tables, p *table.Partition, o LeaseOptions, fence uint64) event.LeaseRow {
	return event.LeaseRow{
		Partition: p.Number, RowVersion: p.RowVersion, Holder: t.Self.ID,
		Address: t.Self.Address, Fence: fence, Length: o.Length,
	}
}

func logPartition(out *command.Outbox, message string, p *table.Partition, reason string) {
	out.Add(command.LogChange{Message: message, Fields: []command.Field{
		{Key: "partition", Value: table.PartitionKey(p.Number)},
		{Key: "fence", Value: strconv.FormatUint(p.Fence, 10)},
		{Key: "reason", Value: reason},
	}})
}
