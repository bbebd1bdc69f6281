package forward

import (
	"cmp"
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/memory"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// defaultTimeout bounds requests on routes without a timeout.
	defaultTimeout = 30 * time.Second
	// minHedgeDelay is the minimum delay before a hedged attempt. An ordinary response from
	// another zone arrives within it.
	minHedgeDelay = 40 * time.Millisecond
	// hedgeDelayRatio is the share of the latency target after which a hedged attempt
	// starts. It leaves that attempt enough time for an ordinary response.
	hedgeDelayRatio = 0.55
	// streamRetryDelay is the wait of a stream before its next attempt.
	streamRetryDelay = 15 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused caller is told to come back.
	maxRetryAfter = time.Second
	// minRemaining is the minimum time before the deadline at which an attempt is still
	// started. No server can respond in less time.
	minRemaining = 5 * time.Millisecond
)

// Forwarder forwards requests according to the published plan.
type Forwarder struct {
	Plans  *AtomicPlan
	Sender Sender
	// Permits grants permits for servers that name a request limit.
	Permits Permits
	// Memory bounds the bytes that all requests hold together. Nil means no bound.
	Memory *memory.Budget
	// ServerEnded reports whether a server has ended, after the connection with a request was
	// lost. Nil means that it is not known.
	ServerEnded func(ctx context.Context, to *Target) bool
	Quarantine  Quarantine
	// KeysOverdue reports whether the keys of the plan may be older than a removed key may be
	// accepted, although this host can read the desired state. Nil means never.
	KeysOverdue func() bool
	Origins     Origins // nil if streams are never resumed by callers
	Report      func(Outcome)
	Count       func(name string, reason verdict.Reason)
	Log         *zap.Logger
	Rand        func() float64 // returns uniform random numbers in [0, 1), used to break ties
	// Began adds delta to the number of requests of an organisation that servers began to run
	// at a time of Now. Nil means that nobody counts. It must not block.
	Began func(organisation string, at time.Duration, delta int64)
	Now   func() time.Duration

	// FirstCome is the baseline of the order among organisations: first come, first served.
	FirstCome bool

	stopping stopState
	sharing  sharing
}

// Route returns the current plan and the route of a request. The error has the verdict not
// run and the reason unknown_route or not_ready, and can be returned to the caller.
func (f *Forwarder) Route(host, path string) (*Plan, *desired.Route, error) {
	plan := f.Plans.Load()
	if plan == nil || plan.Desired == nil {
		return nil, nil, notReady()
	}
	route := plan.Desired.Match(host, path)
	if route == nil {
		return plan, nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownRoute, "no route for host %q and this path", host)
	}
	return plan, route, nil
}

func notReady() error {
	return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this host has not received a desired state yet")
}

// MemoryScope returns the scope in which a request reserves the bytes that it holds. The
// caller closes it when the answer has been written.
func (f *Forwarder) MemoryScope() *memory.Scope { return f.Memory.Scope() }

// Forward sends a request and returns the response of one server, or an error whose verdict
// says whether the request may have run.
func (f *Forwarder) Forward(ctx context.Context, r *Request) (*Answer, error) {
	_, route, err := f.Route(r.Host, r.Path)
	if err != nil {
		return nil, err
	}
	end := requestDeadline(r, route)
	if err := f.CheckStop(end); err != nil && !r.Background {
		f.refuse(r, err)
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, f.beforeStop(end))
	defer cancel()
	c := newCall(f, r, route)
	var release func()
	c.stop, release = f.boundByStop(ctx, r, end)
	defer release()
	answer, err := c.run(c.stop.ctx)
	c.log(answer, err)
	return answer, err
}

func newCall(f *Forwarder, r *Request, route *desired.Route) *call {
	return &call{
		f: f, r: r, route: route, service: route.Service(r.ID), idempotent: route.Kind == desired.KindIdempotent,
		tried: make(map[string]int), results: make(chan result, 1), startedAt: time.Now(), wanted: 1, cause: verdict.ReasonFirstAttempt,
		beginning: newBeginning(f, r),
	}
}

// requestDeadline returns the earlier of the caller's deadline and the timeout of the request or,
// if it has none, of its route.
func requestDeadline(r *Request, route *desired.Route) time.Time {
	limit := cmp.Or(r.Timeout, max(0, route.Timeout), defaultTimeout)
	end := time.Now().Add(limit)
	if !r.Deadline.IsZero() && r.Deadline.Before(end) {
		return r.Deadline
	}
	return end
}

// call is the state of one request. Only the goroutine of the request changes it.
type call struct {
	f            *Forwarder
	r            *Request
	route        *desired.Route
	service      string
	idempotent   bool
	tried        map[string]int // attempts by server
	mayHaveRun   int            // number of attempts that may have run
	refusals     int
	failureCount int // number of responses that state that the request failed
	inFlight     int
	wanted       int            // number of attempts to start
	cause        verdict.Reason // why the next attempt starts
	results      chan result
	startedAt    time.Time
	ended        []string // servers that ended while they had the request
	lastServer   string   // server of the last attempt
	failedAnswer *Answer
	lastErr      error
	beginning    *beginning
	seat         seat
	stop         stopBounds
}

