package frontend

import (
	"time"

	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// defaultRetryAfter applies to refusals whose cause is expected to end soon.
	defaultRetryAfter = 200 * time.Millisecond
	// minOutageRetryAfter and maxOutageRetryAfter bound the time after which callers that
	// were refused because of an outage of the store come back.
	minOutageRetryAfter = 200 * time.Millisecond
	maxOutageRetryAfter = 3 * time.Second
	// retrySpread is the share by which the times vary in both directions, so that callers
	// that were refused at the same time do not come back at the same time.
	retrySpread = 0.5
)

// RetryAfter returns the time after which the caller of a refused request should come back.
func (s *Service) RetryAfter(err error) time.Duration {
	return retryAfter(err, s.LotsAge(), s.Rand())
}

// retryAfter decides when a refused caller should come back. random is uniform in [0, 1).
//
// A full service states the expected wait for a place itself. A host that drains asks for a
// repetition at once, which reaches another host. An outage of the store is expected to last
// as long again as it has lasted so far: a caller has few repetitions, and those made during
// the outage are lost.
func retryAfter(err error, storeOutage time.Duration, random float64) time.Duration {
	if stated, ok := verdict.RetryAfter(err); ok {
		return stated
	}
	wait := defaultRetryAfter
	switch verdict.ReasonOf(err) {
	case verdict.ReasonDraining:
		return 0
	case verdict.ReasonStoreUnavailable:
		wait = min(maxOutageRetryAfter, max(minOutageRetryAfter, storeOutage))
	}
	return time.Duration((1 - retrySpread + 2*retrySpread*random) * float64(wait))
}
