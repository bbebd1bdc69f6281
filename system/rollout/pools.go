package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

// poolKey names the servers that can run the items of a lot.
type poolKey struct {
	service, model string
	minimum        registry.Version
}

// pool is the servers that have room for the items of a lot. fast tells whether one of
// all its servers, with room or not, is fast.
type pool struct {
	servers []*table.Server
	fast    bool
}

// pools keeps the pools of one tick.
type pools map[poolKey]*pool

// choose returns the server on which an item is done first, nil if none has room.
// Suspect servers are used only if no other has the weights.
func (p pools) choose(now time.Duration, r *table.Rollout, w waitingItem, service string) *table.Server {
	key := poolKey{service, w.lot.Head.Model, w.lot.Submission.MinimumVersion}
	known, ok := p[key]
	if !ok {
		servers := newPool(r, key)
		known = &pool{servers: servers, fast: slices.ContainsFunc(servers, func(s *table.Server) bool { return isFast(now, s) })}
		p[key] = known
	}
	known.servers = slices.DeleteFunc(known.servers, func(s *table.Server) bool {
		return s.Running >= s.Slots+maxQueuedPerServer || now < s.BusyUntil
	})
	var best *table.Server
	var bestScore float64
	for _, s := range known.servers {
		if score := serverScore(now, r, w, s); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	waited := now - max(w.item.NotBefore, w.lot.AcceptedAt)
	if best != nil && known.fast && !isFast(now, best) && waited < maxWaitForFastServer {
		return nil
	}
	return best
}

// isFast reports whether nothing speaks against a server beside its load.
func isFast(now time.Duration, s *table.Server) bool {
	return now >= s.SlowUntil && s.SuspectUntil == 0
}

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
		score += 0.05 // traffic between zones has a delay and a price
	}
	return score
}

// newPool returns the servers with the weights. If one of the engines that are meant
// for the model can run its items, the others are left to their own models.
func newPool(r *table.Rollout, key poolKey) []*table.Server {
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

func hasWeights(s *table.Server, key poolKey) bool {
	return key.minimum <= 0 || key.model == "" || s.Models[key.model] >= key.minimum
}
