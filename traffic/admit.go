package traffic

import (
	"context"
	"errors"
	"time"

	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// DefaultClass is the class of requests that name none.
const DefaultClass = "default"

// admit checks that the process may serve new requests now, and fills in plan
// and class. Nothing has been sent, so every refusal is NotRun.
func (r *Router) admit(ctx context.Context, req *request) error {
	if err := contextError(ctx); err != nil {
		return err
	}
	p := r.Plans.Load()
	switch {
	case p == nil:
		return verdict.New(verdict.NotRun, verdict.ReasonConfigUnconfirmed, "no routing plan yet")
	case r.Clock() > p.ValidUntil:
		return verdict.New(verdict.NotRun, verdict.ReasonConfigUnconfirmed, "the configuration has not been confirmed in time")
	case p.Draining:
		return verdict.New(verdict.NotRun, verdict.ReasonDraining, "the process is stopping")
	}
	req.plan = p
	return nil
}

// classify looks up the request's class.
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
		return verdict.New(verdict.NotRun, verdict.ReasonOverload, "class %q has no share while a class above misses its target", name)
	}
	return nil
}

// checkWait refuses a request that would still wait at its deadline.
func (r *Router) checkWait(ctx context.Context, req *request, b *plan.Backend) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	wait := estimatedWait(req.plan, b, req.tokens)
	if left := time.Until(deadline); wait > left {
		return verdict.New(verdict.NotRun, verdict.ReasonOverload, "estimated wait of %v exceeds the %v left", wait, left)
	}
	return nil
}

// latencyEWMAWeight is the weight of the newest duration.
const latencyEWMAWeight = 0.1

// observeDuration learns how long a plain service takes per request, only from
// servers with free slots, because the duration of others includes their wait.
func observeDuration(b *plan.Backend, took time.Duration) {
	if b.Stale || b.Report.Running+b.Report.Queued >= b.Report.Slots {
		return
	}
	old := b.Counters.SmoothedLatencyNS.Load()
	if old != 0 {
		took = time.Duration(old) + time.Duration(latencyEWMAWeight*float64(took-time.Duration(old)))
	}
	// A concurrent update may be lost, which an estimate can bear.
	b.Counters.SmoothedLatencyNS.CompareAndSwap(old, int64(took))
}

// estimatedWait is 0 if nothing is known about the backend's load.
func estimatedWait(p *plan.Plan, b *plan.Backend, tokens float64) time.Duration {
	if b.Stale || b.Report.Slots <= 0 {
		return 0
	}
	waiting := p.Load(b) - float64(b.Report.Slots)
	return time.Duration(waiting * float64(delayPerRequest(b, tokens)))
}

// delayPerRequest estimates the time by which one waiting request delays the next. An
// engine's follows from its reported token rate. It is 0 if nothing is known.
func delayPerRequest(b *plan.Backend, tokens float64) time.Duration {
	if tokens > 0 {
		if b.Report.TokensPerSecond <= 0 {
			return 0
		}
		return time.Duration(tokens / b.Report.TokensPerSecond * float64(time.Second))
	}
	return time.Duration(b.Counters.SmoothedLatencyNS.Load()) / time.Duration(b.Report.Slots)
}

// contextError returns the refusal for a request whose time is over before it
// was sent.
func contextError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return verdict.Wrap(err, verdict.NotRun, contextReason(err), "request ended before it was sent")
	}
	return nil
}

// withContextReason gives err the reason of an ended context and keeps its verdict.
func withContextReason(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return verdict.Wrap(err, verdict.Of(err), contextReason(ctx.Err()), "request ended while it was sent")
}

func contextReason(err error) verdict.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.ReasonDeadline
	}
	return verdict.ReasonCanceled
}
