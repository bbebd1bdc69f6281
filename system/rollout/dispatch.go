package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// firstEventTimeout bounds the wait for the first event of a run. It covers the time
	// that an item can wait at the server behind other items and a load of weights.
	firstEventTimeout = 2500 * time.Millisecond
	// minNextEventTimeout and nextEventIntervals bound the time between two events of a run,
	// the latter as a multiple of the server's usual time between events. A preempted request
	// waits several times longer than usual.
	minNextEventTimeout = 900 * time.Millisecond
	nextEventIntervals  = 10
	// maxTimeoutDoublings bounds the doublings of both timeouts, one for each run of the item
	// that stalled. Without them, an item that takes long everywhere would never be done.
	maxTimeoutDoublings = 3
	// defaultItemTimeout applies to lots whose route has no ItemTimeout.
	defaultItemTimeout = 60 * time.Second
	// Priorities of items at an engine, from 0 (first) to 9 (last).
	basePriority   = 4
	urgentPriority = 1
	sparePriority  = 2 // added for items that the trainer is not expected to wait for
	// lateMargin is the time before the latest start of an item from which the item comes before
	// those of organisations with a higher priority. It covers the wait for a slot.
	lateMargin = time.Second
)

// Dispatch moves runs to faster servers and starts runs of waiting items. The items that a
// trainer waits for come before the others. Among them, the items that are expected to miss
// the due time of their lot by most, or to meet it with the least time left, come first. If the
// deployment has organisations, items with time left are ordered by priority before that.
func Dispatch(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
	r := &t.Rollout
	if r.Desired == nil {
		return
	}
	expireItems(now, t, out)
	updateMedianIntervals(now, r)
	wakeForBusyServers(now, r, out)
	preemptLeftover(now, r, out)
	if !hasRoom(now, r) {
		return
	}
	waiting := waitingItems(now, t, out)
	moveRuns(now, t, waiting, out)
	servers := make(pools)
	for _, w := range waiting {
		startRun(now, t, *w, servers, out)
	}
}

// wakeForBusyServers requests a tick for the time at which a server that refused an
// item is tried again.
func wakeForBusyServers(now time.Duration, r *table.Rollout, out *command.Outbox) {
	for _, s := range r.Servers.All() {
		if s.BusyUntil > now {
			out.WakeAt(s.BusyUntil)
		}
	}
}

// waitingItem is an item that is ready to run, with its key and its lot.
type waitingItem struct {
	key       string
	item      *table.Item
	lot       *table.Lot
	route     *desired.Route
	pool      poolKey
	remaining float64       // expected number of further events
	latest    time.Duration // start time at which the item is expected to be completed when it is due
	spare     bool          // the trainer is not expected to wait for it
	class     int           // order before latest: 0 for items that are late
}

// byUrgency orders waiting items as they are started.
func byUrgency(a, b *waitingItem) int {
	switch {
	case a.spare != b.spare && b.spare:
		return -1
	case a.spare != b.spare:
		return 1
	case a.class != b.class:
		return cmp.Compare(a.class, b.class)
	case a.latest != b.latest:
		return cmp.Compare(a.latest, b.latest)
	}
	return cmp.Compare(a.key, b.key)
}

// waitingItems returns the items that are ready to run, in the order in which they
// are started.
func waitingItems(now time.Duration, t *table.Tables, out *command.Outbox) []*waitingItem {
	r := &t.Rollout
	var waiting []*waitingItem
	var l *table.Lot // of the last item; items of a lot are neighbours
	last, runnable := "", false
	for key, item := range r.Items.All() {
		if item.Stage != table.ItemWaiting {
			continue
		}
		if now < item.NotBefore {
			out.WakeAt(item.NotBefore)
			continue
		}
		if l == nil || item.Lot != last {
			l, last = r.Lots.Find(item.Lot), item.Lot
			runnable = l != nil && blocked(r, l) == ""
		}
		if !runnable {
			continue
		}
		if route := r.Desired.Match(l.Submission.Host, item.Spec.Path); route != nil {
			w := newWaitingItem(now, r, key, item, l, route)
			waiting = append(waiting, &w)
		}
	}
	slices.SortFunc(waiting, byUrgency)
	return waiting
}

// blocked returns why no item of a lot may be started, empty if they may be.
func blocked(r *table.Rollout, l *table.Lot) string {
	switch {
	case l.Stage != table.LotOwned:
		return "the lot is not run by this host"
	case l.Releasing:
		return "the lot is being handed over"
	case !headConfirmed(r, l):
		return "the heads of older lots have not all been read"
	}
	return ""
}

// hasRoom reports whether any server may be sent a run now. The end of a run and
// wakeForBusyServers trigger the tick in which a server has room again.
func hasRoom(now time.Duration, r *table.Rollout) bool {
	for _, s := range r.Servers.All() {
		if s.Reserved > 0 || serverRoom(now, s) > 0 {
			return true
		}
	}
	return false
}

