package traffic

import (
	"context"
	"sync"
)

// InFlightTracker tracks requests in flight, so that a planned stop can finish them.
type InFlightTracker struct {
	mu     sync.Mutex
	count  int
	closed bool
	idle   chan struct{} // closed when closed and count is 0
}

// NewInFlightTracker returns an open tracker.
func NewInFlightTracker() *InFlightTracker { return &InFlightTracker{idle: make(chan struct{})} }

// Enter counts a request; it returns false after Close.
func (f *InFlightTracker) Enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.count++
	return true
}

// Hold counts work that belongs to a request in flight, even after Close.
func (f *InFlightTracker) Hold() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

// Leave ends what Enter or Hold counted.
func (f *InFlightTracker) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.signalIdle()
}

// Close refuses further requests.
func (f *InFlightTracker) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.closed = true
		f.signalIdle()
	}
}

func (f *InFlightTracker) signalIdle() {
	if f.closed && f.count == 0 {
		close(f.idle)
	}
}

// Count returns the number of requests in flight.
func (f *InFlightTracker) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Wait blocks after Close until no request is in flight. If ctx ends first it
// returns the number of requests that are cut off.
func (f *InFlightTracker) Wait(ctx context.Context) int {
	select {
	case <-f.idle:
		return 0
	case <-ctx.Done():
		return f.Count()
	}
}
