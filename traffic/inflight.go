package traffic

import (
	"context"
	"sync"
)

// InFlightTracker counts the requests in flight, so that a graceful shutdown can wait
// for them.
type InFlightTracker struct {
	mu     sync.Mutex
	count  int
	closed bool
	idle   chan struct{} // closed once the tracker is closed and count is 0
}

// NewInFlightTracker returns a tracker that accepts requests.
func NewInFlightTracker() *InFlightTracker { return &InFlightTracker{idle: make(chan struct{})} }

// Enter counts a request. After Close it counts nothing and returns false.
func (f *InFlightTracker) Enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.count++
	return true
}

// Hold counts work that belongs to a request in flight. It also counts after Close.
func (f *InFlightTracker) Hold() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

// Leave ends a request or work that Enter or Hold counted.
func (f *InFlightTracker) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.signalIdle()
}

// Close makes the tracker refuse further requests.
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

// Wait blocks until Close has been called and no request is in flight, and then
// returns 0. If ctx ends first, it returns the number of requests still in flight.
func (f *InFlightTracker) Wait(ctx context.Context) int {
	select {
	case <-f.idle:
		return 0
	case <-ctx.Done():
		return f.Count()
	}
}
