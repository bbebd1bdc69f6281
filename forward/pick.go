package forward

import (
	"time"
)

// crossZonePenalty is the load that is added to servers in other availability zones, as a
// share of their slots, because traffic between zones adds latency and cost.
const crossZonePenalty = 0.15

// pickTarget returns the least loaded server of a service, or nil if there is none. Servers
// that were tried or are suspect are used only if no other is left. The server with the id
// avoid is never returned.
func pickTarget(p *Plan, service string, tried map[string]int, avoid string, random func() float64) *Target {
	now := time.Now()
	var best *Target
	var bestScore float64
	for _, t := range p.Services[service] {
		if t.ID == avoid {
			continue
		}
		score := float64(t.Load.estimatedRequests(now)) / float64(t.Slots)
		if t.Zone != p.Zone {
			score += crossZonePenalty
		}
		score += 10 * float64(tried[t.ID])
		if t.Suspect {
			score += 5
		}
		score += random() / 100 // breaks ties
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}
