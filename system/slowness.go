package system

import (
	"slices"

	"github.com/lavenderstand/lavenderstand/plan"
)

// slowdownThreshold is the ratio of the median rate to an engine's rate from which
// the engine counts as slow. A smaller ratio may be due to the engine's load: with
// 16 concurrent sequences, a token takes up to 1.75 times as long as with one.
const slowdownThreshold = 2.0

// markSlow sets SlowdownRatio of the engines whose token rate per running sequence
// is far below the median. At least three rates are needed to tell which engine is
// slow.
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

// sequenceRate returns the tokens per second and running sequence, or 0 if the
// engine reports no rate.
func sequenceRate(b *plan.Backend) float64 {
	if b.Stale {
		return 0
	}
	return b.Report.TokensPerSecond / float64(max(b.Report.Running, 1))
}
