package forward

import (
	"slices"
	"sync"
	"time"
)

// oneWayDelay is half of the network round trip to a server: a constant, because connections
// are kept and their round trip is not measured. Round trips of 1 to 4 ms are usual between
// zones, and an error of 1 ms moves one of 5,000 requests to the next window of 5 s.
const oneWayDelay = time.Millisecond

// beginning tells control when the first server that did not refuse a request began to run it.
// It reports an attempt as soon as it is sent, because a request may run for longer than its
// window can be counted, and takes the report back if the server refuses the attempt. The zero
// value belongs to no request. The mutex is that of one request.
type beginning struct {
	f  *Forwarder
	r  *Request
	mu sync.Mutex
	// begun holds the times of the attempts that were not refused so far, in the order of
	// their start. The first one is reported.
	begun []time.Duration
}

func newBeginning(f *Forwarder, r *Request) *beginning { return &beginning{f: f, r: r} }

// counts reports whether the request counts as usage of an organisation.
func (b *beginning) counts() bool {
	return b.f.Began != nil && b.r.Organisation != "" && !b.r.Background
}

// sent records that an attempt is being sent, and returns its time.
func (b *beginning) sent() time.Duration {
	if !b.counts() {
		return 0
	}
	at := b.f.Now() + oneWayDelay
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begun = append(b.begun, at)
	if len(b.begun) == 1 {
		b.f.Began(b.r.Organisation, at, 1)
	}
	return at
}

// refused records that the attempt with the given time did not run.
func (b *beginning) refused(at time.Duration) {
	if !b.counts() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.begun, at)
	if i < 0 {
		return
	}
	b.begun = slices.Delete(b.begun, i, i+1)
	if i > 0 {
		return
	}
	b.f.Began(b.r.Organisation, at, -1)
	if len(b.begun) > 0 {
		b.f.Began(b.r.Organisation, b.begun[0], 1)
	}
}
