package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// fullServerSlowdown is the share by which an engine with all slots in use is slower
	// than an idle one.
	fullServerSlowdown = 0.2
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
	s, _ := p.decide(now, r, w)
	return s
}

// basis states why a server was chosen for an item, or none.
type basis string

const (
	basisReserved  basis = "a slot is reserved for the item"
	basisFastest   basis = "expected to complete first"
	basisContinues basis = "its software version can continue the output"
	basisRestart   basis = "the last run at the software version of the output brought no event"
	basisAwaits    basis = "waits for a server that can continue the output"
	basisNoRoom    basis = "no server has room"
	basisNoServer  basis = "no server can run the item"
)

// decide returns the result of choose and its basis.
func (p pools) decide(now time.Duration, r *table.Rollout, w waitingItem) (*table.Server, basis) {
	if reserved := r.Servers.Find(w.item.MoveTo); reserved != nil && now >= reserved.BusyUntil && slices.Contains(eligibleServers(r, w.pool), reserved) {
		return reserved, basisReserved
	}
	best, why := p.fastest(now, r, w, w.pool, ""), basisFastest
	if best == nil {
		why = basisNoRoom
	}
	if len(w.item.Events) == 0 || w.item.Software == "" {
		return best, why
	}
	overdue := now >= restartDue(r, w)
	if overdue && w.item.RunAfter == len(w.item.Events) { // the newest run at the version brought no event
		if other := p.fastest(now, r, w, w.pool, w.item.Software); other != nil {
			return other, basisRestart
		}
	}
	same := w.pool
	same.software = w.item.Software
	if s := p.fastest(now, r, w, same, ""); s != nil && (best == nil || completionTime(r, w, s) < completionTime(r, w, best)+minMoveGain) {
		return s, basisContinues
	}
	if best != nil && !canContinue(w.item, best) && !overdue && len(eligibleServers(r, same)) > 0 {
		return nil, basisAwaits
	}
	return best, why
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
	if isUnproven(now, s) || s.Failures >= suspectThreshold {
		return 1 - s.Running - s.Reserved // one run tests the server
	}
	return s.Slots - s.Running - s.Reserved
}

// completionTime returns the time that an item is expected to take on a server, plus
// penalties.
func completionTime(r *table.Rollout, w waitingItem, s *table.Server) time.Duration {
	load := 1 + fullServerSlowdown*float64(s.Running+1)/float64(s.Slots)
	events := w.remaining
	if !canContinue(w.item, s) {
		events += float64(len(w.item.Events))
	}
	t := time.Duration(events * load * float64(eventInterval(r, s)))
	t += time.Duration(fullServerSlowdown / float64(s.Slots) * float64(s.Critical)) // delays the step beside it
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
		if unfit(s, key) != "" {
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

// unfit returns why a server cannot run the items of a pool, empty if it can.
func unfit(s *table.Server, key poolKey) string {
	switch {
	case s.Service != key.service:
		return "other service"
	case s.Leaving:
		return "leaving"
	case !hasWeights(s, key) && s.Models[key.model] == 0:
		return "other model: has no weights of it"
	case !hasWeights(s, key):
		return "weights too old"
	case key.software != "" && s.Software != key.software:
		return "other software version"
	}
	return ""
}

// roomReason returns why no run may be started on a server now, empty if one may be.
func roomReason(now time.Duration, s *table.Server) string {
	switch {
	case serverRoom(now, s) > 0:
		return ""
	case now < s.BusyUntil:
		return "refused an item or is being tested"
	case s.Running < s.Slots && s.Reserved > 0:
		return "free slots are reserved"
	case s.Running < s.Slots:
		return "suspect or unproven: one run at a time"
	default:
		return "no free slot"
	}
}

// hasWeights reports whether a server has the model in at least the minimum version, or
// no version is required.
func hasWeights(s *table.Server, key poolKey) bool {
	return key.minVersion <= 0 || key.model == "" || s.Models[key.model] >= key.minVersion
}
