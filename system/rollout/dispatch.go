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
	// maxQueuedPerServer bounds the items that are sent to a server beyond its slots, so
	// that a slot that becomes free is filled without a round trip.
	maxQueuedPerServer = 1
	// firstEventTimeout bounds the wait for the first event of a run. It covers the time
	// that an item can wait at the server behind other items and a load of weights.
	firstEventTimeout = 2500 * time.Millisecond
	// nextEventTimeout bounds the time between two events of a run. Events are about
	// 30 ms apart; a preempted request waits several times longer.
	nextEventTimeout = 900 * time.Millisecond
	// slowIntervalRatio is the ratio of a server's event interval to the median of its
	// service above which the server counts as slow and its runs move to another server.
	// A full server is a third slower than an idle one.
	slowIntervalRatio = 1.9
	// maxWaitForFastServer bounds the time that an item waits for a fast server while only
	// slow ones have room. Slots become free several times a second, and a run on a slow
	// server takes seconds longer.
	maxWaitForFastServer = time.Second
	// medianRefreshInterval is the time between two computations of a service's median
	// event interval.
	medianRefreshInterval = 300 * time.Millisecond
	// defaultItemTimeout applies to lots whose route has no ItemTimeout.
	defaultItemTimeout = 60 * time.Second
	// Priorities of items at an engine, from 0 (first) to 9 (last).
	basePriority   = 4
	urgentPriority = 1
)

// Dispatch starts runs of waiting items. Items of older lots come first; within a
// lot, items that already have events come first, then the longest ones, because a
// group is complete only when its last item is.
func Dispatch(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
	r := &t.Rollout
	if r.Desired == nil || r.Draining {
		return
	}
	expireItems(now, t, out)
	waiting := waitingItems(now, t, out)
	if len(waiting) == 0 {
		stopRunsOnSlowServers(now, t, out)
		return
	}
	wakeForBusyServers(now, r, out)
	updateMedianIntervals(now, r)
	servers := make(pools)
	for _, w := range waiting {
		startRun(now, t, w, servers, out)
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
	key  string
	item *table.Item
	lot  *table.Lot
}

// waitingItems returns the items that are ready to run, in the order in which they
// are started.
func waitingItems(now time.Duration, t *table.Tables, out *command.Outbox) []waitingItem {
	var waiting []waitingItem
	for key, item := range t.Rollout.Items.All() {
		if item.Stage != table.ItemWaiting {
			continue
		}
		if now < item.NotBefore {
			out.WakeAt(item.NotBefore)
			continue
		}
		if l := t.Rollout.Lots.Find(item.Lot); l != nil && l.Stage == table.LotOwned && headConfirmed(&t.Rollout, l) {
			waiting = append(waiting, waitingItem{key, item, l})
		}
	}
	slices.SortFunc(waiting, func(a, b waitingItem) int {
		return cmp.Or(
			cmp.Compare(a.lot.Head.AcceptedUnixMS, b.lot.Head.AcceptedUnixMS),
			-cmp.Compare(min(1, len(a.item.Events)), min(1, len(b.item.Events))),
			-cmp.Compare(a.item.Spec.EstimatedTokens, b.item.Spec.EstimatedTokens),
			cmp.Compare(a.key, b.key),
		)
	})
	return waiting
}

// startRun starts a run of an item if a server has room for it. On a route that requires
// a single version, the output so far is discarded if the server has another version.
func startRun(now time.Duration, t *table.Tables, w waitingItem, servers pools, out *command.Outbox) {
	r := &t.Rollout
	route := r.Desired.Match(w.lot.Submission.Host, w.item.Spec.Path)
	if route == nil {
		return
	}
	service := route.Service(w.item.Spec.ID)
	s := servers.choose(now, r, w, service)
	if s == nil {
		return
	}
	if route.SingleVersion && len(w.item.Versions) > 0 && s.Models[w.lot.Head.Model] != w.item.Versions[0] {
		w.item.Events, w.item.Versions, w.item.StoredEvents = nil, nil, 0
	}
	w.item.Stage, w.item.Server, w.item.Stopping = table.ItemRunning, s.ID, false
	r.RunCount++
	w.item.Run = r.RunCount
	s.Running++
	if s.Refusals > 0 {
		s.BusyUntil = now + maxBusyPause // only this item tests whether the server has room
	}
	out.Add(command.StartRun{
		Key: w.key, Run: w.item.Run, Spec: w.item.Spec, Host: w.lot.Submission.Host, Target: target(s),
		Model: w.lot.Head.Model, MinVersion: w.lot.Submission.MinimumVersion, AfterEvent: len(w.item.Events),
		Priority: enginePriority(now, w, route), FirstEventTimeout: firstEventTimeout, NextEventTimeout: nextEventTimeout,
		MaxEventInterval: maxEventInterval(now, r, service, s),
		Deadline:         max(time.Second, itemTimeout(route)-(now-w.lot.AcceptedAt)),
	})
}

// enginePriority returns the priority of an item at the engine. It follows the
// priority of the route; a lot that has used more than half of its CompletionTarget
// is urgent.
func enginePriority(now time.Duration, w waitingItem, route *desired.Route) int {
	if route.CompletionTarget > 0 && now-w.lot.AcceptedAt > route.CompletionTarget/2 {
		return urgentPriority
	}
	return min(9, basePriority+max(0, route.Priority))
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
			if item.Stage == table.ItemRunning {
				out.Add(command.StopRun{Key: key, Run: item.Run})
				releaseSlot(t, item)
			}
			finishItem(now, t, item, lot.Result{Item: item.Spec.ID, State: lot.StateTerminated}, out)
		}
	}
}
