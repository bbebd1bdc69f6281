package duty

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// keptWindows is the number of windows for which counts and stored rows are kept.
	keptWindows = 12
	// maxUnassigned bounds the requests that wait for the correction of the clock. At 39
	// requests/s per host, they cover 7 minutes without a holder.
	maxUnassigned = 16384
)

// Counts adds the requests that servers began to run for this host to the windows of their
// times. Requests wait until the correction of the clock is known: with a clock that is off,
// their windows would be wrong.
func Counts(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	u := &t.Duties.Usage
	if !reporting(&t.Duties) {
		return
	}
	var late int64
	if u.Clock.Known {
		for _, e := range u.Unassigned {
			late += addRequest(u, e)
		}
		u.Unassigned = nil
	}
	for _, e := range in {
		e, ok := e.(event.RequestBegan)
		switch {
		case !ok:
		case u.Clock.Known:
			late += addRequest(u, e)
		case len(u.Unassigned) < maxUnassigned:
			u.Unassigned = append(u.Unassigned, e)
		default:
			count(out, "usage_counts_lost", "reason", "clock_unknown", 1)
		}
	}
	countLate(out, late)
	if u.Clock.Known {
		dropOld(now, u, out)
	}
}

// addRequest counts a request in its window. It returns the number of requests that come too
// late, because the window is fixed.
func addRequest(u *table.Usage, e event.RequestBegan) (late int64) {
	n := windowOf(u, u.Clock.Time(e.At))
	if n <= u.Delivery.FixedThrough {
		return max(e.Delta, -e.Delta)
	}
	w, created := u.Counted.Upsert(table.WindowKey(n))
	if created {
		*w = table.CountedWindow{Number: n, Counts: make(map[string]int64)}
	}
	w.Counts[e.Organisation] += e.Delta
	if w.Counts[e.Organisation] == 0 {
		delete(w.Counts, e.Organisation)
	}
	w.Total += e.Delta
	w.Revision++
	return 0
}

// dropOld removes windows that no holder fixed.
func dropOld(now time.Duration, u *table.Usage, out *command.Outbox) {
	oldest := windowOf(u, u.Clock.Time(now)) - keptWindows
	for key, w := range u.Counted.All() {
		if w.Number < oldest {
			count(out, "usage_counts_lost", "reason", "not_fixed", w.Total)
			u.Counted.Delete(key)
		}
	}
}

// dropFixed removes the counts of this host of windows that are fixed. It returns the number of
// requests that the holder did not have by then.
func dropFixed(u *table.Usage) (late int64) {
	for key, w := range u.Counted.All() {
		if w.Number <= u.Delivery.FixedThrough {
			late += max(0, w.Total-w.DeliveredTotal)
			u.Counted.Delete(key)
		}
	}
	return late
}

// countLate counts requests that are missing in the report of their window.
func countLate(out *command.Outbox, late int64) {
	if late != 0 {
		out.Add(command.Count{Counter: "usage_counts_late", Delta: late})
	}
}
