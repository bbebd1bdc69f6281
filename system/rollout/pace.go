package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// paceTTL is the time after which a slow pace may be out of date. The server is then
	// still used last, and measured again by one run.
	paceTTL = 2 * time.Second
	// slowRatio is the ratio of a server's pace to its usual one, or of a run's to the
	// median of the service, above which the change is reported and acted on at once.
	slowRatio = 1.5
	// paceSmoothing is the weight, from 0 to 1, of a new measurement in the recent pace.
	paceSmoothing = 0.5
	// fasterSmoothing and slowerSmoothing are the weights of a new measurement in the usual
	// pace. Disruptions make a server slower, so its usual pace follows fast measurements
	// sooner than slow ones.
	fasterSmoothing = 0.3
	slowerSmoothing = 0.05
	// defaultEventInterval is assumed before any server of a service has been measured.
	defaultEventInterval = 40 * time.Millisecond
	// medianRefreshInterval is the time between two computations of a service's median
	// event interval.
	medianRefreshInterval = 300 * time.Millisecond
	// suspectSlowdown is the factor by which a suspect server counts as slower than the
	// median of its service.
	suspectSlowdown = 4
)

// recordPace applies a measured event interval of a server.
func recordPace(now time.Duration, s *table.Server, interval time.Duration) {
	if interval <= 0 {
		return
	}
	p := &s.Pace
	if p.Usual == 0 {
		p.Usual = interval
	}
	if p.MeasuredAt == 0 || now-p.MeasuredAt > paceTTL {
		p.Recent = interval
	}
	p.Recent = smooth(p.Recent, interval, paceSmoothing)
	weight := slowerSmoothing
	if interval < p.Usual {
		weight = fasterSmoothing
	}
	p.Usual, p.MeasuredAt = smooth(p.Usual, interval, weight), now
}

// smooth returns the exponential moving average after a sample with a weight from 0 to 1.
func smooth(old, sample time.Duration, weight float64) time.Duration {
	return time.Duration((1-weight)*float64(old) + weight*float64(sample))
}

// eventInterval returns the time between two events that is expected of a run on a server.
func eventInterval(r *table.Rollout, s *table.Server) time.Duration {
	interval := s.Pace.Recent
	if interval == 0 {
		interval = medianInterval(r, s.Service)
	}
	if s.SuspectUntil != 0 {
		interval = max(interval, suspectSlowdown*medianInterval(r, s.Service))
	}
	return interval
}

// isUnproven reports whether a server was slower than usual when it was last measured,
// and that measurement no longer counts. One run then measures it again.
func isUnproven(now time.Duration, s *table.Server) bool {
	return now-s.Pace.MeasuredAt > paceTTL && float64(s.Pace.Recent) > slowRatio*float64(s.Pace.Usual)
}

// medianInterval returns the median event interval of a service.
func medianInterval(r *table.Rollout, service string) time.Duration {
	if m := r.MedianIntervals[service].Interval; m > 0 {
		return m
	}
	return defaultEventInterval
}

// updateMedianIntervals computes the median event interval of each service from those of
// its servers.
func updateMedianIntervals(now time.Duration, r *table.Rollout) {
	if r.MedianIntervals == nil {
		r.MedianIntervals = make(map[string]table.MedianInterval)
	}
	intervals := make(map[string][]time.Duration)
	for _, s := range r.Servers.All() {
		if s.Pace.Usual > 0 && now-r.MedianIntervals[s.Service].At >= medianRefreshInterval {
			intervals[s.Service] = append(intervals[s.Service], s.Pace.Usual)
		}
	}
	for service, list := range intervals {
		slices.Sort(list)
		r.MedianIntervals[service] = table.MedianInterval{Interval: list[(len(list)-1)/2], At: now}
	}
}

// slowInterval returns the event interval above which a run reports its progress at once,
// 0 before the median of the service is known.
func slowInterval(r *table.Rollout, service string) time.Duration {
	return time.Duration(slowRatio * float64(r.MedianIntervals[service].Interval))
}
