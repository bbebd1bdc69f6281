package traffic

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Generator is a client of model engines. Generate calls onChunk for each chunk and
// stops when onChunk returns an error. Its errors carry a verdict.
type Generator interface {
	Generate(ctx context.Context, address string, req engine.GenerateRequest, onChunk func(engine.Chunk) error) error
}

// Reporter passes events to the control loop without blocking.
type Reporter interface{ Post(e event.Event) bool }

// Metrics records refusals, retries and answers of requests.
type Metrics interface {
	Refused(class string, reason verdict.Reason)
	Retried(class string, reason verdict.Reason)
	Answered(class string, latency time.Duration)
}

// Options configures a Router.
type Options struct {
	Plans    *plan.AtomicPlan
	Clock    func() time.Duration // monotonic time since process start, as in the plan
	Zone     string
	Sender   *Sender
	Engines  Generator
	Claims   Claimer // nil refuses routes that need claims
	Reports  Reporter
	Metrics  Metrics
	InFlight *InFlightTracker
	// DefaultTimeout bounds the duration of a request that states no deadline.
	DefaultTimeout time.Duration
}

// Router routes requests by the newest plan.
type Router struct {
	Options
	retryBudgets retryBudgets
}

// NewRouter returns a Router. Metrics and InFlight in o may be nil.
func NewRouter(o Options) *Router {
	if o.Metrics == nil {
		o.Metrics = noopMetrics{}
	}
	if o.InFlight == nil {
		o.InFlight = NewInFlightTracker()
	}
	return &Router{Options: o}
}

// Origin identifies a request, its sender and its class.
type Origin struct {
	ID     string // request id
	Caller string // name of the principal that sent the request
	Class  string // if empty, the class of the route or DefaultClass
}

// request is the state of one request. Only the goroutine of the request uses it.
type request struct {
	Origin
	class      plan.Class
	plan       *plan.Plan
	selectPool func(*plan.Plan) *plan.Pool
	query      plan.Query
	tokens     float64 // size of the request in tokens, 0 for plain services
	idempotent bool
	mayHaveRun bool // an earlier attempt may have run
	attempts   int
}

// run executes fn as one request. It applies DefaultTimeout, reports the outcome and
// counts the request as in flight, so that a graceful shutdown waits for it.
func (r *Router) run(ctx context.Context, req *request, fn func(context.Context) error) error {
	if !r.InFlight.Enter() {
		return verdict.New(verdict.NotRun, verdict.ReasonDraining, "the process is draining")
	}
	defer r.InFlight.Leave()
	if _, ok := ctx.Deadline(); !ok && r.DefaultTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.DefaultTimeout)
		defer cancel()
	}
	started := r.Clock()
	err := fn(ctx)
	r.reportRequestEnd(req, r.Clock()-started, err)
	return err
}

func (r *Router) reportRequestEnd(req *request, latency time.Duration, err error) {
	ended := event.RequestEnded{Class: req.class.Name, Verdict: verdict.Of(err), Latency: latency}
	if err != nil {
		ended.Reason = verdict.ReasonOf(err)
		r.Metrics.Refused(req.class.Name, ended.Reason)
	} else {
		r.Metrics.Answered(req.class.Name, latency)
	}
	r.post(ended)
}

func (r *Router) post(e event.Event) {
	if r.Reports != nil {
		r.Reports.Post(e)
	}
}

// sendWithRetries sends the request to one backend after another until one answers, an
// error forbids a retry, the time of the request runs out, or the retry budget of its
// class is used up. The verdict of the returned error covers all attempts.
func (r *Router) sendWithRetries(ctx context.Context, req *request, send func(context.Context, *plan.Backend) error) error {
	for {
		b, err := r.pick(ctx, req)
		if err != nil {
			return req.finalError(err)
		}
		req.attempts++
		p, started := req.plan, r.Clock()
		err = send(ctx, b)
		p.End(b, &req.query)
		r.reportAttemptEnd(b, err)
		if err == nil {
			observeDuration(b, r.Clock()-started)
			return nil
		}
		err = withContextReason(ctx, err)
		req.mayHaveRun = req.mayHaveRun || verdict.Of(err) != verdict.NotRun
		if err := r.prepareRetry(ctx, req, err); err != nil {
			return req.finalError(err)
		}
		r.Metrics.Retried(req.class.Name, verdict.ReasonOf(err))
		req.query.Tried = append(req.query.Tried, b.Name)
	}
}

// prepareRetry waits for the backoff before the next attempt. It returns the final
// error if no further attempt is allowed.
func (r *Router) prepareRetry(ctx context.Context, req *request, err error) error {
	if !retryable(err, req.idempotent) {
		return err
	}
	if !r.retryBudgets.take(req.class.Name) {
		return verdict.Wrap(err, verdict.Of(err), verdict.ReasonRetryBudget, "retry budget of the class is used up")
	}
	if !r.waitBackoff(ctx, req.attempts) {
		return err
	}
	return nil
}

func (r *Router) reportAttemptEnd(b *plan.Backend, err error) {
	ended := event.AttemptEnded{Backend: b.Name, Verdict: verdict.Of(err)}
	if err != nil {
		ended.Reason = verdict.ReasonOf(err)
	}
	r.post(ended)
}

// finalError returns err with a verdict that covers all attempts: NotRun becomes
// MayHaveRun if an earlier attempt may have run.
func (q *request) finalError(err error) error {
	if q.mayHaveRun && verdict.Of(err) == verdict.NotRun {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonOf(err), "an earlier attempt may have run")
	}
	return err
}

// retryable reports whether the request may be sent to another backend after err.
func retryable(err error, idempotent bool) bool {
	switch verdict.ReasonOf(err) {
	case verdict.ReasonDeadline, verdict.ReasonCanceled, verdict.ReasonBadRequest:
		return false
	default:
		return verdict.Of(err).Retryable(idempotent)
	}
}

type noopMetrics struct{}

func (noopMetrics) Refused(string, verdict.Reason) {}
func (noopMetrics) Retried(string, verdict.Reason) {}
func (noopMetrics) Answered(string, time.Duration) {}
