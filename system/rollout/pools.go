package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// crossZoneDelay is added to the expected completion of a run in another availability
	// zone, because traffic between zones adds latency and cost.
	crossZoneDelay = 10 * time.Millisecond
	// avoidedServerDelay is added for the server on which the last run of the item failed.
	avoidedServerDelay = 2 * time.Second
)

// poolKey identifies the set of servers that can run the items of a lot.
type poolKey struct {
	service, model string
	minVersion     registry.Version
	software       registry.Software // required version of the servers' software, empty if any will do
}

// pools caches the servers with room by pool during one tick.
type pools map[poolKey][]*table.Server

// choose returns the server on which an item is expected to complete first, nil if no server
// has room. An output that a server of its software version could continue waits for one for as
// long as it would take to generate the output again.
func (p pools) choose(now time.Duration, r *table.Rollout, w waitingItem) *table.Server {
	if reserved := r.Servers.Find(w.item.MoveTo); reserved != nil && now >= reserved.BusyUntil && slices.Contains(eligibleServers(r, w.pool), reserved) {
		return reserved
	}
	best := p.fastest(now, r, w, w.pool, "")
	if len(w.item.Events) == 0 || w.item.Software == "" {
		return best
	}
	overdue := now >= restartDue(r, w)
	if overdue && w.item.RunAfter == len(w.item.Events) { // the newest run at the version brought no event
		if other := p.fastest(now, r, w, w.pool, w.item.Software); other != nil {
			return other
		}
	}
	same := w.pool
	same.software = w.item.Software
	if s := p.fastest(now, r, w, same, ""); s != nil && (best == nil || completionTime(r, w, s) < completionTime(r, w, best)+minMoveGain) {
		return s
	}
	if best != nil && !canContinue(w.item, best) && !overdue && len(eligibleServers(r, same)) > 0 {
		return nil
	}
	return best
}

// restartDue returns the time until which an item with an output waits for a server that can
// continue it.
func restartDue(r *table.Rollout, w waitingItem) time.Duration {
	return w.item.WaitingSince + time.Duration(len(w.item.Events))*medianInterval(r, w.pool.service)
}

// fastest returns the server with room on which an item is expected to complete first, leaving
// out those of a software version.
func (p pools) fastest(now time.Duration, r *table.Rollout, w waitingItem, key poolKey, except registry.Software) *table.Server {
	servers, ok := p[key]
	if !ok {
		servers = eligibleServers(r, key)
	}
	known := len(servers)
	servers = slices.DeleteFunc(servers, func(s *table.Server) bool { return s.Reserved == 0 && serverRoom(now, s) <= 0 })
	if !ok || len(servers) < known {
		p[key] = servers
	}
	var best *table.Server
	var bestTime time.Duration
	for _, s := range servers {
		if serverRoom(now, s) <= 0 || (except != "" && s.Software == except) {
			continue // its free slots are reserved, or it is left out
		}
		if t := completionTime(r, w, s); best == nil || t < bestTime {
			best, bestTime = s, t
		}
	}
	return best
}

// serverRoom returns the number of runs that may be started on a server now.
func serverRoom(now time.Duration, s *table.Server) int {
	if now < s.BusyUntil {
		return 0
	}
	if s.Failures >= suspectThreshold {
		return 1 - s.Running - s.Reserved // one run tests the server
	}
	return usefulSlots(s) - s.Running - s.Reserved
}

// completionTime returns the time that an item is expected to take on a server, plus
// penalties.
func completionTime(r *table.Rollout, w waitingItem, s *table.Server) time.Duration {
	events := w.remaining
	if !canContinue(w.item, s) {
		events += float64(len(w.item.Events))
	}
	t := time.Duration(events * float64(placementInterval(r, s)))
	if s.ID == w.item.AvoidServer {
		t += avoidedServerDelay
	}
	if s.Zone != r.Zone {
		t += crossZoneDelay
	}
	return t
}

// eligibleServers returns the servers that have the weights, with or without room: the
// engines that are assigned to the model, so that the others stay free for their own
// models; if all of those are suspect, the other engines; if all engines are suspect, all
// of them.
func eligibleServers(r *table.Rollout, key poolKey) []*table.Server {
	var preferred, healthy, all []*table.Server
	for _, s := range r.Servers.All() {
		if s.Service != key.service || s.Leaving || !hasWeights(s, key) || (key.software != "" && s.Software != key.software) {
			continue
		}
		all = append(all, s)
		if s.SuspectUntil != 0 {
			continue
		}
		healthy = append(healthy, s)
		if s.PreferredModel == key.model {
			preferred = append(preferred, s)
		}
	}
	switch {
	case len(preferred) > 0:
		return preferred
	case len(healthy) > 0:
		return healthy
	default:
		return all
	}
}

// hasWeights reports whether a server has the model in at least the minimum version, or
// no version is required.
func hasWeights(s *table.Server, key poolKey) bool {
	return key.minVersion <= 0 || key.model == "" || s.Models[key.model] >= key.minVersion
}
