package forward

import (
	"time"
)

// crossZonePenalty is what a server in another availability zone counts as more load, as
// a part of its slots: traffic between zones has a delay and a price.
const crossZonePenalty = 0.15

// pickTarget returns the least loaded server. Servers that were tried or are suspect are
// used only if no other is left; avoid is never returned.
func pickTarget(p *Plan, service string, tried map[string]int, avoid string, draw func() float64) *Target {
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
		score += draw() / 100 // breaks ties
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}
