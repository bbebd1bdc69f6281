package traffic

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of repetition.
const (
	// retryRatio is the part of requests that may be retries, so that a fault
	// of the backend servers adds at most a tenth to their load.
	retryRatio = 0.1
	// retryBurst lets a class with few requests retry at all.
	retryBurst = 10

	initialBackoff = 10 * time.Millisecond
	backoffLimit   = 500 * time.Millisecond
)

// retryBudgets are token buckets by class: a request adds retryShare, a retry takes 1.
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

// waitBackoff waits before the next attempt. It returns false, without waiting, if
// the request's time would be over by then.
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
