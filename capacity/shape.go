package capacity

import (
	"math"
	"time"
)

const (
	// priorGrowth is assumed before load was seen to slow a server down. An engine with six
	// slots was measured to be about a fifth slower when all are in use.
	priorGrowth = 0.04
	// levels is the largest number of requests whose effect is learned separately.
	levels = 16
	// pairGap is the longest time between two observations that are compared with each other.
	// Within it, a difference is more likely due to the load than to a change of the server.
	pairGap = time.Second
	// firstRate and lastRate are the weights of a comparison in the relative time of a level:
	// the first when nothing is known, the last in the long run. It falls to half after rateSpan
	// comparisons.
	firstRate = 0.15
	lastRate  = 0.03
	rateSpan  = 10
	// maxSurprise bounds the effect of one comparison, as the logarithm of a ratio.
	maxSurprise = 1.0
	// growthDoubt and capacityDoubt are the costs, in squared logarithms, of a growth that
	// exceeds priorGrowth by 0.1 and of a capacity of no slot instead of all. They are chosen so
	// that a server that becomes 2.5 times slower while its load changes once does not count as
	// one that slows down with its load.
	growthDoubt   = 0.05
	capacityDoubt = 0.5
	// maxWeight bounds the number of comparisons that count for one level.
	maxWeight = 30
)

// growths lists the values of Growth among which the best fit is chosen.
var growths = [...]float64{0, 0.02, priorGrowth, 0.06, 0.09, 0.13, 0.18, 0.25, 0.35, 0.5, 0.7}

// logFactors holds the logarithm of the factor of each growth, capacity and number of requests.
var logFactors = func() (all [len(growths)][levels][levels]float64) {
	for g, growth := range growths {
		for c := range levels {
			e := Estimate{Growth: growth, Capacity: float64(c + 1)}
			for n := range levels {
				all[g][c][n] = math.Log(e.factor(float64(n + 1)))
			}
		}
	}
	return all
}()

// shape is what is known of the growth of the time of a unit of work with the number of
// requests. It compares consecutive observations at different numbers of requests, so that a
// change of the speed of the server is not taken for an effect of load.
type shape struct {
	heights [levels]float64 // logarithm of the time by number of requests, up to a common addend
	weights [levels]float64 // number of comparisons, bounded
	// Newest observation.
	at       time.Duration
	requests int
	logUnit  float64

	fitted           bool
	pending          bool // comparisons were made since the last fit
	growth, capacity float64
}

func (s *shape) observe(at time.Duration, requests int, unit float64) {
	previous, from, gap := s.logUnit, s.requests, at-s.at
	s.at, s.requests, s.logUnit = at, requests, math.Log(unit)
	if from == 0 || from == requests || max(from, requests) > levels || gap > pairGap {
		return
	}
	a, b := from-1, requests-1
	surprise := s.logUnit - previous - (s.heights[b] - s.heights[a])
	surprise = min(maxSurprise, max(-maxSurprise, surprise))
	for _, side := range []struct {
		level int
		sign  float64
	}{{a, -1}, {b, 1}} {
		rate := max(lastRate, firstRate/(1+s.weights[side.level]/rateSpan))
		s.heights[side.level] += side.sign * rate * surprise
		s.weights[side.level] = min(maxWeight, s.weights[side.level]+1)
	}
	s.pending = true
}

// learn takes over the growth and capacity that another observer found.
func (s *shape) learn(growth, capacity float64) {
	for _, w := range s.weights {
		if w > 0 {
			return
		}
	}
	s.growth, s.capacity, s.fitted = growth, min(levels, capacity), true
}

// fit chooses the growth and capacity that agree best with the comparisons.
func (s *shape) fit(slots int) {
	if !s.pending {
		return
	}
	s.pending = false
	most := min(levels, max(1, slots))
	if slots == 0 {
		most = levels
	}
	best := math.Inf(1)
	for g, growth := range growths {
		doubt := growthDoubt * max(0, growth-priorGrowth) / 0.1
		for c := range most {
			free := 1 - float64(c+1)/float64(most)
			cost := doubt + capacityDoubt*free*free + s.error(&logFactors[g][c])
			if cost < best {
				best, s.growth, s.capacity = cost, growth, float64(c+1)
			}
		}
	}
	s.fitted = true
}

// error returns the sum of the squared deviations of the heights from a curve, whose addend is
// chosen for the best fit.
func (s *shape) error(curve *[levels]float64) float64 {
	var sum, sumD, sumDD float64
	for n, w := range s.weights {
		if w == 0 {
			continue
		}
		d := s.heights[n] - curve[n]
		sum, sumD, sumDD = sum+w, sumD+w*d, sumDD+w*d*d
	}
	return sumDD - sumD*sumD/max(1, sum)
}

// parameters returns the growth and the capacity.
func (s *shape) parameters(slots int) (growth, capacity float64) {
	if s.fitted {
		return s.growth, s.capacity
	}
	return priorGrowth, float64(max(1, slots))
}

func (s *shape) factor(slots, requests int) float64 {
	growth, capacity := s.parameters(slots)
	return Estimate{Growth: growth, Capacity: capacity}.factor(float64(requests))
}

const (
	// trustSmoothing is the weight of an observation in the relation between what the server
	// states and how long its work takes.
	trustSmoothing = 0.05
	// minSpread is the variance of the stated slowdowns, as logarithms, below which they say
	// nothing.
	minSpread = 0.01
	// maxStated bounds the logarithm of a stated slowdown.
	maxStated = 3.0
)

// trust relates the slowdowns that a server states to the durations of its work.
type trust struct {
	count            float64
	meanX, meanY     float64 // of the logarithms of stated slowdown and of duration relative to the estimate
	varX, covariance float64
}

func (t *trust) observe(slowdown, ratio float64) {
	if slowdown <= 0 || !(ratio > 0) {
		return
	}
	x := min(maxStated, max(-maxStated, math.Log(slowdown)))
	y := min(maxStated, max(-maxStated, math.Log(ratio)))
	t.count++
	rate := max(trustSmoothing, 1/t.count)
	dx, dy := x-t.meanX, y-t.meanY
	t.meanX += rate * dx
	t.meanY += rate * dy
	t.varX = (1 - rate) * (t.varX + rate*dx*dx)
	t.covariance = (1 - rate) * (t.covariance + rate*dx*dy)
}

// share returns the share of a stated slowdown that shows in the duration of work.
func (t *trust) share() float64 { return min(1, max(0, t.covariance/(t.varX+minSpread))) }

// usual returns the slowdown that is usually stated, 0 if none was.
func (t *trust) usual() float64 {
	if t.count == 0 {
		return 0
	}
	return math.Exp(t.meanX)
}
