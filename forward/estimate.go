package forward

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/capacity"
)

const (
	// defaultEventTime is assumed while no stream of a service has been measured.
	defaultEventTime = 40 * time.Millisecond
	// surpriseTTL is the time within which the effect of a single response time fades that is
	// above the estimate. Noise lasts about as long.
	surpriseTTL = 600 * time.Millisecond
	// maxSurprise bounds that effect.
	maxSurprise = 8
)

const (
	// loadSmoothing is the weight, from 0 to 1, of a new report in the ratio to own requests.
	loadSmoothing = 0.1
	// maxOthers bounds the number of requests of all hosts that one of this host stands for.
	maxOthers = 16
)

// smoothFloat adds a sample to an exponential moving average. Concurrent calls may lose one.
func smoothFloat(average *atomic.Uint64, sample, weight float64) {
	old := math.Float64frombits(average.Load())
	average.Store(math.Float64bits(old + weight*(sample-old)))
}

// expectedRequests returns the number of requests that are expected at the server, given the age
// of its newest report in nanoseconds, and the number when other hosts send at the same time as
// this one, for instance when the items of a step end. A report shows the requests of the others
// only after that, so each request of this host stands for as many of theirs as usual.
func (l *Load) expectedRequests(age int64) (requests, crowded float64) {
	own := float64(l.InFlight.Load())
	requests = own
	if age <= int64(loadReportTTL) {
		requests = max(own, float64(l.reported.Load()))
	}
	return requests, max(requests, own*math.Float64frombits(l.others.Load()))
}

// SetEstimate replaces the estimate of plain requests or of streams. Its age is that at the
// given time.
func (l *Load) SetEstimate(e capacity.Estimate, stream bool, age time.Duration, now time.Time) {
	e.At = time.Duration(now.UnixNano()) - age
	if stream {
		l.streams.Store(&e)
	} else {
		l.responses.Store(&e)
	}
}

// estimateOf returns the newest estimate of plain requests or of streams, nil if there is none.
func (l *Load) estimateOf(stream bool) *capacity.Estimate {
	if stream {
		return l.streams.Load()
	}
	return l.responses.Load()
}

// observe returns what a request that has just ended shows of the server.
func (l *Load) observe(took time.Duration, units float64, now time.Time) capacity.Observation {
	o := capacity.Observation{Requests: l.requestsWith(now), Took: took, Units: units}
	if l.reportIsFresh(now) {
		o.Slowdown = math.Float64frombits(l.slowdown.Load())
	}
	return o
}

// requestsWith returns the number of requests at the server, including one that has just ended.
func (l *Load) requestsWith(now time.Time) int {
	return int(max(l.InFlight.Load()+1, l.estimatedRequests(now)))
}

func (l *Load) reportIsFresh(now time.Time) bool {
	return now.UnixNano()-l.reportedAt.Load() <= int64(loadReportTTL)
}

// recordSurprise records how far a response time is above the estimate.
func (l *Load) recordSurprise(took time.Duration, now time.Time) {
	ratio := 1.0
	if e := l.responses.Load(); e != nil && e.Known() {
		ratio = min(maxSurprise, max(1, float64(took)/float64(e.Time(float64(l.requestsWith(now))))))
	}
	l.surprise.Store(math.Float64bits(ratio))
	l.surprisedAt.Store(now.UnixNano())
}

// momentary returns the factor by which the server is slower at the moment than its estimate,
// according to the last response and to the slowdown that the server states. Either one leads
// to another server at once, while the estimate disregards what lasts for some hundred
// milliseconds.
func (l *Load) momentary(e *capacity.Estimate, now int64, reportIsFresh bool) float64 {
	factor := 1.0
	if age := now - l.surprisedAt.Load(); age < int64(surpriseTTL) {
		fading := 1 - float64(max(0, age))/float64(surpriseTTL)
		factor = 1 + fading*max(0, math.Float64frombits(l.surprise.Load())-1)
	}
	if reportIsFresh {
		factor = max(factor, e.Momentary(math.Float64frombits(l.slowdown.Load())))
	}
	return factor
}

