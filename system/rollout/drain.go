package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
)

// recentCommitAge is the age of the last commit of a lot up to which the store is expected
// to take the handover of the lot as well.
const recentCommitAge = 300 * time.Millisecond

// Drain hands over the lots of this process during a graceful shutdown. It stops the runs
// of a lot and writes their output so far together with the handover, so that the next
// owner continues from there. While the store takes no commit of the lot, its items keep
// running: no other host could continue them.
func Drain(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		if _, ok := e.(event.DrainRequested); ok && !r.Draining {
			r.Draining = true
		}
	}
	if !r.Draining {
		return
	}
	pending := r.OrderLease.Held || r.OrderLease.Writing
	for _, l := range r.Lots.All() {
		pending = pending || l.Stage == table.LotAdopting // handed over once it is loaded
		if l.Stage != table.LotOwned {
			continue
		}
		pending = true
		if !l.Releasing && l.Write == nil && now-l.VersionSeenAt <= recentCommitAge {
			l.Releasing = true
			stopRuns(t, l, out)
		}
		if l.Releasing && l.Write == nil && !hasRunningItem(t, l) {
			beginHandover(now, r, l)
		}
	}
	if !pending && !r.HandedOver {
		r.HandedOver = true
		out.Add(command.HandoverFinished{})
	}
}

// stopRuns stops the runs of a lot's items.
func stopRuns(t *table.Tables, l *table.Lot, out *command.Outbox) {
	for _, key := range itemKeys(l) {
		if item := t.Rollout.Items.Find(key); item != nil && item.Stage == table.ItemRunning {
			out.Add(command.StopRun{Key: key, Run: item.Run})
		}
	}
}

// hasRunningItem reports whether a run of one of the lot's items is under way.
func hasRunningItem(t *table.Tables, l *table.Lot) bool {
	for _, key := range itemKeys(l) {
		if item := t.Rollout.Items.Find(key); item != nil && item.Stage == table.ItemRunning {
			return true
		}
	}
	return false
}

// beginHandover prepares the write that removes this process as owner of the lot, or one
// of the writes before it if the results do not fit into one. A lot that is no longer open
// after the write keeps its owner.
func beginHandover(now time.Duration, r *table.Rollout, l *table.Lot) {
	n := countFitting(l)
	last := n == len(l.Pending)
	h := l.Head
	h.Listed, h.WriteID = h.Listed+n, newWriteID(r)
	if last && h.Open() {
		h.Owner = lot.Process{}
	}
	l.Write = &table.LotWrite{Head: h, Results: l.Pending[:n:n], Release: last}
	l.Pending = l.Pending[n:]
	l.RetryAt = now
}
