// Package capacity estimates how much load a server handles well, from the durations of the
// work that it did. It reads no clock, does no I/O and draws no random numbers.
package capacity

import (
	"math"
	"time"
)

// Estimate describes the speed of a server. The zero Estimate is that of a server of which
// nothing is known.
type Estimate struct {
	Unit     time.Duration // time of a unit of work when a request is alone on the server, 0 if unknown
	Growth   float64       // relative growth of that time with each further request up to Capacity
	Capacity float64       // number of requests beyond which further ones add no throughput
	// Trust is the share, from 0 to 1, of a slowdown stated by the server that shows in the
	// durations of its work, and Usual is the slowdown that it usually states.
	Trust, Usual float64
	At           time.Duration // when the newest observation was made
}

// Known reports whether the time of a unit of work is known.
func (e Estimate) Known() bool { return e.Unit > 0 }

// Time returns the expected time of a unit of work while a number of requests, including the
// one in question, is at the server.
func (e Estimate) Time(requests float64) time.Duration {
	return time.Duration(float64(e.Unit) * e.factor(requests))
}

// factor returns the ratio of the time of a unit of work to that on an idle server. Beyond the
// capacity, the time grows in proportion to the number of requests, so that throughput is
// constant.
func (e Estimate) factor(requests float64) float64 {
	useful := max(1, e.Capacity)
	if requests <= useful {
		return 1 + e.Growth*max(0, requests-1)
	}
	return (1 + e.Growth*(useful-1)) * requests / useful
}

// Momentary returns the factor by which work takes longer than estimated while the server
// states a slowdown, 1 if it states none. The statement counts as far as earlier ones showed
// in the durations of work.
func (e Estimate) Momentary(slowdown float64) float64 {
	if slowdown <= 0 || e.Trust <= 0 || e.Usual <= 0 {
		return 1
	}
	return min(maxMomentary, max(1/maxMomentary, 1+e.Trust*(slowdown/e.Usual-1)))
}

// maxMomentary bounds the effect of a single statement of a server.
const maxMomentary = 4

// staleAge is the age at which a quarter of the difference between an estimate and the
// assumption for a server without one is left. Noise of several hundred milliseconds is well
// below it. A server that recovered from 1.7 to 0.7 times the usual time is tried again after
// some 30 s if others have room for more requests, and sooner if they do not.
const staleAge = 10 * time.Second

// Toward returns the estimate at a later time: with its age it approaches the time of a unit
// that is assumed of servers without an estimate. Servers that are not used because they were
// slow therefore get a trial request after some time, the slower ones later.
func (e Estimate) Toward(assumed time.Duration, now time.Duration) Estimate {
	weight := float64(staleAge) / float64(staleAge+max(0, now-e.At))
	e.Unit = assumed + time.Duration(weight*weight*float64(e.Unit-assumed))
	return e
}

// Assumed returns the estimate for a server of which nothing is known but its slots.
func Assumed(unit time.Duration, slots int) Estimate {
	return Estimate{Unit: unit, Growth: priorGrowth, Capacity: float64(max(1, slots))}
}

// Observation is a piece of work that a server did.
type Observation struct {
	At       time.Duration // when the work ended
	Requests int           // number of requests at the server, including this one, 0 if unknown
	Took     time.Duration // duration of the work
	Units    float64       // amount of the work
	Slowdown float64       // relative duration of work as stated by the server, 0 if not stated
}

const (
	// maxRequests bounds the number of requests of an observation. A larger one is not credible.
	maxRequests = 64
	// sliceLength is the time over which observations are combined, and windowSlices the number
	// of such slices whose lower third bounds the estimate. A period of noise of 600 ms touches
	// at most three slices; two of them within the window leave three slices without noise. A
	// server that becomes slower is followed after six slices, one that becomes faster after
	// four.
	sliceLength  = 300 * time.Millisecond
	windowSlices = 9
	// windowLength is the age, relative to the newest slice, beyond which only the newest
	// minSlices count, so that an estimate from few observations follows a change after two.
	windowLength = windowSlices * sliceLength
	minSlices    = 3
)

// slice combines the observations of a time of at most sliceLength.
type slice struct {
	start      time.Duration
	took, work float64 // sums of the durations and of the units of work, the latter corrected for the load
}

func (s slice) unit() float64 { return s.took / s.work }

// Estimator holds what was observed of one server. It is a plain value without references. Slots
// is the number of requests that the server runs at the same time, 0 if it is not known.
type Estimator struct {
	Slots  int
	slices [windowSlices]slice // newest first
	count  int                 // number of slices
	at     time.Duration       // newest observation
	shape  shape
	trust  trust
}

// Observe adds an observation. One that cannot be right is ignored.
func (e *Estimator) Observe(o Observation) {
	unit := float64(o.Took) / o.Units
	if o.Took <= 0 || !(o.Units > 0) || !(unit > 0) || math.IsInf(unit, 0) {
		return
	}
	requests := min(maxRequests, max(1, o.Requests))
	e.shape.observe(o.At, requests, unit)
	if now := e.Estimate(); now.Known() {
		e.trust.observe(o.Slowdown, unit/float64(now.Time(float64(requests))))
	}
	if start := o.At.Truncate(sliceLength); e.count == 0 || start > e.slices[0].start {
		e.push(slice{start: start})
		e.shape.fit(e.Slots)
	}
	e.slices[0].took += float64(o.Took)
	e.slices[0].work += o.Units * e.shape.factor(e.Slots, requests)
	e.at = max(e.at, o.At)
}

// Learn adds an estimate that another observer made at a time. It counts like a slice of own
// observations; its growth and capacity count only while there are no own ones.
func (e *Estimator) Learn(other Estimate, at time.Duration) {
	if !other.Known() || math.IsNaN(other.Growth) || math.IsNaN(other.Capacity) || other.Growth < 0 || other.Growth > 1 || other.Capacity < 1 {
		return
	}
	e.shape.learn(other.Growth, other.Capacity)
	e.push(slice{start: at, took: float64(other.Unit), work: 1})
	e.at = max(e.at, at)
}

func (e *Estimator) push(s slice) {
	copy(e.slices[1:], e.slices[:])
	e.slices[0], e.count = s, min(windowSlices, e.count+1)
}

// Estimate returns the present estimate.
func (e *Estimator) Estimate() Estimate {
	if e.count == 0 {
		return Assumed(0, e.Slots)
	}
	growth, useful := e.shape.parameters(e.Slots)
	return Estimate{
		Unit: time.Duration(e.unit()), Growth: growth, Capacity: useful, Trust: e.trust.share(), Usual: e.trust.usual(), At: e.at,
	}
}

// unit returns the value below which a third of the slices that count lies. It is the median of
// three and the smaller one of two: the first work of a server that has just started is often
// slow.
func (e *Estimator) unit() float64 {
	var units [windowSlices]float64
	n := 0
	for i := range e.count {
		if i >= minSlices && e.slices[0].start-e.slices[i].start > windowLength {
			break
		}
		units[n] = e.slices[i].unit()
		for j := n; j > 0 && units[j] < units[j-1]; j-- {
			units[j], units[j-1] = units[j-1], units[j]
		}
		n++
	}
	return units[n/3]
}
