package rollout

import (
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// resultGatherWindow is the time for which results are collected into one commit,
	// counted from the first.
	resultGatherWindow = 25 * time.Millisecond
	// maxWriteResults and maxWriteBytes bound the results of a commit and the bytes of
	// their texts. They keep the commit within the store's limits of 100 rows and 1 MB;
	// encoded values are a third larger than the texts.
	maxWriteResults = 60
	maxWriteBytes   = 400_000
	// maxProgressItems and maxProgressBytes bound the unfinished items of a commit and the
	// bytes of their events, which are stored together with the results.
	maxProgressItems = 30
	maxProgressBytes = 200_000
	// progressInterval is the minimum time between two writes with the events of
	// unfinished items. A new owner continues an item after the stored events.
	progressInterval = time.Second
	// writeRetryDelay is the wait before a failed write, whose outcome may be unknown, is
	// sent again.
	writeRetryDelay = 120 * time.Millisecond
)

// LotWrites commits the results and the progress of owned lots. The writes also show
// that the owner is alive. A lot has at most one write in flight, which is sent again
// unchanged until its outcome is known.
func LotWrites(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
	for _, l := range t.Rollout.Lots.All() {
		if l.Stage != table.LotOwned || !headConfirmed(&t.Rollout, l) {
			continue
		}
		if l.Write == nil && !l.Releasing { // the handover holds the remaining results
			beginWrite(now, t, l, out)
		}
		if l.Write != nil && !l.Write.InFlight {
			sendWrite(now, t, l, out)
		}
	}
}

// beginWrite prepares the next write of a lot when it is due.
func beginWrite(now time.Duration, t *table.Tables, l *table.Lot, out *command.Outbox) {
	due := l.LastWriteAt + headRenewInterval
	if t.Rollout.Draining && !l.Releasing {
		due = now // shows whether the store takes the handover
	}
	if len(l.Pending) > 0 {
		due = min(due, l.PendingSince+resultGatherWindow)
	}
	if now < due {
		out.WakeAt(due)
		return
	}
	n := countFitting(l.Pending)
	h := l.Head
	h.Listed += n
	h.WriteID = newWriteID(&t.Rollout)
	l.Write = &table.LotWrite{Head: h, Results: l.Pending[:n:n]}
	if now-l.LastProgressAt >= progressInterval {
		l.LastProgressAt = now
		addProgress(l.Write, unstoredProgress(t, l))
	}
	l.Pending = l.Pending[n:]
	l.RetryAt = now
}

// countFitting returns the number of results that fit into one commit.
func countFitting(results []lot.Result) int {
	bytes := 0
	for i := range results {
		bytes += len(results[i].Text)
		if i == maxWriteResults || (i > 0 && bytes > maxWriteBytes) {
			return i
		}
	}
	return len(results)
}

// sendWrite sends the prepared write of a lot.
func sendWrite(now time.Duration, t *table.Tables, l *table.Lot, out *command.Outbox) {
	if now < l.RetryAt {
		out.WakeAt(l.RetryAt)
		return
	}
	l.Write.InFlight, l.LastWriteAt = true, now
	if l.Write.Release {
		addProgress(l.Write, unstoredProgress(t, l))
	}
	out.Add(command.WriteLot{Head: l.Write.Head, Version: l.Version, Results: l.Write.Results, Progress: l.Write.Progress})
}

func addProgress(w *table.LotWrite, all []lot.Progress) {
	w.Progress = all
	w.Head.HasProgress = w.Head.HasProgress || len(all) > 0
}

// handleWritten applies the outcome of a write.
func handleWritten(now time.Duration, t *table.Tables, e event.LotWritten, out *command.Outbox) {
	l := t.Rollout.Lots.Find(e.ID)
	if l == nil || l.Write == nil || l.Write.Head.WriteID != e.WriteID {
		return
	}
	w := l.Write
	switch {
	case e.Current != nil:
		l.Write = nil
		l.Pending = append(w.Results[:len(w.Results):len(w.Results)], l.Pending...)
		out.Add(command.Count{Counter: "lot_write_conflicts", Delta: 1})
		applyConflict(now, t, l, e.Current, out)
	case e.Failure != nil:
		w.InFlight, l.RetryAt = false, now+writeRetryDelay
		out.Add(command.Count{Counter: "lot_write_failed", Tags: map[string]string{"reason": string(e.Failure.Reason)}, Delta: 1})
	default:
		l.Write = nil
		applyCommit(now, t, l, w, e, out)
	}
}

// applyConflict applies the head of another write that was committed first.
func applyConflict(now time.Duration, t *table.Tables, l *table.Lot, current *event.HeadRow, out *command.Outbox) {
	if current.Deleted {
		dropLot(t, l, out)
		l.Stage = table.LotNotOwned
		return
	}
	replaceHead(now, t, l, current, out)
}

// applyCommit applies a successful write. A lot that was handed over or is complete is
// no longer owned.
func applyCommit(now time.Duration, t *table.Tables, l *table.Lot, w *table.LotWrite, e event.LotWritten, out *command.Outbox) {
	r := &t.Rollout
	r.LotsChanged = r.LotsChanged || len(w.Results) > 0
	l.Head, l.Version, l.VersionSeenAt = e.Head, e.Version, now
	for _, p := range w.Progress {
		if item := r.Items.Find(table.ItemKey(e.ID, p.Item)); item != nil {
			item.StoredEvents = len(p.Events)
		}
	}
	if len(w.Results) > 0 {
		out.Add(command.Count{Counter: "results_listed", Delta: int64(len(w.Results))})
	}
	if w.Release {
		logLot("lot handed over", l, out)
	} else if l.Head.Open() {
		return
	} else {
		logLot("lot complete", l, out, field("took_ms", millis(now-l.AcceptedAt)))
	}
	dropLot(t, l, out)
	l.Stage = table.LotNotOwned
}

// unstoredProgress returns the progress of the unfinished items of a lot that have events
// not stored yet, as far as it fits into one commit.
func unstoredProgress(t *table.Tables, l *table.Lot) []lot.Progress {
	var all []lot.Progress
	bytes := 0
	for _, key := range itemKeys(l) {
		item := t.Rollout.Items.Find(key)
		if item == nil || len(item.Events) == item.StoredEvents {
			continue
		}
		for _, e := range item.Events {
			bytes += len(e)
		}
		if len(all) == maxProgressItems || bytes > maxProgressBytes {
			break
		}
		all = append(all, lot.Progress{
			Item: item.Spec.ID, Events: item.Events, Versions: item.Versions, Software: item.Software, Complete: item.Stage == table.ItemScoring,
		})
	}
	return all
}

func itoa(n int) string { return strconv.Itoa(n) }