type result struct {
	target *Target
	answer *Answer
	err    error
	took   time.Duration
	ended  bool // the server ended while it had the request
}

// run starts attempts until one of them ends the request. Another attempt starts after a
// failure that allows it, or when a server is expected to have room again. If the request
// is idempotent, a hedged attempt also starts while another attempt has not been answered in
// time.
func (c *call) run(ctx context.Context) (*Answer, error) {
	hedge, room := time.NewTimer(noWait), time.NewTimer(noWait)
	defer hedge.Stop()
	defer room.Stop()
	if err := c.admit(ctx); err != nil {
		return nil, err
	}
	for {
		wait, err := c.startAttempts(ctx)
		if err != nil && c.inFlight == 0 {
			if reason := verdict.ReasonOf(err); c.lastErr == nil || reason == verdict.ReasonOverload || reason == verdict.ReasonDraining {
				c.lastErr = err
			}
			return c.giveUp()
		}
		room.Reset(wait)
		hedge.Reset(c.hedgeDelay())
		select {
		case <-ctx.Done():
			return c.contextEnded(ctx)
		case <-c.waiting(ctx).Done():
			if ctx.Err() != nil {
				return c.contextEnded(ctx)
			}
			return nil, c.stop.refusal()
		case <-room.C:
		case <-hedge.C:
			if c.inFlight > 0 && c.mayRepeat() {
				c.wanted = 1
				c.f.Count("retried", verdict.ReasonSlow)
				c.cause = verdict.ReasonSlow
			}
		case res := <-c.results:
			c.inFlight--
			if answer, done, err := c.handleResult(res); done {
				return answer, err
			}
		}
	}
}

// noWait is the wait if nothing is waited for. It is longer than any request lasts.
const noWait = time.Hour

// startAttempts starts the wanted attempts. If all servers are full, it returns the time
// after which one of them is expected to have room.
func (c *call) startAttempts(ctx context.Context) (wait time.Duration, err error) {
	for c.wanted > 0 {
		wait, err = c.startAttempt(ctx)
		if err != nil && c.inFlight > 0 {
			c.wanted = 0 // the attempt in flight decides
			return noWait, nil
		}
		if err != nil || wait > 0 {
			return wait, err
		}
		c.wanted--
	}
	return noWait, nil
}

// refusedByAll reports whether each attempt so far was refused or reached no server.
func (c *call) refusedByAll() bool { return c.refusals > 0 && c.mayHaveRun == 0 }

// choose returns the server for the next attempt.
func (c *call) choose(plan *Plan, avoid string) choice {
	ch := c.chooser(avoid)
	return ch.choose(plan, c.service)
}

// chooser returns what chooses the server for the next attempt.
func (c *call) chooser(avoid string) chooser {
	return chooser{now: time.Now(), tried: c.tried, avoid: avoid, avoidLimited: c.inFlight > 0, background: c.r.Background, random: c.f.Rand}
}

// hedgeDelay returns the delay before a hedged attempt starts.
func (c *call) hedgeDelay() time.Duration {
	return max(minHedgeDelay, time.Duration(float64(c.route.LatencyTarget)*hedgeDelayRatio))
}

func (c *call) maxAttempts() int { return max(1, c.route.MaxAttempts) }

// waiting returns the context of a wait for a server. A shutdown that could cut off the request
// cancels it, unless an attempt may have run: the caller may not repeat such a request at another
// host.
func (c *call) waiting(ctx context.Context) context.Context {
	if c.mayHaveRun == 0 {
		return c.stop.waiting
	}
	return ctx
}

func (c *call) mayRepeat() bool { return c.idempotent && c.mayHaveRun < c.maxAttempts() }

// startAttempt starts an attempt at the best server of the current plan. If all servers are
// full, it starts none and returns the time after which one is expected to have room.
func (c *call) startAttempt(ctx context.Context) (wait time.Duration, err error) {
	if err := c.f.checkQuarantine(c.r); err != nil {
		return 0, err
	}
	waiting := c.waiting(ctx)
	if err := c.stop.refusal(); err != nil && c.mayHaveRun == 0 {
		return 0, err
	}
	avoid := ""
	if c.inFlight > 0 {
		avoid = c.lastServer // do not hedge at the server that has not responded
	}
	plan := c.f.Plans.Load()
	best := c.choose(plan, avoid)
	if c.f.mustWait(plan, c.service, c.r.Background, best) {
		if c.inFlight > 0 {
			return 0, verdict.New(verdict.NotRun, verdict.ReasonOverload, "no attempt is added during a shortage")
		}
		release, err := c.f.awaitTurn(waiting, &c.seat, c.service, plan.class(c.r, c.route), c.r.Organisation, best)
		if err != nil {
			return 0, err
		}
		release() // the attempt below counts instead
		best = c.choose(c.f.Plans.Load(), avoid)
	}
	target := best.target
	end, _ := ctx.Deadline()
	if err := c.checkAttempt(best, time.Until(end)); err != nil {
		return 0, err
	}
	if target == nil {
		return best.wait, nil
	}
	if target.Load.Limit() > 0 {
		c.f.Count("limited_attempts", c.cause)
	}
	c.tried[target.ID]++
	c.mayHaveRun++
	c.inFlight++
	c.lastServer = target.ID
	suspects := int32(min(1, len(c.ended)))
	target.Load.InFlight.Add(1)
	target.Load.suspects.Add(suspects)
	go func() {
		res := c.f.attempt(ctx, waiting, best, c.r, end, c.beginning)
		target.Load.InFlight.Add(-1)
		target.Load.suspects.Add(-suspects)
		c.f.ended(c.service)
		if ctx.Err() != nil {
			c.f.reportAbandoned(c.r, res)
		}
		select {
		case c.results <- res:
		case <-ctx.Done():
		}
	}()
	return 0, nil
}

