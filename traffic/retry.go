package traffic

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of retries.
const (
	// retryRatio bounds the ratio of retries to requests of a class, so that a
	// fault of the backend servers adds at most a tenth to their load.
	retryRatio = 0.1
	// retryBurst is the initial and largest number of retries in the budget of a
	// class. It lets a class with few requests retry.
	retryBurst = 10

	// initialBackoff bounds the backoff after the first attempt. The bound doubles
	// with each attempt up to backoffLimit.
	initialBackoff = 10 * time.Millisecond
	backoffLimit   = 500 * time.Millisecond
)

// retryBudgets holds a token bucket for each class. A request adds retryRatio tokens, a
// retry takes one token.
type retryBudgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func (b *retryBudgets) earn(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[class] = min(b.level(class)+retryRatio, retryBurst)
}

func (b *retryBudgets) take(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	level := b.level(class)
	if level < 1 {
		return false
	}
	b.tokens[class] = level - 1
	return true
}

func (b *retryBudgets) level(class string) float64 {
	if b.tokens == nil {
		b.tokens = make(map[string]float64)
	}
	if level, ok := b.tokens[class]; ok {
		return level
	}
	return retryBurst
}

// waitBackoff waits for a random backoff before the next attempt. It returns false
// if ctx ends during the wait and, without waiting, if the deadline of the request
// would pass before the end of the backoff.
func (r *Router) waitBackoff(ctx context.Context, attempts int) bool {
	wait := rand.N(MaxBackoff(attempts)) + 1
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
