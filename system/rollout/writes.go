package rollout

import (
	"slices"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// resultGatherWindow is the time for which results are collected into one commit,
	// counted from the first.
	resultGatherWindow = 25 * time.Millisecond
	// maxWriteResults bounds the results of a commit. Their size is bounded as well, see
	// lot.Size.
	maxWriteResults = 60
	// maxProgressItems bounds the unfinished items of a commit whose events are stored
	// together with the results, as far as these leave room.
	maxProgressItems = 30
	// progressInterval is the minimum time between two writes with the events of
	// unfinished items. A new owner continues an item after the stored events.
	progressInterval = time.Second
	// writeRetryDelay is the wait before a failed write, whose outcome may be unknown, is
	// sent again.
	writeRetryDelay = 120 * time.Millisecond
)

// LotWrites commits the results and the progress of owned lots. The writes also show
// that the owner is alive. A lot has at most one write in flight, which is sent again
// unchanged until its outcome is known. Once the store is available again, failed writes are
// sent at once.
func LotWrites(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	regained := slices.ContainsFunc(in, func(e event.Event) bool {
		f, ok := e.(event.FeedChanged)
		return ok && f.Table == feedCoordination && !f.Down
	})
	for _, l := range t.Rollout.Lots.All() {
		if l.Stage != table.LotOwned || !headConfirmed(&t.Rollout, l) {
			continue
		}
		if regained {
			l.RetryAt = min(l.RetryAt, now)
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
	n := countFitting(l)
	h := l.Head
	h.Listed += n
	h.WriteID = newWriteID(&t.Rollout)
	updateStep(now, &t.Rollout, l, &h)
	l.Write = &table.LotWrite{Head: h, Results: l.Pending[:n:n]}
	if now-l.LastProgressAt >= progressInterval {
		l.LastProgressAt = now
		addProgress(l.Write, unstoredProgress(t, l, sizeOf(l.Write.Results)))
	}
	l.Pending = l.Pending[n:]
	l.RetryAt = now
}

// countFitting returns the number of pending results of a lot that fit into one commit.
func countFitting(l *table.Lot) int {
	most := min(maxWriteResults, len(l.Pending))
	if l.MaxWriteResults > 0 {
		most = min(most, l.MaxWriteResults)
	}
	var size lot.Size
	for i := range most {
		if size = size.Plus(l.Pending[i].Size()); !size.Fits() && i > 0 {
			return i
		}
	}
	return most
}

// sizeOf returns the space that results take in a commit.
func sizeOf(results []lot.Result) lot.Size {
	var size lot.Size
	for i := range results {
		size = size.Plus(results[i].Size())
	}
	return size
}

// sendWrite sends the prepared write of a lot.
func sendWrite(now time.Duration, t *table.Tables, l *table.Lot, out *command.Outbox) {
	if now < l.RetryAt {
		out.WakeAt(l.RetryAt)
		return
	}
	l.Write.InFlight, l.LastWriteAt = true, now
	if l.Write.Release {
		addProgress(l.Write, unstoredProgress(t, l, sizeOf(l.Write.Results)))
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
		if e.Failure.Reason == verdict.ReasonStoreRejected && e.Failure.Verdict == verdict.NotRun {
			splitWrite(l, e.Failure, out)
		}
	default:
		l.Write = nil
		applyCommit(now, t, l, w, e, out)
	}
}

// splitWrite discards a write that the store will never accept. The next one has half of its
// results; a single result is replaced by one without its text, so that it does not hold up
// the others.
func splitWrite(l *table.Lot, failure *event.Failure, out *command.Outbox) {
	w := l.Write
	n := len(w.Results)
	logLot("write of lot rejected", l, out, field("results", itoa(n)), field("progress", itoa(len(w.Progress))), field("error", failure.Message))
	if n == 1 {
		terminateResult(l, &w.Results[0], out)
	}
	l.Write = nil
	l.Pending = append(w.Results[:n:n], l.Pending...)
	l.MaxWriteResults = max(1, n/2)
}

// terminateResult replaces a result that cannot be stored.
func terminateResult(l *table.Lot, r *lot.Result, out *command.Outbox) {
	out.Add(command.Count{Counter: "results_too_large", Delta: 1})
	logLot("result of item cannot be stored", l, out, field("item", r.Item), field("bytes", itoa(r.Size().Bytes)))
	*r = lot.Result{Item: r.Item, State: lot.StateTerminated}
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
	l.Head, l.Version, l.VersionSeenAt, l.MaxWriteResults = e.Head, e.Version, now, 0
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
// not stored yet, as far as it fits into one commit beside what takes the given space.
func unstoredProgress(t *table.Tables, l *table.Lot, size lot.Size) []lot.Progress {
	var all []lot.Progress
	for _, key := range itemKeys(l) {
		item := t.Rollout.Items.Find(key)
		if item == nil || len(item.Events) == item.StoredEvents {
			continue
		}
		p := lot.Progress{
			Item: item.Spec.ID, Events: item.Events, Versions: item.Versions, Software: item.Software, Complete: item.Stage == table.ItemScoring,
		}
		if len(all) == maxProgressItems {
			break
		}
		if total := size.Plus(p.Size()); total.Fits() {
			size = total
			all = append(all, p)
		}
	}
	return all
}

func itoa(n int) string { return strconv.Itoa(n) }
