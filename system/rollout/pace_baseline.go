package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/table"
)

// The baseline of the estimate, used in comparisons: the newest event intervals, smoothed, and a
// fixed slowdown of full servers.
const (
	// baselineTTL is the time after which the newest interval replaces older ones.
	baselineTTL = 2 * time.Second
	// baselineSmoothing is the weight, from 0 to 1, of a new measurement in the recent pace.
	baselineSmoothing = 0.5
	// fasterSmoothing and slowerSmoothing are the weights of a new measurement in the usual
	// pace. Disruptions make a server slower, so its usual pace follows fast measurements
	// sooner than slow ones.
	fasterSmoothing = 0.3
	slowerSmoothing = 0.05
	// fullServerSlowdown is the share by which an engine with all slots in use is slower
	// than an idle one.
	fullServerSlowdown = 0.2
)

func recordBaseline(now time.Duration, p *table.Pace, interval time.Duration) {
	if p.Usual == 0 {
		p.Usual = interval
	}
	if p.MeasuredAt == 0 || now-p.MeasuredAt > baselineTTL {
		p.Recent = interval
	}
	p.Recent = smooth(p.Recent, interval, baselineSmoothing)
	weight := slowerSmoothing
	if interval < p.Usual {
		weight = fasterSmoothing
	}
	p.Usual, p.MeasuredAt = smooth(p.Usual, interval, weight), now
}

func baselineInterval(r *table.Rollout, s *table.Server) time.Duration {
	if s.Pace.Recent > 0 {
		return s.Pace.Recent
	}
	return medianInterval(r, s.Service)
}

func baselinePlacement(r *table.Rollout, s *table.Server) time.Duration {
	load := 1 + fullServerSlowdown*float64(s.Running+1)/float64(s.Slots)
	return time.Duration(load * float64(withSuspicion(r, s, baselineInterval(r, s))))
}