// responseEstimate is what this host expects of a request to a server.
type responseEstimate struct {
	response   time.Duration // response time of a request that is alone at the server
	expected   time.Duration // response time at the present load, including the wait for a slot
	crowded    float64       // running and waiting if other hosts send at the same time as this one
	crowdedFor time.Duration // response time in that case
	requests   int           // running and waiting at the server
	slots      int
	useful     int           // number of requests beyond which further ones add no throughput
	permitWait time.Duration // until a permit is expected, if the server names a limit
}

// queued reports whether a request would wait for a slot.
func (e *responseEstimate) queued() bool { return e.requests >= e.slots }

// total returns the expected time until the response, including the waits for a permit and for a slot.
func (e *responseEstimate) total() time.Duration { return e.permitWait + e.expected }

// estimate fills in the estimate for a server. assumed is the time of a unit of work that is
// assumed if nothing is known of the server.
func (c *chooser) estimate(t *Target, assumed time.Duration, e *responseEstimate) {
	e.slots = max(1, t.Slots)
	known := t.Load.estimateOf(c.stream)
	if known == nil || !known.Known() || c.baseline {
		e.requests = int(t.Load.estimatedRequests(c.now))
		c.smoothedEstimate(t, assumed, e)
		return
	}
	age := c.nanos - t.Load.reportedAt.Load()
	reportIsFresh := age <= int64(loadReportTTL)
	requests, crowded := t.Load.expectedRequests(age)
	now := known.Toward(assumed, time.Duration(c.nanos))
	factor := t.Load.momentary(&now, c.nanos, reportIsFresh)
	e.requests = int(requests)
	e.response = time.Duration(factor * float64(now.Unit))
	e.expected = time.Duration(factor * float64(now.Time(requests+1)))
	e.crowded, e.crowdedFor = crowded, e.expected
	if crowded > requests {
		e.crowdedFor = time.Duration(factor * float64(now.Time(crowded+1)))
	}
	e.useful = max(1, min(e.slots, int(math.Ceil(now.Capacity))))
}

// smoothedEstimate fills in the estimate by the smoothed response time and the slots. It is
// used until control has published an estimate, and as the baseline in comparisons.
func (c *chooser) smoothedEstimate(t *Target, assumed time.Duration, e *responseEstimate) {
	e.response, e.useful = assumed, e.slots
	if measured := t.Load.responseTime(c.now); measured > 0 && !c.stream {
		e.response = measured
	}
	ahead := max(0, e.requests+1-e.slots)
	e.expected = e.response + e.response*time.Duration(ahead)/time.Duration(e.slots)
	e.crowded, e.crowdedFor = float64(e.requests), e.expected
}

// assumedTime returns the shortest time of a unit of work among the servers. It is assumed of
// the others, so that they are tried.
func (c *chooser) assumedTime(targets []*Target) time.Duration {
	var fastest time.Duration
	for _, t := range targets {
		unit := time.Duration(0)
		if e := t.Load.estimateOf(c.stream); e != nil && !c.baseline {
			unit = e.Unit
		} else if !c.stream {
			unit = t.Load.responseTime(c.now)
		}
		if unit > 0 && (fastest == 0 || unit < fastest) {
			fastest = unit
		}
	}
	switch {
	case fastest > 0:
		return fastest
	case c.stream:
		return defaultEventTime
	default:
		return defaultResponseTime
	}
}

// expectedAlone returns the response time that is expected of a server without other requests,
// 0 if nothing is known of it.
func expectedAlone(t *Target, now time.Time) time.Duration {
	if e := t.Load.responses.Load(); e != nil {
		return e.Unit
	}
	return t.Load.responseTime(now)
}
