package telemetry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lavenderstand/lavenderstand/verdict"
)

var (
	// latencyBuckets range from 1 ms to 524 s: from a fast lookup to a long sample.
	latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 20)
	// tickBuckets range from 10 µs to 328 ms. A tick of the control loop should take far
	// less than the shortest tick interval, which is 5 ms.
	tickBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Microsecond, 2, 16)
)

// Counters counts requests by class and reason and records latencies by class. It is safe for
// concurrent use.
type Counters struct {
	scope   tally.Scope
	byKey   sync.Map // counterKey to tally.Counter
	latency sync.Map // class to tally.Histogram
}

type counterKey struct {
	name, class string
	reason      verdict.Reason
}

// NewCounters returns counters in the given scope.
func NewCounters(scope tally.Scope) *Counters { return &Counters{scope: scope} }

// Refused counts a request that was not served.
func (c *Counters) Refused(class string, reason verdict.Reason) { c.add("refused", class, reason) }

// Retried counts a further attempt to serve a request.
func (c *Counters) Retried(class string, reason verdict.Reason) { c.add("retried", class, reason) }

// Answered records the latency of a complete answer.
func (c *Counters) Answered(class string, latency time.Duration) {
	h, ok := c.latency.Load(class)
	if !ok {
		scope := c.scope.Tagged(map[string]string{"class": class})
		h, _ = c.latency.LoadOrStore(class, scope.Histogram("answered_seconds", latencyBuckets))
	}
	h.(tally.Histogram).RecordDuration(latency)
}

func (c *Counters) add(name, class string, reason verdict.Reason) {
	key := counterKey{name, class, reason}
	counter, ok := c.byKey.Load(key)
	if !ok {
		scope := c.scope.Tagged(map[string]string{"class": class, "reason": string(reason)})
		counter, _ = c.byKey.LoadOrStore(key, scope.Counter(name+"_total"))
	}
	counter.(tally.Counter).Inc(1)
}
