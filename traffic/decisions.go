package traffic

import (
	"time"

	"github.com/lavenderstand/lavenderstand/plan"
)

// Decisions are the decisions of the request path that need no connection and no
// goroutine. A Router takes the same ones; measurements call them on a virtual
// clock.
type Decisions struct{ budgets budgets }

// Earn adds the part of a retry that a request of the class earns.
func (d *Decisions) Earn(class string) { d.budgets.earn(class) }

// TakeRetry takes a retry from the budget of the class, if there is one.
func (d *Decisions) TakeRetry(class string) bool { return d.budgets.take(class) }

// Observe learns from the duration of an answered request.
func (d *Decisions) Observe(b *plan.Backend, took time.Duration) { observeDuration(b, took) }

// Wait estimates how long a request of the given tokens, 0 for plain services,
// would wait at the backend.
func (d *Decisions) Wait(p *plan.Plan, b *plan.Backend, tokens float64) time.Duration {
	return estimatedWait(p, b, tokens)
}

// Repeatable reports whether another backend may do better after the error.
func Repeatable(err error, idempotent bool) bool { return repeatable(err, idempotent) }

// LongestBackoff bounds the random wait after the given number of attempts.
func LongestBackoff(attempts int) time.Duration {
	return min(firstBackoff<<min(attempts-1, 10), longestBackoff)
}
