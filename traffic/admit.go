package traffic

import (
	"context"
	"errors"
	"time"

	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// DefaultClass is the class of a request that names no class.
const DefaultClass = "default"

// admit sets the plan of the request, or refuses the request if the process may
// not serve new requests now. Nothing has been sent yet, so every refusal has the
// verdict NotRun.
func (r *Router) admit(ctx context.Context, req *request) error {
	if err := contextError(ctx); err != nil {
		return err
	}
	p := r.Plans.Load()
	switch {
	case p == nil:
		return verdict.New(verdict.NotRun, verdict.ReasonConfigUnconfirmed, "no routing plan has been published yet")
	case r.Clock() > p.ValidUntil:
		return verdict.New(verdict.NotRun, verdict.ReasonConfigUnconfirmed, "the routing plan has expired because the configuration was not confirmed in time")
	case p.Draining:
		return verdict.New(verdict.NotRun, verdict.ReasonDraining, "the process is draining")
	}
	req.plan = p
	return nil
}

// classify sets the class of the request. It refuses an unknown class and a class
// without a share of capacity.
func (q *request) classify(name string) error {
	if name == "" {
		name = DefaultClass
	}
	class, ok := q.plan.Classes[name]
	if !ok && name == DefaultClass {
		class, ok = plan.Class{Name: DefaultClass, Share: 1}, true
	}
	q.class = class
	switch {
	case !ok:
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownClass, "unknown class %q", name)
	case class.Share <= 0:
		return verdict.New(verdict.NotRun, verdict.ReasonOverload, "class %q has no capacity share because a class of higher priority misses its target", name)
	}
	return nil
}

// checkWait refuses a request whose estimated wait at b exceeds the time left until
// its deadline.
func (r *Router) checkWait(ctx context.Context, req *request, b *plan.Backend) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	wait := estimatedWait(req.plan, b, req.tokens)
	if left := time.Until(deadline); wait > left {
		return verdict.New(verdict.NotRun, verdict.ReasonOverload, "estimated wait of %v exceeds the %v left until the deadline", wait, left)
	}
	return nil
}

// latencyEWMAWeight is the weight, from 0 to 1, of the newest duration in the moving
// average of a backend's latency.
const latencyEWMAWeight = 0.1

// observeDuration updates the moving average of the latency of b. It ignores
// backends without free slots, because their durations include the wait in the
// queue, and backends without a recent load report.
func observeDuration(b *plan.Backend, took time.Duration) {
	if b.Stale || b.Report.Running+b.Report.Queued >= b.Report.Slots {
		return
	}
	old := b.Counters.SmoothedLatencyNS.Load()
	if old != 0 {
		took = time.Duration(old) + time.Duration(latencyEWMAWeight*float64(took-time.Duration(old)))
	}
	// If another request updates the average concurrently, this duration is
	// dropped. An estimate tolerates that.
	b.Counters.SmoothedLatencyNS.CompareAndSwap(old, int64(took))
}

// estimatedWait estimates how long a request of the given number of tokens, 0 for
// plain services, waits at b. The estimate is not positive if b has a free slot. It is
// 0 if the load of b is not known.
func estimatedWait(p *plan.Plan, b *plan.Backend, tokens float64) time.Duration {
	if b.Stale || b.Report.Slots <= 0 {
		return 0
	}
	waiting := p.Load(b) - float64(b.Report.Slots)
	return time.Duration(waiting * float64(delayPerRequest(b, tokens)))
}

// delayPerRequest estimates the time by which one queued request delays the next. It
// derives the time from the reported token rate for engines and from the average
// latency for plain services. It returns 0 if the rate or latency is not known.
func delayPerRequest(b *plan.Backend, tokens float64) time.Duration {
	if tokens > 0 {
		if b.Report.TokensPerSecond <= 0 {
			return 0
		}
		return time.Duration(tokens / b.Report.TokensPerSecond * float64(time.Second))
	}
	return time.Duration(b.Counters.SmoothedLatencyNS.Load()) / time.Duration(b.Report.Slots)
}

// contextError returns a refusal if ctx ended before the request was sent, nil
// otherwise.
func contextError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return verdict.Wrap(err, verdict.NotRun, contextReason(err), "request was canceled or timed out before it was sent")
	}
	return nil
}

// withContextReason gives err the reason for which ctx ended, if it has ended, and
// keeps the verdict of err.
func withContextReason(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return verdict.Wrap(err, verdict.Of(err), contextReason(ctx.Err()), "request was canceled or timed out during an attempt")
}

func contextReason(err error) verdict.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.ReasonDeadline
	}
	return verdict.ReasonCanceled
}
