package forward

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// StreamWriter writes a stream to a caller.
type StreamWriter interface {
	Begin(h http.Header) // starts the response; called once, before the first event or the end
	Event(e Event) error // writes an event
}

// streamIdleTimeout bounds the time between two events of a stream that may be resumed. After
// it, the connection to the server is considered lost. It is far longer than the usual time
// between events. Other streams are slow rather than lost: they last until their deadline.
const streamIdleTimeout = 700 * time.Millisecond

// ForwardStream forwards the events of a stream as they arrive. If the stream breaks and its
// route is resumable, it continues after the last forwarded event at another server of the
// software version that began it. The caller may have received its first events from another
// host.
func (f *Forwarder) ForwardStream(ctx context.Context, r *Request, w StreamWriter) error {
	_, route, err := f.Route(r.Host, r.Path)
	if err != nil {
		return err
	}
	if err := f.checkQuarantine(r); err != nil {
		f.Count("refused", verdict.ReasonOf(err))
		return err
	}
	end := requestDeadline(r, route)
	if err := f.CheckStop(end); err != nil {
		f.refuse(r, err)
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	s := &streamCall{f: f, r: r, route: route, w: w, tried: make(map[string]int), lastEventID: r.ResumeAfter, beginning: newBeginning(f, r)}
	var release func()
	s.stop, release = f.boundByStop(ctx, r, end)
	defer release()
	if err = s.findOrigin(s.stop.ctx); err == nil {
		err = s.run(s.stop.ctx)
	}
	s.log(err)
	return err
}

type streamCall struct {
	f           *Forwarder
	r           *Request
	route       *desired.Route
	w           StreamWriter
	tried       map[string]int
	lastEventID int      // id of the last forwarded event
	mayHaveRun  int      // number of attempts that may have run
	ended       []string // servers that ended while they had the request
	lastServer  *Target  // server of the last attempt that was sent
	headerSent  bool
	parts       []streamPart
	begun       bool              // a server has sent the first event, here or before the caller resumed the stream
	software    registry.Software // version of the server that sent the first event
	beginning   *beginning
	seat        seat
	rejected    bool                 // the stream cannot be served before its deadline
	work        capacity.Observation // of the newest part
	stop        stopBounds
}

// streamPart is the part of a stream that one server sent.
type streamPart struct {
	server   string
	software registry.Software
	after    int // id of the event after which the part began
}

// id identifies the stream across the attempts of its caller.
func (s *streamCall) id() StreamID {
	attempt := s.r.ID
	if s.r.ResumeAfter > 0 && s.r.Resumes != "" {
		attempt = s.r.Resumes
	}
	return StreamID{Service: s.route.Service(attempt), Attempt: attempt}
}

// findOrigin determines the software version that began a stream that the caller resumes.
func (s *streamCall) findOrigin(ctx context.Context) (err error) {
	if s.r.ResumeAfter == 0 {
		return nil
	}
	if !s.route.Resumable {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "streams of route %q cannot be resumed", s.route.Name)
	}
	s.begun = true
	s.software, err = s.f.findOrigin(ctx, s.id())
	return err
}

// waiting returns the context of a wait for a server, like that of call.
func (s *streamCall) waiting(ctx context.Context) context.Context {
	if s.mayHaveRun == 0 {
		return s.stop.waiting
	}
	return ctx
}

func (s *streamCall) run(ctx context.Context) error {
	for {
		if err := s.stop.refusal(); err != nil && s.mayHaveRun == 0 {
			return err
		}
		err := s.attempt(ctx)
		if err == nil {
			s.f.Report(Outcome{
				Request: s.r.ID, Server: s.lastServer.ID, Answered: true, Limit: s.lastServer.Load.Limit(), Content: s.r.content(),
				Work: s.work, Stream: true,
			})
		}
		if err == nil || ctx.Err() != nil || s.rejected {
			return s.finalError(err)
		}
		if s.serverEnded(ctx, err) && tooManyEnded(s.r, len(s.ended)) {
			return errTooManyEnded(err, len(s.ended))
		}
		if reason := verdict.ReasonOf(err); reason == verdict.ReasonSoftwareGone || reason == verdict.ReasonNoBackend {
			return s.finalError(err)
		}
		notRun := verdict.Of(err) == verdict.NotRun
		if !notRun && (!s.route.Resumable || s.mayHaveRun >= max(1, s.route.MaxAttempts)) {
			return err
		}
		s.f.Count("retried", verdict.ReasonOf(err))
		if !sleep(s.waiting(ctx), streamRetryDelay) && ctx.Err() != nil {
			return s.finalError(err)
		}
	}
}

