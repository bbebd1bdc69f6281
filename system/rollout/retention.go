package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// retentionMargin is added to the time for which the deployment promises results. It
	// lets reads finish that begin just before the end of that time.
	retentionMargin = time.Minute
	// abandonedLotRetention is the time after which a lot that its trainer never ended
	// counts as abandoned. Results of such a lot are promised without a time limit, but no
	// trainer reads a lot for that long.
	abandonedLotRetention = time.Hour
	// deleteInterval is the minimum time between two deletions. It is far shorter than the
	// time between two submissions, so that deletions keep up with them.
	deleteInterval = 200 * time.Millisecond
	// deleteRetryDelay is the wait before a lot that could not be deleted is tried again.
	deleteRetryDelay = 5 * time.Second
)

// Retention removes old lots from the store. Only the holder of the order lease does so,
// to avoid concurrent deletions; these would be harmless. The age is counted from the
// last change that this host has seen, so that a step of the wall clock cannot shorten
// the retention.
func Retention(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		if d, ok := e.(event.LotDeleted); ok {
			r.Deleting, r.NextDelete = false, now+deleteInterval
			applyDeletion(now, r, d)
			logDeleted(d, out)
		}
	}
	if !r.OrderLease.Held || r.Draining || r.Deleting || r.ResultRetention <= 0 {
		return
	}
	for _, l := range r.Lots.All() {
		keep := r.ResultRetention + retentionMargin
		if !l.Head.Ended {
			keep = max(keep, abandonedLotRetention)
		}
		if l.Stage != table.LotNotOwned || l.Head.Open() || !headConfirmed(r, l) || now-l.VersionSeenAt < keep {
			continue
		}
		if now < l.RetryAt {
			out.WakeAt(l.RetryAt)
			continue
		}
		if now < r.NextDelete {
			out.WakeAt(r.NextDelete)
			return
		}
		r.Deleting = true
		out.Add(command.DeleteLot{Head: l.Head, Version: l.Version})
		return
	}
}

// applyDeletion forgets a lot that was deleted. A lot that could not be deleted is tried
// again later, so that one whose partition is unavailable does not delay the others.
func applyDeletion(now time.Duration, r *table.Rollout, d event.LotDeleted) {
	l := r.Lots.Find(d.ID)
	switch {
	case l == nil || l.Version != d.Version:
		return // changed during the deletion
	case d.Failure != nil:
		l.RetryAt = now + deleteRetryDelay
	default:
		r.Lots.Delete(d.ID)
		r.LotsChanged = true
	}
}

func logDeleted(d event.LotDeleted, out *command.Outbox) {
	if d.Failure == nil {
		out.Add(command.LogChange{Message: "old lot deleted", Fields: []command.Field{field("lot", d.ID)}})
		return
	}
	out.Add(command.Count{Counter: "lot_not_deleted", Tags: map[string]string{"reason": string(d.Failure.Reason)}, Delta: 1})
	out.Add(command.LogChange{Message: "old lot not deleted", Fields: []command.Field{
		field("lot", d.ID), field("reason", string(d.Failure.Reason)), field("error", d.Failure.Message),
	}})
}
