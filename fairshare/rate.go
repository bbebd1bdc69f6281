package fairshare

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant with which earlier requests lose weight. Hosts that
	// share servers are served in bursts, over which a shorter window does not average.
	rateWindow = 2 * time.Second
	// minServed is the number of served requests from which the rate counts as known.
	minServed = 2
)

// rate measures how fast requests are served while any wait.
type rate struct {
	served float64       // weighted number of served requests
	busy   float64       // weighted time in which requests waited, in nanoseconds
	last   time.Duration // until when busy is counted
	// returned is the number of served requests that their servers refused. They are served
	// again and count once.
	returned int
}

// begin records that a request begins to wait. Times in which none waited do not count.
func (r *rate) begin(now time.Duration, empty bool) {
	if empty {
		r.last = now
	}
}

// advance counts the time until now as one in which requests waited.
func (r *rate) advance(now time.Duration) {
	took := float64(max(0, now-r.last))
	weight := math.Exp(-took / float64(rateWindow))
	r.served, r.busy, r.last = r.served*weight, r.busy*weight+took, now
}

func (r *rate) serve(now time.Duration) {
	r.advance(now)
	if r.returned > 0 {
		r.returned--
		return
	}
	r.served++
}

// interval returns the expected time between two requests, 0 if it is not known. It grows
// while none is served.
func (r *rate) interval(now time.Duration, waiting bool) time.Duration {
	if r.served < minServed {
		return 0
	}
	busy := r.busy
	if waiting {
		busy += float64(max(0, now-r.last))
	}
	return time.Duration(busy / r.served)
}