// finalError returns the error of a stream that is given up after a refusal. An earlier attempt
// may have run.
func (s *streamCall) finalError(err error) error {
	if s.mayHaveRun > 0 && verdict.Of(err) == verdict.NotRun {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonOf(err), "an earlier attempt may have run")
	}
	return err
}

// serverEnded reports whether the server of a failed attempt ended, and tells control if so.
func (s *streamCall) serverEnded(ctx context.Context, err error) bool {
	if !connectionLost(err) || s.f.ServerEnded == nil || !s.f.ServerEnded(ctx, s.lastServer) {
		return false
	}
	s.ended = append(s.ended, s.lastServer.ID)
	s.f.Report(Outcome{
		Request: s.r.ID, Server: s.lastServer.ID, Failed: true, Limit: s.lastServer.Load.Limit(),
		Ended: true, EndedServers: len(s.ended), Content: s.r.content(),
	})
	return true
}

// attempt forwards the events of one server. It returns nil at the end of a complete stream.
func (s *streamCall) attempt(ctx context.Context) error {
	plan := s.f.Plans.Load()
	best := s.choose(plan)
	service := s.id().Service
	if !s.begun && s.f.mustWait(plan, service, false, best) {
		release, err := s.f.awaitTurn(s.waiting(ctx), &s.seat, service, plan.class(s.r, s.route), s.r.Organisation, best)
		if err != nil {
			s.rejected = true
			return err
		}
		release() // the attempt below counts instead
		best = s.choose(s.f.Plans.Load())
	}
	if err := s.checkAttempt(best); err != nil {
		return err
	}
	target := best.target
	end, _ := ctx.Deadline()
	if err := AwaitPermit(s.waiting(ctx), s.f.Permits, target, false, time.Until(end)-(best.expected-best.permitWait)); err != nil {
		return err
	}
	s.tried[target.ID]++
	s.lastServer = target
	target.Load.InFlight.Add(1)
	defer s.f.ended(service) // after the stream has left the server
	defer target.Load.InFlight.Add(-1)
	begunAt := s.beginning.sent()
	stream, err := s.f.Sender.OpenStream(ctx, target, s.r, s.lastEventID, time.Until(end))
	if err != nil {
		if verdict.Of(err) == verdict.NotRun {
			s.beginning.refused(begunAt)
			now := time.Now()
			target.Load.recordRefusal(refusalPause(target, now), now)
		} else {
			s.mayHaveRun++
		}
		return err
	}
	defer stream.Close()
	s.mayHaveRun++
	return s.copyEvents(ctx, stream, target)
}

// begin starts the response with the header of the server that sent the first event. One that
// sent none has no part in the response.
func (s *streamCall) begin(stream Stream) {
	if s.headerSent {
		return
	}
	s.stop.keep()
	s.w.Begin(stream.Header())
	s.headerSent = true
}

// checkAttempt returns an error if no server was chosen.
func (s *streamCall) checkAttempt(best choice) error {
	switch {
	case best.target != nil:
		return nil
	case best.wait > 0:
		return verdict.New(verdict.NotRun, verdict.ReasonOverload, "all servers of the service are full, or their software version is not known to all hosts yet")
	case s.begun:
		return verdict.New(verdict.NotRun, verdict.ReasonSoftwareGone, "no server has the software version %q that began the stream", s.software)
	default:
		return verdict.New(verdict.NotRun, verdict.ReasonNoBackend, "the service has no backend server")
	}
}

// choose returns the server for the next attempt. A stream that the caller may resume begins at
// a server with AvoidNewStreams only if there is no other, and waits if all have
// HoldNewStreams.
func (s *streamCall) choose(plan *Plan) choice {
	best, _ := s.chooseWith(plan)
	return best
}

// chooseWith returns the server for the next attempt and what chose it.
func (s *streamCall) chooseWith(plan *Plan) (choice, *chooser) {
	ch := &chooser{now: time.Now(), tried: s.tried, random: s.f.Rand, usable: s.usable, stream: true}
	service := s.id().Service
	if s.begun || !s.route.Resumable {
		return ch.choose(plan, service), ch
	}
	ch.usable = func(t *Target) bool { return !t.AvoidNewStreams }
	if best := ch.choose(plan, service); best.target != nil || best.wait > 0 {
		return best, ch
	}
	ch.usable = func(t *Target) bool { return !t.HoldNewStreams }
	best := ch.choose(plan, service)
	staying := func(t *Target) bool { return !t.Load.Leaving() }
	if best.target == nil && best.wait == 0 && slices.ContainsFunc(plan.Services[service], staying) {
		best.wait = streamRetryDelay
	}
	return best, ch
}

