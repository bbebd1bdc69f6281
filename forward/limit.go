package forward

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// permitTTL is the time for which a permit may be used. A host that was paused after it
	// received a permit discards it, because others have used the limit meanwhile.
	permitTTL = 300 * time.Millisecond
	// minPermitRetry and maxPermitRetry bound the time between two requests of this host for
	// a permit that was not granted, so that the hosts do not overload the one that grants.
	minPermitRetry = 50 * time.Millisecond
	maxPermitRetry = time.Second
)

// PermitRequest asks for permission to send one request to a server that named a limit.
type PermitRequest struct {
	Server     string
	Limit      float64       // requests per second that the server takes from all hosts together
	MaxWait    time.Duration // longest wait for which the permit is still of use
	Background bool          // no caller waits for the request
}

// Permit is the answer to a PermitRequest. Wait is the time after which the permit may be
// used or, if none was granted, after which one is expected to be available.
type Permit struct {
	Granted bool
	Wait    time.Duration
}

// Permits grants the requests that a server with a limit takes to all hosts.
type Permits interface {
	Acquire(ctx context.Context, r PermitRequest) Permit
}

// RecordLimit records the number of requests per second that a server takes from all hosts
// together, 0 if it names no limit.
func (l *Load) RecordLimit(perSecond float64) { l.limit.Store(math.Float64bits(perSecond)) }

// Limit returns the number of requests per second that the server takes from all hosts
// together, 0 if it named no limit in its last answer.
func (l *Load) Limit() float64 { return math.Float64frombits(l.limit.Load()) }

// permitWait returns the expected wait for a permit of the server.
func (l *Load) permitWait(background bool, now time.Time) time.Duration {
	if l.Limit() == 0 {
		return 0
	}
	return max(0, time.Duration(l.nextPermit(background).Load()-now.UnixNano()))
}

// nextPermit returns the field for the next permit of callers or of background requests.
func (l *Load) nextPermit(background bool) *atomic.Int64 {
	if background {
		return &l.nextBackgroundPermit
	}
	return &l.nextCallerPermit
}

// permitInterval returns the mean time between two permits of a limit.
func permitInterval(limit float64) time.Duration {
	return time.Duration(float64(time.Second) / limit)
}

// permitRetry returns the time after which this host asks again for a permit that was not
// granted.
func permitRetry(limit float64) time.Duration {
	return min(maxPermitRetry, max(minPermitRetry, permitInterval(limit)))
}

// claimBackgroundAsk reports whether this goroutine may ask for a permit for a background
// request. The others wait, so that requests in the background do not all ask at once.
func (l *Load) claimBackgroundAsk(limit float64, now time.Time) bool {
	next := l.nextBackgroundPermit.Load()
	return next <= now.UnixNano() && l.nextBackgroundPermit.CompareAndSwap(next, now.Add(permitRetry(limit)).UnixNano())
}

// AwaitPermit waits until a request may be sent to a server. It returns at once if the server
// names no limit, or has said that it leaves. An error states that the request was not sent; if
// its reason is server_limit, the time after which to try again is attached.
func AwaitPermit(ctx context.Context, permits Permits, to *Target, background bool, maxWait time.Duration) error {
	if err := CheckLeaving(to); err != nil {
		return err
	}
	limit := to.Load.Limit()
	if limit == 0 {
		return nil
	}
	asked := time.Now()
	if background && !to.Load.claimBackgroundAsk(limit, asked) {
		return limitReached(to, max(minPermitRetry, to.Load.permitWait(true, asked)))
	}
	p := permits.Acquire(ctx, PermitRequest{Server: to.ID, Limit: limit, MaxWait: max(0, maxWait), Background: background})
	next := asked.Add(p.Wait)
	switch {
	case !p.Granted && !background:
		next = next.Add(permitRetry(limit))
	case p.Granted && !background:
		next = next.Add(permitInterval(limit))
	}
	to.Load.nextPermit(background).Store(next.UnixNano())
	if !p.Granted {
		return limitReached(to, max(minPermitRetry, p.Wait))
	}
	if !sleep(ctx, time.Until(asked.Add(p.Wait))) {
		return verdict.New(verdict.NotRun, verdict.ReasonCanceled, "canceled while waiting for a permit of server %s", to.ID)
	}
	if time.Since(asked) > p.Wait+permitTTL {
		return limitReached(to, minPermitRetry)
	}
	return CheckLeaving(to) // it may have said so during the wait
}

// isLimitReached reports whether a request was not sent because of the limit of its server.
func isLimitReached(err error) bool {
	return err != nil && verdict.ReasonOf(err) == verdict.ReasonServerLimit
}

func limitReached(to *Target, wait time.Duration) error {
	return verdict.WithRetryAfter(verdict.New(verdict.NotRun, verdict.ReasonServerLimit, "server %s takes no further requests for %s", to.ID, wait), wait)
}