// attempt sends a request to the chosen server, after a wait if the server names a limit. waiting
// is the context of the wait.
func (f *Forwarder) attempt(ctx, waiting context.Context, to choice, r *Request, end time.Time, b *beginning) result {
	maxWait := time.Until(end) - (to.expected - to.permitWait)
	if err := AwaitPermit(waiting, f.Permits, to.target, r.Background, maxWait); err != nil {
		return result{target: to.target, err: err}
	}
	start, begunAt := time.Now(), b.sent()
	answer, err := f.send(ctx, to.target, r, time.Until(end))
	took := time.Since(start)
	if err != nil && verdict.Of(err) == verdict.NotRun {
		b.refused(begunAt)
	}
	ended := connectionLost(err) && f.ServerEnded != nil && f.ServerEnded(ctx, to.target)
	return result{to.target, answer, err, took, ended}
}

// connectionLost reports whether the server closed the connection before the end of its
// answer.
func connectionLost(err error) bool {
	switch verdict.ReasonOf(err) {
	case verdict.ReasonConnectionLost, verdict.ReasonTruncatedAnswer:
		return verdict.Of(err) == verdict.MayHaveRun
	default:
		return false
	}
}

// send sends a request. A panic while the response is decoded becomes an error.
func (f *Forwarder) send(ctx context.Context, to *Target, r *Request, remaining time.Duration) (answer *Answer, err error) {
	defer verdict.Recover(&err)
	return f.Sender.Send(ctx, to, r, remaining)
}

// handleResult processes the result of an attempt. If the request has ended, done is true and
// answer or err is its outcome.
func (c *call) handleResult(res result) (answer *Answer, done bool, err error) {
	if res.ended {
		c.ended = append(c.ended, res.target.ID)
	}
	c.reportOutcome(res)
	if res.ended && tooManyEnded(c.r, len(c.ended)) {
		return nil, true, errTooManyEnded(res.err, len(c.ended))
	}
	if res.err == nil && res.answer.UnconfirmedRefusal && !c.idempotent {
		return nil, true, errUnconfirmedRefusal(res)
	}
	if res.err == nil && res.answer.serverFailed() {
		if res.answer.requestFailed() {
			c.failureCount++
		}
		res.answer.Failures = c.failureCount
	}
	if res.err == nil && (!res.answer.serverFailed() || !c.mayRepeat()) {
		return res.answer, true, nil
	}
	if res.err == nil {
		c.failedAnswer = res.answer
	} else {
		c.lastErr = res.err
	}
	notRun := res.err != nil && verdict.Of(res.err) == verdict.NotRun
	if notRun {
		c.mayHaveRun--
		c.refusals++
	} else {
		c.seat = seat{} // only a refused request keeps its place
	}
	if notAsked(res.err) {
		c.tried[res.target.ID]-- // the server was not asked
	}
	if !notRun && !c.mayRepeat() {
		if c.inFlight > 0 {
			return nil, false, nil
		}
		answer, err = c.giveUp()
		return answer, true, err
	}
	c.cause = reasonOf(res)
	c.f.Count("retried", c.cause)
	c.wanted++
	return nil, false, nil
}

// giveUp returns the last failure response of a server if there is one, else the last error.
// The verdict of the error is not run only if no attempt may have run.
func (c *call) giveUp() (*Answer, error) {
	if c.failedAnswer != nil {
		return c.failedAnswer, nil
	}
	if c.mayHaveRun > 0 && verdict.Of(c.lastErr) == verdict.NotRun {
		return nil, verdict.Wrap(c.lastErr, verdict.MayHaveRun, verdict.ReasonOf(c.lastErr), "an earlier attempt may have run")
	}
	return nil, c.lastErr
}

// contextEnded returns the outcome of a request whose deadline passed or whose caller
// disconnected.
func (c *call) contextEnded(ctx context.Context) (*Answer, error) {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, "the caller disconnected")
	}
	if c.failedAnswer != nil {
		return c.failedAnswer, nil
	}
	if c.refusedByAll() {
		return nil, c.f.overload(0, "all servers were full until the deadline")
	}
	v := verdict.NotRun
	if c.mayHaveRun > 0 {
		v = verdict.MayHaveRun
	}
	return nil, verdict.New(v, verdict.ReasonDeadline, "no answer in time")
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
