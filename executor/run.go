package executor

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// minMeasured is the number of events after which the pace of a run is judged.
	minMeasured = 4
	// reportEvery is the time after which a run that goes on reports what it has
	// received. Most items take less; what is reported survives the host.
	reportEvery = time.Second
)

// Runs runs items at backend servers, one goroutine each.
type Runs struct {
	Ctx     context.Context // ends all runs
	Sender  forward.Sender
	Deliver func(context.Context, event.Event) error
	// SetUrgency adds the priority of a run to the headers of its request.
	SetUrgency func(h http.Header, urgency int)

	mu     sync.Mutex
	active map[string]activeRun // by item key
}

type activeRun struct {
	run  int
	stop context.CancelFunc
}

// Start begins a run.
func (r *Runs) Start(c command.StartRun) {
	ctx, cancel := context.WithTimeout(r.Ctx, c.Deadline)
	r.mu.Lock()
	if r.active == nil {
		r.active = make(map[string]activeRun)
	}
	r.active[c.Key] = activeRun{c.Run, cancel}
	r.mu.Unlock()
	go func() {
		ended := r.run(ctx, c)
		cancel()
		r.mu.Lock()
		if r.active[c.Key].run == c.Run {
			delete(r.active, c.Key)
		}
		r.mu.Unlock()
		_ = r.Deliver(r.Ctx, ended) // fails only when the process ends
	}()
}

// Stop ends a run; its outcome is reported as for any end.
func (r *Runs) Stop(c command.StopRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a, ok := r.active[c.Key]; ok && a.run == c.Run {
		a.stop()
	}
}

// run is one run of an item with what it has received.
type run struct {
	c        command.StartRun
	deliver  func(event.Event) error // fails only when the run ends
	ended    event.RunEnded
	received int       // events
	first    time.Time // arrival of the first event
	latest   time.Time
	reported time.Time
}

func (r *Runs) run(ctx context.Context, c command.StartRun) event.RunEnded {
	u := &run{
		c: c, ended: event.RunEnded{Key: c.Key, Run: c.Run, Server: c.Target.ID, Model: c.Model}, reported: time.Now(),
		deliver: func(e event.Event) error { return r.Deliver(ctx, e) },
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The watch ends the run when nothing arrives. It is the only other goroutine
	// that touches the run, through this flag.
	var stalled atomic.Bool
	watch := time.AfterFunc(c.FirstEventTimeout, func() { stalled.Store(true); cancel() })
	defer watch.Stop()

	end, _ := ctx.Deadline()
	c.Target.Load.InFlight.Add(1)
	defer c.Target.Load.InFlight.Add(-1)
	stream, err := r.Sender.OpenStream(ctx, c.Target, r.request(c), c.AfterEvent, time.Until(end))
	if err == nil {
		defer stream.Close()
		u.ended.Version = stream.Version()
		_ = u.deliver(event.RunStarted{Server: c.Target.ID, Model: c.Model, Version: u.ended.Version}) // the outcome says it too
		err = u.receive(stream, watch)
	}
	if err != nil && stalled.Load() {
		err = verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonStalled, "server %s sent nothing", c.Target.ID)
	}
	u.ended.Failure = event.FailureOf(err)
	u.measure()
	return u.ended
}

func (r *Runs) request(c command.StartRun) *forward.Request {
	h := make(http.Header, len(c.Spec.Headers)+2)
	for name, value := range c.Spec.Headers {
		h.Set(name, value)
	}
	r.SetUrgency(h, c.Urgency)
	return &forward.Request{
		ID: c.Spec.ID, Method: http.MethodPost, Host: c.Host, Path: c.Spec.Path, Target: c.Spec.Path,
		Header: h, Body: c.Spec.Body,
	}
}

// receive takes events until the stream ends, breaks or is too slow.
func (u *run) receive(s forward.Stream, watch *time.Timer) error {
	for {
		e, err := s.Next()
		if errors.Is(err, forward.ErrStreamEnd) {
			return nil
		}
		if err != nil {
			return err
		}
		watch.Reset(u.c.NextEventTimeout)
		if err := u.take(e); err != nil {
			return err
		}
	}
}

func (u *run) take(e forward.Event) error {
	if e.Version != 0 {
		u.ended.Version = e.Version
	}
	if e.Version == 0 {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUnlabelled, "event %d has no version", e.ID)
	}
	if e.Version < u.c.MinVersion {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTooOld, "event %d was made by version %d", e.ID, e.Version)
	}
	u.latest = time.Now()
	if u.received == 0 {
		u.first = u.latest
	}
	u.received++
	u.ended.Events = append(u.ended.Events, e.Data)
	u.ended.Versions = lot.AddVersion(u.ended.Versions, e.Version)
	if gap := u.gap(); u.c.MaxEventInterval > 0 && gap > u.c.MaxEventInterval {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonSlow, "server %s sends an event each %s", u.c.Target.ID, gap)
	}
	u.report()
	return nil
}

// report hands what was received since the last report to control. If that fails, the run
// has ended, and its outcome holds the events.
func (u *run) report() {
	if u.latest.Sub(u.reported) < reportEvery {
		return
	}
	u.reported = u.latest
	e := event.RunProgressed{
		Key: u.c.Key, Run: u.c.Run, Server: u.c.Target.ID, Events: u.ended.Events, Versions: u.ended.Versions, EventInterval: u.gap(),
	}
	if u.deliver(e) == nil {
		u.ended.Events, u.ended.Versions = nil, nil
	}
}

// gap returns the mean time between events, 0 before enough of them.
func (u *run) gap() time.Duration {
	if u.received < minMeasured {
		return 0
	}
	return u.latest.Sub(u.first) / time.Duration(u.received-1)
}

func (u *run) measure() { u.ended.EventInterval = u.gap() }

// Score sends the scoring request of an item.
func Score(ctx context.Context, f *forward.Forwarder, c command.ScoreItem) event.Event {
	ended := event.ScoreEnded{Key: c.Key}
	answer, err := f.Forward(ctx, &forward.Request{
		ID: c.Scorer.ID, Method: http.MethodPost, Host: c.Scorer.Host, Path: c.Scorer.Path,
		Target: c.Scorer.Path, Body: c.Scorer.Body,
	})
	if err != nil {
		ended.Failure = event.FailureOf(err)
		return ended
	}
	ended.Failures = answer.Failures
	if answer.Status/100 != 2 || answer.Stamp == "" {
		ended.Failure = &event.Failure{
			Verdict: verdict.Ran, Reason: verdict.ReasonBackendFailed, Message: "status " + strconv.Itoa(answer.Status),
		}
		return ended
	}
	ended.Score = answer.Stamp
	return ended
}