// usable reports whether a server can continue the stream. Any server can begin one.
func (s *streamCall) usable(t *Target) bool {
	return !s.begun || s.software.Relation(t.Software) == registry.SoftwareSame
}

// idleTimeout returns the time without an event after which the current attempt is given
// up. It is unlimited if no other attempt may follow.
func (s *streamCall) idleTimeout() time.Duration {
	if s.route.Resumable && s.mayHaveRun < max(1, s.route.MaxAttempts) {
		return streamIdleTimeout
	}
	return math.MaxInt64
}

// copyEvents forwards events until the stream ends. It closes the stream if no event arrives
// within idleTimeout, unless no other server could continue it, or before the deadline; bytes
// that form no event do not count.
func (s *streamCall) copyEvents(ctx context.Context, stream Stream, from *Target) error {
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	begun := new(atomic.Bool) // s.begun for the goroutine of the timer
	begun.Store(s.begun)
	service := s.id().Service
	idleTimer := time.AfterFunc(s.idleTimeout(), func() {
		if s.f.hasAlternative(service, from, begun.Load()) {
			stream.Close()
		}
	})
	defer idleTimer.Stop()
	firstAt, lastAt, events := time.Time{}, time.Time{}, 0
	defer func() { s.work = from.Load.observe(lastAt.Sub(firstAt), float64(events-1), lastAt) }()
	for first := true; ; first = false {
		e, err := stream.Next()
		if errors.Is(err, ErrStreamEnd) {
			s.begin(stream)
			return nil
		}
		if err != nil {
			return err
		}
		lastAt = time.Now()
		events++
		if first {
			firstAt = lastAt
			s.parts = append(s.parts, streamPart{server: from.ID, software: from.Software, after: s.lastEventID})
			s.recordOrigin(from.Software)
			begun.Store(true)
			s.begin(stream)
		}
		if err := s.w.Event(e); err != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonCanceled, "the caller disconnected")
		}
		s.lastEventID = e.ID
		idleTimer.Reset(s.idleTimeout())
	}
}

// hasAlternative reports whether a server other than from can serve a stream of from, which
// has begun or not.
func (f *Forwarder) hasAlternative(service string, from *Target, begun bool) bool {
	return slices.ContainsFunc(f.Plans.Load().Services[service], func(t *Target) bool {
		return t.ID != from.ID && !t.Load.Leaving() && (!begun || from.Software.Relation(t.Software) == registry.SoftwareSame)
	})
}

// recordOrigin records the software version that began the stream before its first event is
// forwarded. Streams that cannot be resumed have no use for it.
func (s *streamCall) recordOrigin(v registry.Software) {
	if !s.begun {
		s.begun, s.software = true, v
	}
	if s.route.Resumable && s.f.Origins != nil {
		s.f.Origins.Began(s.id(), s.software)
	}
}

// log writes one log line for the stream, with the servers that sent its parts.
func (s *streamCall) log(err error) {
	servers, software, after := make([]string, len(s.parts)), make([]string, len(s.parts)), make([]int, len(s.parts))
	for i, p := range s.parts {
		servers[i], software[i], after[i] = p.server, string(p.software), p.after
	}
	fields := []zap.Field{
		zap.String("request", s.r.ID), zap.String("route", s.route.Name), zap.String("service", s.id().Service),
		zap.String("resumes", s.r.Resumes), zap.Int("resume_after", s.r.ResumeAfter), zap.Int("events", s.lastEventID),
		zap.Strings("servers", servers), zap.Strings("software", software), zap.Ints("parts_after", after),
	}
	if err == nil {
		s.f.Log.Info("stream completed", fields...)
		return
	}
	s.f.Count("refused", verdict.ReasonOf(err))
	s.f.Log.Info("stream failed", append(fields, zap.Int("servers_tried", len(s.tried)),
		zap.Strings("servers_ended", s.ended), zap.String("content", s.r.Fingerprint()),
		zap.Stringer("verdict", verdict.Of(err)), zap.String("reason", string(verdict.ReasonOf(err))), zap.String("error", verdict.Message(err)))...)
}
