package rollout

import (
	"math"
	"time"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// lengthMemory is the number of finished outputs over which the statistics of output
	// lengths are averaged. The lengths drift as the model is trained.
	lengthMemory = 200
	// defaultLengthSpread is the standard deviation of the logarithm of actual to estimated
	// length that is assumed before outputs have been measured.
	defaultLengthSpread = 0.5
	// minLengthSpread keeps outputs that exceed their estimate by far possible when the
	// estimates have been nearly exact so far.
	minLengthSpread = 0.1
	// unknownRemainingEvents is assumed before any output of a model has been measured.
	unknownRemainingEvents = 20
	// minRemainingEvents is the least forecast of an output that has not ended.
	minRemainingEvents = 1
	// defaultCompletionTarget applies to lots whose route states no CompletionTarget.
	defaultCompletionTarget = 10 * time.Second
)

// recordLength adds a finished output to the length statistics of its model.
func recordLength(m *table.Model, spec *lot.Item, events int) {
	if events == 0 {
		return
	}
	l := &m.Lengths
	l.Outputs = min(l.Outputs+1, lengthMemory)
	ratio := math.Log(float64(events) / estimatedTokens(spec))
	delta := ratio - l.MeanLogRatio
	weight := 1 / float64(l.Outputs)
	l.MeanLogRatio += weight * delta
	l.Variance = (1 - weight) * (l.Variance + weight*delta*delta)
}

// estimatedTokens returns the estimated length of an output. All outputs without an
// estimate are treated alike.
func estimatedTokens(spec *lot.Item) float64 { return float64(max(1, spec.EstimatedTokens)) }

// lengthSpread returns the standard deviation of the logarithm of the length ratio. The
// default counts as one measured output.
func lengthSpread(l table.LengthStats) float64 {
	n := float64(l.Outputs)
	return max(minLengthSpread, math.Sqrt((n*l.Variance+defaultLengthSpread*defaultLengthSpread)/(n+1)))
}

// remainingEvents returns the expected number of further events of an output that has
// done events. Its length is taken as log-normally distributed around its estimate, at
// least done and at most the length at which the engine cuts it off.
func remainingEvents(m *table.Model, spec *lot.Item, done float64) float64 {
	if m == nil || m.Lengths.Outputs == 0 {
		return unknownRemainingEvents
	}
	mu, sigma := math.Log(estimatedTokens(spec))+m.Lengths.MeanLogRatio, lengthSpread(m.Lengths)
	limit := math.Inf(1)
	if spec.MaxTokens > 0 {
		limit = float64(spec.MaxTokens) * math.Exp(m.Lengths.MeanLogRatio)
	}
	if done >= limit {
		return minRemainingEvents
	}
	from, to := (math.Log(max(done, minRemainingEvents))-mu)/sigma, (math.Log(limit)-mu)/sigma
	longer := normalTail(from) // probability that the output is longer than done
	if longer < 1e-9 {
		return max(minRemainingEvents, min(done/2, limit-done))
	}
	sum := math.Exp(mu+sigma*sigma/2) * (normalTail(from-sigma) - normalTail(to-sigma))
	if !math.IsInf(limit, 1) {
		sum += limit * normalTail(to)
	}
	return max(minRemainingEvents, sum/longer-done)
}

// normalTail returns the probability that a standard normal variable exceeds x.
func normalTail(x float64) float64 { return math.Erfc(x/math.Sqrt2) / 2 }

// eventsDone returns the estimated number of events of an item by now, including those of
// its run that have not been reported yet.
func eventsDone(now time.Duration, item *table.Item, interval time.Duration) float64 {
	done := float64(len(item.Events))
	if item.Stage == table.ItemRunning && interval > 0 {
		done += float64(now-item.EventsAt) / float64(interval)
	}
	return done
}

// lotDue returns the time at which all results of a lot are due.
func lotDue(l *table.Lot, route *desired.Route) time.Duration {
	return l.SeenAt + CompletionTarget(route)
}

// CompletionTarget returns the time after its submission at which a lot of a route is due.
func CompletionTarget(route *desired.Route) time.Duration {
	if route == nil || route.CompletionTarget <= 0 {
		return defaultCompletionTarget
	}
	return route.CompletionTarget
}
