package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// queuedPerServer is the number of items that may wait at a server, so that a slot
	// that gets free is filled without a round trip.
	queuedPerServer = 1
	// firstWithin bounds the wait for the first event: the time for which an item can
	// wait behind others and for a load of weights.
	firstWithin = 2500 * time.Millisecond
	// nextWithin bounds the pause within a stream. Events are about 30 ms apart; a
	// preempted request waits several times longer.
	nextWithin = 900 * time.Millisecond
	// slowFactor is the pace, against the median of a service, at which a run moves to
	// another server. A full server is a third slower than an idle one.
	slowFactor = 1.9
	// typicalEvery is the period at which the median pace is worked out again.
	typicalEvery = 300 * time.Millisecond
	// defaultMaxAge holds for lots whose route states none.
	defaultMaxAge = 60 * time.Second
	// Priorities of items at an engine, where 0 is first and 9 last.
	urgencyBase   = 4
	urgencyUrgent = 1
)

// Dispatch starts runs of waiting items: older lots first, within a lot those that
// were begun, then the longest ones, because the last item completes a group.
func Dispatch(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
	r := &t.Rollout
	if r.Desired == nil || r.Draining {
		return
	}
	expireItems(now, t, out)
	waiting := waitingItems(now, t, out)
	if len(waiting) == 0 {
		return
	}
	wakeForServers(now, r, out)
	measurePace(now, r)
	servers := make(pools)
	for _, w := range waiting {
		startRun(now, t, w, servers, out)
	}
}

// wakeForServers asks for a tick when a server that refused may have room again.
func wakeForServers(now time.Duration, r *table.Rollout, out *command.Outbox) {
	for _, s := range r.Servers.All() {
		if s.BusyUntil > now {
			out.WakeAt(s.BusyUntil)
		}
	}
}

type waitingItem struct {
	key  string
	item *table.Item
	lot  *table.Lot
}

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
		if l := t.Rollout.Lots.Find(item.Lot); l != nil && l.Stage == table.LotOwned && certain(&t.Rollout, l) {
			waiting = append(waiting, waitingItem{key, item, l})
		}
	}
	slices.SortFunc(waiting, func(a, b waitingItem) int {
		return cmp.Or(
			cmp.Compare(a.lot.Head.Accepted, b.lot.Head.Accepted),
			-cmp.Compare(min(1, len(a.item.Events)), min(1, len(b.item.Events))),
			-cmp.Compare(a.item.Spec.Length, b.item.Spec.Length),
			cmp.Compare(a.key, b.key),
		)
	})
	return waiting
}

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
		w.item.Events, w.item.Versions, w.item.Stored = nil, nil, 0
	}
	w.item.Stage, w.item.Server = table.ItemRunning, s.ID
	r.Runs++
	w.item.Run = r.Runs
	s.Running++
	if s.Refusals > 0 {
		s.BusyUntil = now + maxBusyPause // this item finds out whether there is room
	}
	out.Add(command.StartRun{
		Key: w.key, Run: w.item.Run, Spec: w.item.Spec, Host: w.lot.Submission.Host, Target: target(s),
		Model: w.lot.Head.Model, Minimum: w.lot.Submission.MinimumVersion, After: len(w.item.Events),
		Urgency: urgency(now, w, route), FirstWithin: firstWithin, NextWithin: nextWithin,
		SlowGap:  slowGap(now, r, service, s),
		Deadline: max(time.Second, maxAge(route)-(now-w.lot.AcceptedAt)),
	})
}

// urgency puts routes in the order of their priority, and a lot that is close to
// its due time before others.
func urgency(now time.Duration, w waitingItem, route *desired.Route) int {
	if route.RunTarget > 0 && now-w.lot.AcceptedAt > route.RunTarget/2 {
		return urgencyUrgent
	}
	return min(9, urgencyBase+max(0, route.Priority))
}

// poolKey names the servers that can run the items of a lot.
type poolKey struct {
	service, model string
	minimum        registry.Version
}