func newWaitingItem(now time.Duration, r *table.Rollout, key string, item *table.Item, l *table.Lot, route *desired.Route) waitingItem {
	pool := poolKey{service: route.Service(item.Spec.ID), model: l.Head.Model, minVersion: l.Submission.MinimumVersion}
	w := waitingItem{key: key, item: item, lot: l, route: route, pool: pool}
	w.remaining = remainingEvents(r.Models.Find(l.Head.Model), item.Spec, float64(len(item.Events)))
	w.spare = !r.Baselines.Order && isSpare(now, r, l, item)
	w.latest = lotDue(l, route) - time.Duration(w.remaining*float64(medianInterval(r, pool.service)))
	if r.Organisations.Keys != nil && !r.Baselines.Shares && now < w.latest-lateMargin {
		w.class = 1 + max(0, itemPriority(r, w))
	}
	return w
}

// itemPriority returns the priority of an item: that of its organisation or, if that has none,
// of its route.
func itemPriority(r *table.Rollout, w waitingItem) int {
	if priority, ok := r.Organisations.Keys.Priority(w.lot.Submission.Organisation); ok {
		return priority
	}
	return w.route.Priority
}

// startRun starts a run of an item if a server has room for it. The output so far is discarded
// if the server cannot continue it, or has another version of the weights on a route that
// requires a single one.
func startRun(now time.Duration, t *table.Tables, w waitingItem, servers pools, out *command.Outbox) {
	r := &t.Rollout
	s := servers.choose(now, r, w)
	if s == nil {
		if due := restartDue(r, w); len(w.item.Events) > 0 && now < due {
			out.WakeAt(due)
		}
		return
	}
	cancelReservation(r, w.item)
	switch {
	case !canContinue(w.item, s):
		discardOutput(w.item, discardSoftware, out)
	case w.route.SingleVersion && len(w.item.Versions) > 0 && s.Models[w.lot.Head.Model] != w.item.Versions[0]:
		discardOutput(w.item, discardWeights, out)
	}
	w.item.Stage, w.item.Server, w.item.Stopping, w.item.EventsAt = table.ItemRunning, s.ID, false, now
	w.item.RunSoftware, w.item.RunAfter = s.Software, len(w.item.Events)
	r.RunCount++
	w.item.Run = r.RunCount
	countResumed(w.item, out)
	s.Running++
	if s.Refusals > 0 || s.RequestLimit > 0 {
		s.BusyUntil = now + maxBusyPause // only this item tests whether the server takes it
	}
	out.Add(command.StartRun{
		Key: w.key, Run: w.item.Run, Spec: w.item.Spec, Host: w.lot.Submission.Host, Target: target(s),
		Model: w.lot.Head.Model, MinVersion: w.lot.Submission.MinimumVersion, AfterEvent: len(w.item.Events),
		Priority:     enginePriority(now, r, w),
		Organisation: runOrganisation(r, w.lot), Identified: r.Organisations.Keys != nil,
		FirstEventTimeout: firstEventTimeout << doublings(w.item),
		NextEventTimeout:  nextEventTimeout(r, s) << doublings(w.item),
		SlowInterval:      slowInterval(r, w.pool.service),
		Deadline:          max(time.Second, itemTimeout(w.route)-(now-w.lot.AcceptedAt)),
	})
}

// nextEventTimeout returns the time without an event after which a run on a server is given
// up.
func nextEventTimeout(r *table.Rollout, s *table.Server) time.Duration {
	return max(minNextEventTimeout, nextEventIntervals*eventInterval(r, s))
}

// doublings returns the number of doublings of the timeouts of an item's next run.
func doublings(item *table.Item) int { return min(item.Stalls, maxTimeoutDoublings) }

// enginePriority returns the priority of an item at the engine. It follows the
// priority of the organisation or, if that has none, of the route; a lot that has used more
// than half of its CompletionTarget is urgent. Items that the trainer is not expected to wait
// for come after the others.
func enginePriority(now time.Duration, r *table.Rollout, w waitingItem) int {
	if !w.spare && w.route.CompletionTarget > 0 && now-w.lot.AcceptedAt > w.route.CompletionTarget/2 {
		return urgentPriority
	}
	urgency := basePriority + max(0, itemPriority(r, w))
	if w.spare {
		urgency += sparePriority
	}
	return min(9, urgency)
}

// runOrganisation returns the organisation that servers are told for the items of a lot, none
// if the deployment does not tell callers apart any more.
func runOrganisation(r *table.Rollout, l *table.Lot) string {
	if r.Organisations.Keys == nil {
		return ""
	}
	return l.Submission.Organisation
}

func itemTimeout(route *desired.Route) time.Duration {
	if route.ItemTimeout > 0 {
		return route.ItemTimeout
	}
	return defaultItemTimeout
}

// expireItems terminates the items of lots that are older than the ItemTimeout of
// their route.
func expireItems(now time.Duration, t *table.Tables, out *command.Outbox) {
	r := &t.Rollout
	for _, l := range r.Lots.All() {
		if l.Stage != table.LotOwned || l.Submission == nil {
			continue
		}
		route := r.Desired.Match(l.Submission.Host, l.Submission.Path)
		if route == nil || now-l.AcceptedAt < itemTimeout(route) {
			continue
		}
		for _, key := range itemKeys(l) {
			item := r.Items.Find(key)
			if item == nil {
				continue
			}
			stopItem(t, key, item, out)
			finishItem(now, t, item, lot.Result{Item: item.Spec.ID, State: lot.StateTerminated}, out)
		}
	}
}
