package system

import (
	"slices"

	"github.com/lavenderstand/lavenderstand/plan"
)

// slowdownThreshold is the slowness from which an engine counts as slow. Below it the
// difference may come from the batch: a full batch of 16 takes up to 1.75 times
// longer per token than a single sequence.
const slowdownThreshold = 2.0

// markSlow compares the engines' token rates per running sequence. At least three
// rates are needed to tell the slow one.
func markSlow(backends []plan.Backend) {
	rates := make([]float64, 0, len(backends))
	for i := range backends {
		if rate := sequenceRate(&backends[i]); rate > 0 {
			rates = append(rates, rate)
		}
	}
	if len(rates) < 3 {
		return
	}
	slices.Sort(rates)
	median := rates[len(rates)/2]
	for i := range backends {
		rate := sequenceRate(&backends[i])
		if rate > 0 && median/rate >= slowdownThreshold {
			backends[i].SlowdownRatio = median / rate
		}
	}
}

// sequenceRate is 0 if the engine reports no rate.
func sequenceRate(b *plan.Backend) float64 {
	if b.Stale {
		return 0
	}
	return b.Report.TokensPerSecond / float64(max(b.Report.Running, 1))
}
