package forward

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// admit rejects a request that is expected to miss its deadline because all servers have
// queues, so that the caller can turn elsewhere or come back in time.
func (c *call) admit(ctx context.Context) error {
	end, _ := ctx.Deadline()
	return c.checkQueue(c.choose(c.f.Plans.Load(), ""), time.Until(end))
}

// checkQueue returns an error if the first attempt of a request is expected to wait for longer
// than the time that remains.
func (c *call) checkQueue(best choice, remaining time.Duration) error {
	if best.target == nil || !best.queued || best.expected <= remaining {
		return nil
	}
	return c.f.overload(best.expected-remaining, "the expected wait of %s exceeds the time left", best.expected)
}

// overload returns the error of a request that is rejected because all servers are full. A
// place is expected to be free after wait. Callers come back spread over twice that time,
// so that they do not all arrive at once.
func (f *Forwarder) overload(wait time.Duration, format string, args ...any) error {
	wait = min(maxRetryAfter, time.Duration((0.5+f.Rand())*float64(max(minRefusalPause, wait))))
	return verdict.WithRetryAfter(verdict.New(verdict.NotRun, verdict.ReasonOverload, format, args...), wait)
}

// checkAttempt returns an error if no attempt can end in the time that remains, or the service
// has no server.
func (c *call) checkAttempt(best choice, remaining time.Duration) error {
	switch {
	case best.target == nil && best.wait == 0:
		return verdict.New(verdict.NotRun, verdict.ReasonNoBackend, "service %q has no backend server", c.service)
	case remaining < best.wait+minRemaining && (best.wait > 0 || c.refusedByAll()):
		return c.f.overload(best.wait, "all servers are full until the deadline")
	case remaining < best.wait+minRemaining:
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline is too close for another attempt")
	case best.target != nil && best.permitWait > 0 && best.expected > remaining:
		return c.f.overload(best.expected-remaining, "the request limits of all servers are used until the deadline")
	}
	return nil
}
