package traffic

import (
	"time"

	"github.com/lavenderstand/lavenderstand/plan"
)

// RequestPolicy holds the decisions of the request path that need neither a connection
// nor a goroutine. A Router makes the same decisions. Benchmarks call these methods with
// a virtual clock.
type RequestPolicy struct{ retryBudgets retryBudgets }

// EarnRetry credits the retry budget of the class for one request.
func (d *RequestPolicy) EarnRetry(class string) { d.retryBudgets.earn(class) }

// TakeRetry takes one retry from the budget of the class. It returns false if the
// budget is used up.
func (d *RequestPolicy) TakeRetry(class string) bool { return d.retryBudgets.take(class) }

// ObserveLatency updates the average latency of b with the duration of an answered
// request.
func (d *RequestPolicy) ObserveLatency(b *plan.Backend, took time.Duration) { observeDuration(b, took) }

// EstimateWait estimates how long a request of the given number of tokens, 0 for plain
// services, would wait at the backend.
func (d *RequestPolicy) EstimateWait(p *plan.Plan, b *plan.Backend, tokens float64) time.Duration {
	return estimatedWait(p, b, tokens)
}

// Retryable reports whether a request may be sent to another backend after err.
func Retryable(err error, idempotent bool) bool { return retryable(err, idempotent) }

// MaxBackoff returns the upper bound of the random backoff after the given number of
// attempts.
func MaxBackoff(attempts int) time.Duration {
	return min(initialBackoff<<min(attempts-1, 10), backoffLimit)
}
