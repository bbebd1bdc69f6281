package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
)

// Drain hands the lots of this process over during a planned stop: runs end, and
// what they have generated is written with the hand-over, so that the next owner
// continues from there.
func Drain(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		if _, ok := e.(event.DrainRequested); ok && !r.Draining {
			r.Draining = true
			stopRuns(t, out)
		}
	}
	if !r.Draining {
		return
	}
	left := r.OrderLease.Held || r.OrderLease.Writing
	for _, l := range r.Lots.All() {
		if l.Stage != table.LotOwned {
			continue
		}
		left = true
		if l.Write == nil && !hasRunningItem(t, l) {
			beginHandover(now, r, l)
		}
	}
	if !left && !r.HandedOver {
		r.HandedOver = true
		out.Add(command.HandoverFinished{})
	}
}

func stopRuns(t *table.Tables, out *command.Outbox) {
	for key, item := range t.Rollout.Items.All() {
		if item.Stage == table.ItemRunning {
			out.Add(command.StopRun{Key: key, Run: item.Run})
		}
	}
}

func hasRunningItem(t *table.Tables, l *table.Lot) bool {
	for _, key := range itemKeys(l) {
		if item := t.Rollout.Items.Find(key); item != nil && item.Stage == table.ItemRunning {
			return true
		}
	}
	return false
}

func beginHandover(now time.Duration, r *table.Rollout, l *table.Lot) {
	n := countFitting(l.Pending)
	h := l.Head
	h.Owner, h.Listed, h.WriteID = lot.Process{}, h.Listed+n, newWriteID(r)
	if !h.Open() {
		h.Owner = r.Self
	}
	l.Write = &table.LotWrite{Head: h, Results: l.Pending[:n:n], Release: true}
	l.Pending = l.Pending[n:]
	l.RetryAt = now
}