// pools keeps, for one tick, the servers that have room for the items of a lot.
type pools map[poolKey][]*table.Server

// choose returns the server on which an item is done first, nil if none has room.
// Suspect servers are used only if no other has the weights.
func (p pools) choose(now time.Duration, r *table.Rollout, w waitingItem, service string) *table.Server {
	key := poolKey{service, w.lot.Head.Model, w.lot.Submission.MinimumVersion}
	pool, ok := p[key]
	if !ok {
		pool = newPool(r, key)
	}
	pool = slices.DeleteFunc(pool, func(s *table.Server) bool {
		return s.Running >= s.Slots+queuedPerServer || now < s.BusyUntil
	})
	p[key] = pool
	var best *table.Server
	var bestScore float64
	for _, s := range pool {
		if score := serverScore(now, r, w, s); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

func serverScore(now time.Duration, r *table.Rollout, w waitingItem, s *table.Server) float64 {
	score := float64(s.Running+1) / float64(s.Slots)
	if now < s.SlowUntil {
		score += 4
	}
	if s.SuspectUntil != 0 {
		score += 8
	}
	if s.ID == w.item.Avoid {
		score += 2
	}
	if s.Zone != r.Zone {
		score += 0.05 // traffic between zones has a delay and a price
	}
	return score
}

// newPool returns the servers with the weights. If one of the engines that are meant
// for the model can run its items, the others are left to their own models.
func newPool(r *table.Rollout, key poolKey) []*table.Server {
	var home, all []*table.Server
	trusted := false
	for _, s := range r.Servers.All() {
		if s.Service != key.service || s.Leaving || !hasWeights(s, key) {
			continue
		}
		all = append(all, s)
		if s.Home == key.model {
			home = append(home, s)
			trusted = trusted || s.SuspectUntil == 0
		}
	}
	if trusted {
		return home
	}
	return all
}

func hasWeights(s *table.Server, key poolKey) bool {
	return key.minimum <= 0 || key.model == "" || s.Models[key.model] >= key.minimum
}

// measurePace works out the median pace of each service from its measured servers.
func measurePace(now time.Duration, r *table.Rollout) {
	if r.Typical == nil {
		r.Typical = make(map[string]table.Typical)
	}
	gaps := make(map[string][]time.Duration)
	for _, s := range r.Servers.All() {
		if s.Gap > 0 && now-r.Typical[s.Service].At >= typicalEvery {
			gaps[s.Service] = append(gaps[s.Service], s.Gap)
		}
	}
	for service, list := range gaps {
		slices.Sort(list)
		r.Typical[service] = table.Typical{Gap: list[(len(list)-1)/2], At: now}
	}
}

// slowGap returns the mean gap between events above which a run on s moves, 0 if
// there is no other server to move to.
func slowGap(now time.Duration, r *table.Rollout, service string, s *table.Server) time.Duration {
	typical := r.Typical[service].Gap
	if typical == 0 || now < s.SlowUntil {
		return 0 // the pace is not known, or there was no faster server for this run
	}
	return time.Duration(slowFactor * float64(typical))
}

func maxAge(route *desired.Route) time.Duration {
	if route.MaxAge > 0 {
		return route.MaxAge
	}
	return defaultMaxAge
}

// expireItems gives up what has passed the age at which its route allows it.
func expireItems(now time.Duration, t *table.Tables, out *command.Outbox) {
	r := &t.Rollout
	for _, l := range r.Lots.All() {
		if l.Stage != table.LotOwned || l.Submission == nil {
			continue
		}
		route := r.Desired.Match(l.Submission.Host, l.Submission.Path)
		if route == nil || now-l.AcceptedAt < maxAge(route) {
			continue
		}
		for _, key := range itemKeys(l) {
			item := r.Items.Find(key)
			if item == nil {
				continue
			}
			if item.Stage == table.ItemRunning {
				out.Add(command.StopRun{Key: key, Run: item.Run})
				release(t, item)
			}
			finish(now, t, item, lot.Result{Item: item.Spec.ID, State: lot.StateTerminated}, out)
		}
	}
}
