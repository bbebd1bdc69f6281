package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

// poolKey identifies the set of servers that can run the items of a lot.
type poolKey struct {
	service, model string
	minVersion     registry.Version
}

// pool is the set of servers that can run the items of a lot.
type pool struct {
	servers []*table.Server // with room
	fast    bool            // at least one server is fast, with or without room
}

// pools caches the pools of one tick.
type pools map[poolKey]*pool

// choose returns the server with the lowest score, nil if none has room or if the
// item should wait for a fast server. Slow and suspect servers score so high that
// they are chosen only when no other server of the pool has room.
func (p pools) choose(now time.Duration, r *table.Rollout, w waitingItem, service string) *table.Server {
	key := poolKey{service, w.lot.Head.Model, w.lot.Submission.MinimumVersion}
	candidates, ok := p[key]
	if !ok {
		servers := eligibleServers(r, key)
		candidates = &pool{servers: servers, fast: slices.ContainsFunc(servers, func(s *table.Server) bool { return isFast(now, s) })}
		p[key] = candidates
	}
	candidates.servers = slices.DeleteFunc(candidates.servers, func(s *table.Server) bool {
		return s.Running >= s.Slots+maxQueuedPerServer || now < s.BusyUntil
	})
	var best *table.Server
	var bestScore float64
	for _, s := range candidates.servers {
		if score := serverScore(now, r, w, s); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	waited := now - max(w.item.NotBefore, w.lot.AcceptedAt)
	if best != nil && candidates.fast && !isFast(now, best) && waited < maxWaitForFastServer {
		return nil
	}
	return best
}

// isFast reports whether a server is neither slow nor suspect.
func isFast(now time.Duration, s *table.Server) bool {
	return now >= s.SlowUntil && s.SuspectUntil == 0
}

// serverScore rates a server for an item; the lowest score is the best. It is the
// relative load of the server plus penalties.
func serverScore(now time.Duration, r *table.Rollout, w waitingItem, s *table.Server) float64 {
	score := float64(s.Running+1) / float64(s.Slots)
	if now < s.SlowUntil {
		score += 4
	}
	if s.SuspectUntil != 0 {
		score += 8
	}
	if s.ID == w.item.AvoidServer {
		score += 2
	}
	if s.Zone != r.Zone {
		score += 0.05 // traffic between zones adds latency and cost
	}
	return score
}

// eligibleServers returns the servers that have the weights, with or without room. If at
// least one engine that is assigned to the model is not suspect, only the assigned
// engines are returned, so that the others stay free for their own models.
func eligibleServers(r *table.Rollout, key poolKey) []*table.Server {
	var preferred, all []*table.Server
	healthy := false
	for _, s := range r.Servers.All() {
		if s.Service != key.service || s.Leaving || !hasWeights(s, key) {
			continue
		}
		all = append(all, s)
		if s.PreferredModel == key.model {
			preferred = append(preferred, s)
			healthy = healthy || s.SuspectUntil == 0
		}
	}
	if healthy {
		return preferred
	}
	return all
}

// hasWeights reports whether a server has the model in at least the minimum version, or
// no version is required.
func hasWeights(s *table.Server, key poolKey) bool {
	return key.minVersion <= 0 || key.model == "" || s.Models[key.model] >= key.minVersion
}
