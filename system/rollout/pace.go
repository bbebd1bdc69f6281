package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// slowReportRatio is the ratio of the event interval of a run to the median of the service
	// above which the run reports its progress more often.
	slowReportRatio = 1.5
	// othersSmoothing is the weight, from 0 to 1, of a new measurement in the number of requests
	// of other hosts.
	othersSmoothing = 0.3
	// defaultEventInterval is assumed before any server of a service has been measured.
	defaultEventInterval = 40 * time.Millisecond
	// medianRefreshInterval is the time between two computations of a service's median
	// event interval.
	medianRefreshInterval = 300 * time.Millisecond
	// suspectSlowdown is the factor by which a suspect server counts as slower than the
	// median of its service.
	suspectSlowdown = 4
)

// recordPace applies a measured event interval of a server while a number of requests, 0 if
// unknown, were there.
func recordPace(now time.Duration, r *table.Rollout, s *table.Server, interval time.Duration, requests int, out *command.Outbox) {
	if interval <= 0 {
		return
	}
	requests = max(1, requests, s.Running)
	s.Pace.Others += othersSmoothing * (float64(requests-max(1, s.Running)) - s.Pace.Others)
	observe(now, r, s, true, capacity.Observation{Requests: requests, Took: interval, Units: 1}, out)
	recordBaseline(now, &s.Pace, interval)
}

// smooth returns the exponential moving average after a sample with a weight from 0 to 1.
func smooth(old, sample time.Duration, weight float64) time.Duration {
	return time.Duration((1-weight)*float64(old) + weight*float64(sample))
}

// eventInterval returns the time between two events that is expected of a run on a server that is
// used to its useful load, or beyond it if the present load is higher. Differences of load below
// that even out, so they are no reason to move a run.
func eventInterval(r *table.Rollout, s *table.Server) time.Duration {
	switch {
	case r.PaceBaseline:
		return withSuspicion(r, s, baselineInterval(r, s))
	case !s.Pace.Events.Known():
		return withSuspicion(r, s, medianInterval(r, s.Service))
	default:
		return withSuspicion(r, s, s.Pace.Events.Estimate.Time(max(float64(usefulSlots(s)), float64(s.Running)+s.Pace.Others)))
	}
}

// placementInterval returns the time between two events that is expected of one more run on a
// server. The first run on a server that has not been measured for some time counts on a server
// like the others, so that it shows whether a slow server has recovered; further runs do not
// follow before that is known.
func placementInterval(r *table.Rollout, s *table.Server) time.Duration {
	if r.PaceBaseline {
		return baselinePlacement(r, s)
	}
	key := table.Placement{At: r.Now, Running: s.Running, Idle: s.Running+s.Reserved == 0}
	if last := s.Pace.Placement; last.Interval == 0 || last.At != key.At || last.Running != key.Running || last.Idle != key.Idle {
		key.Interval = computePlacement(r, s)
		s.Pace.Placement = key
	}
	return withSuspicion(r, s, s.Pace.Placement.Interval)
}

func computePlacement(r *table.Rollout, s *table.Server) time.Duration {
	load := float64(s.Running+1) + s.Pace.Others
	if s.Running+s.Reserved > 0 && s.Pace.Events.Known() {
		return s.Pace.Events.Estimate.Time(load)
	}
	// The median is that of servers at their useful load.
	assumed := capacity.Assumed(medianInterval(r, s.Service), s.Slots)
	full := float64(assumed.Time(assumed.Capacity))
	assumed.Unit = time.Duration(float64(assumed.Unit) * float64(assumed.Unit) / full)
	if s.Pace.Events.Known() {
		assumed = s.Pace.Events.Estimate.Toward(assumed.Unit, r.Now)
	}
	return assumed.Time(load)
}

// withSuspicion returns the event interval of a server that may be suspect.
func withSuspicion(r *table.Rollout, s *table.Server, interval time.Duration) time.Duration {
	if s.SuspectUntil != 0 {
		return max(interval, suspectSlowdown*medianInterval(r, s.Service))
	}
	return interval
}

// usefulSlots returns the number of runs beyond which further ones on a server add no throughput.
func usefulSlots(s *table.Server) int {
	if s.Pace.Useful == 0 {
		return s.Slots
	}
	return min(s.Slots, s.Pace.Useful)
}

// medianInterval returns the median event interval of a service.
func medianInterval(r *table.Rollout, service string) time.Duration {
	if m := r.MedianIntervals[service].Interval; m > 0 {
		return m
	}
	return defaultEventInterval
}

// updateMedianIntervals computes the median event interval of each service from those of
// its servers at their useful load.
func updateMedianIntervals(now time.Duration, r *table.Rollout) {
	if r.MedianIntervals == nil {
		r.MedianIntervals = make(map[string]table.MedianInterval)
	}
	intervals := make(map[string][]time.Duration)
	for _, s := range r.Servers.All() {
		if s.Pace.Events.Known() && now-r.MedianIntervals[s.Service].At >= medianRefreshInterval {
			interval := s.Pace.Events.Estimate.Time(float64(usefulSlots(s)))
			if r.PaceBaseline {
				interval = s.Pace.Usual
			}
			intervals[s.Service] = append(intervals[s.Service], interval)
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
	return time.Duration(slowReportRatio * float64(r.MedianIntervals[service].Interval))
}
