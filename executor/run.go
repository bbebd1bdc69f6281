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
	// minIntervalEvents is the number of events after which the pace of a run is judged.
	minIntervalEvents = 4
	// progressInterval is the time after which a run that goes on reports what it has
	// received. Most items take less; what is reported survives the host.
	progressInterval = time.Second
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
	run    int
	cancel context.CancelFunc
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
		ended := r.runItem(ctx, c)
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
		a.cancel()
	}
}

// run is one run of an item with what it has received.
type run struct {
	cmd        command.StartRun
	deliver    func(event.Event) error // fails only when the run ends
	outcome    event.RunEnded
	eventCount int       // events
	firstAt    time.Time // arrival of the first event
	lastAt     time.Time
	reportedAt time.Time
}

func (r *Runs) runItem(ctx context.Context, c command.StartRun) event.RunEnded {
	u := &run{
		cmd: c, outcome: event.RunEnded{Key: c.Key, Run: c.Run, Server: c.Target.ID, Model: c.Model}, reportedAt: time.Now(),
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
	stream, err := r.Sender.OpenStream(ctx, c.Target, r.newRequest(c), c.AfterEvent, time.Until(end))
	if err == nil {
		defer stream.Close()
		u.outcome.Version = stream.Version()
		_ = u.deliver(event.RunStarted{Server: c.Target.ID, Model: c.Model, Version: u.outcome.Version}) // the outcome says it too
		err = u.receive(stream, watch)
	}
	if err != nil && stalled.Load() {
		err = verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonStalled, "server %s sent nothing", c.Target.ID)
	}
	u.outcome.Failure = event.FailureOf(err)
	u.setEventInterval()
	return u.outcome
}

func (r *Runs) newRequest(c command.StartRun) *forward.Request {
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
		watch.Reset(u.cmd.NextEventTimeout)
		if err := u.handleEvent(e); err != nil {
			return err
		}
	}
}

func (u *run) handleEvent(e forward.Event) error {
	if e.Version != 0 {
		u.outcome.Version = e.Version
	}
	if e.Version == 0 {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUnlabelled, "event %d has no version", e.ID)
	}
	if e.Version < u.cmd.MinVersion {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTooOld, "event %d was made by version %d", e.ID, e.Version)
	}
	u.lastAt = time.Now()
	if u.eventCount == 0 {
		u.firstAt = u.lastAt
	}
	u.eventCount++
	u.outcome.Events = append(u.outcome.Events, e.Data)
	u.outcome.Versions = lot.AddVersion(u.outcome.Versions, e.Version)
	if gap := u.meanInterval(); u.cmd.MaxEventInterval > 0 && gap > u.cmd.MaxEventInterval {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonSlow, "server %s sends an event each %s", u.cmd.Target.ID, gap)
	}
	u.reportProgress()
	return nil
}

// reportProgress hands what was received since the last report to control. If that fails, the run
// has ended, and its outcome holds the events.
func (u *run) reportProgress() {
	if u.lastAt.Sub(u.reportedAt) < progressInterval {
		return
	}
	u.reportedAt = u.lastAt
	e := event.RunProgressed{
		Key: u.cmd.Key, Run: u.cmd.Run, Server: u.cmd.Target.ID, Events: u.outcome.Events, Versions: u.outcome.Versions, EventInterval: u.meanInterval(),
	}
	if u.deliver(e) == nil {
		u.outcome.Events, u.outcome.Versions = nil, nil
	}
}

// meanInterval returns the mean time between events, 0 before enough of them.
func (u *run) meanInterval() time.Duration {
	if u.eventCount < minIntervalEvents {
		return 0
	}
	return u.lastAt.Sub(u.firstAt) / time.Duration(u.eventCount-1)
}

func (u *run) setEventInterval() { u.outcome.EventInterval = u.meanInterval() }

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
