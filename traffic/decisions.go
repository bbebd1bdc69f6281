package traffic

import (
	"time"

	"github.com/lavenderstand/lavenderstand/plan"
)

// RequestPolicy holds the decisions of the request path that need no connection and no
// goroutine. A Router takes the same ones; measurements call them on a virtual
// clock.
type RequestPolicy struct{ retryBudgets retryBudgets }

// EarnRetry adds the part of a retry that a request of the class earns.
func (d *RequestPolicy) EarnRetry(class string) { d.retryBudgets.earn(class) }

// TakeRetry takes a retry from the budget of the class, if there is one.
func (d *RequestPolicy) TakeRetry(class string) bool { return d.retryBudgets.take(class) }

// ObserveLatency learns from the duration of an answered request.
func (d *RequestPolicy) ObserveLatency(b *plan.Backend, took time.Duration) { observeDuration(b, took) }

// EstimateWait estimates how long a request of the given tokens, 0 for plain services,
// would wait at the backend.
func (d *RequestPolicy) EstimateWait(p *plan.Plan, b *plan.Backend, tokens float64) time.Duration {
	return estimatedWait(p, b, tokens)
}

// Retryable reports whether another backend may do better after the error.
func Retryable(err error, idempotent bool) bool { return retryable(err, idempotent) }

// MaxBackoff bounds the random wait after the given number of attempts.
func MaxBackoff(attempts int) time.Duration {
	return min(initialBackoff<<min(attempts-1, 10), backoffLimit)
}
