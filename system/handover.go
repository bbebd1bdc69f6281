package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/table"
)

// releaseExcess releases the partitions that this process holds beyond its share.
// During a drain it releases all of them.
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
		p.Releasing = p.Releasing || t.Self.Draining || now >= p.ExcessFrom+excessLeaseGrace
		if p.Releasing && !p.Pending && !hasPendingWork(t, p) {
			releaseLease(t, p, o, out)
		}
	}
	if t.Self.Draining {
		finishDrain(now, t, o, out)
	}
}

// finishDrain retries failed releases and reports the end of the drain when no
// lease is left. A lease that could not be released in time has expired.
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
	if left == 0 && !t.Controller.Released {
		t.Controller.Released = true
		out.Add(command.DrainFinished{})
	}
}

// hasPendingWork reports whether writes or orders under the lease are in flight
// or finished samples still have to be written.
func hasPendingWork(t *table.Tables, p *table.Partition) bool {
	for _, tr := range t.Trainers.All() {
		if tr.Partition == p.Number && (tr.Pending || tr.RowsPending || (tr.Claimed && len(tr.FinishedSamples) > 0)) {
			return true
		}
	}
	for _, w := range t.Weights.All() {
		for _, s := range w.Engines {
			if w.Partition == p.Number && s.OrderPending {
				return true
			}
		}
	}
	return false
}

// releaseLease stops all decisions under the lease immediately and writes the
// release for the other controllers. If the write fails, the lease expires.
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
