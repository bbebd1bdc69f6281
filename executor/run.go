package executor

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/memory"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// intervalWindow is the number of newest intervals between events whose median is
	// reported. The median leaves out single pauses, such as those for a load of weights.
	intervalWindow = 7
	// minIntervals is the minimum number of intervals from which the median is computed.
	minIntervals = 3
	// slowReportInterval is the minimum time between two progress reports of a slow run.
	slowReportInterval = 250 * time.Millisecond
	// maxOutputBytes bounds the output of a run, which is held in memory and stored in one
	// commit. Callers read at most 1 MB at a time.
	maxOutputBytes = 1 << 20
	// progressInterval is the minimum time between two progress reports of a run. Reported
	// events survive a failure of the host. Most items end before the first report.
	progressInterval = time.Second
)

// Runs runs items on backend servers, each in its own goroutine.
type Runs struct {
	Ctx     context.Context // ends all runs
	Sender  forward.Sender
	Permits forward.Permits
	Memory  *memory.Budget // bounds the bytes that all runs and requests hold together
	Deliver func(context.Context, event.Event) error
	// SetUrgency sets the header that carries the priority of a run.
	SetUrgency func(h http.Header, urgency int)

	active activeRuns
}

// activeRuns holds the runs or scoring requests that can be stopped. The zero value is empty.
type activeRuns struct {
	mu    sync.Mutex
	byKey map[string]activeRun // by item key
}

type activeRun struct {
	number int
	stop   context.CancelCauseFunc
}

func (a *activeRuns) add(key string, number int, stop context.CancelCauseFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byKey == nil {
		a.byKey = make(map[string]activeRun)
	}
	a.byKey[key] = activeRun{number, stop}
}

func (a *activeRuns) remove(key string, number int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byKey[key].number == number {
		delete(a.byKey, key)
	}
}

func (a *activeRuns) stop(key string, number int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.byKey[key]; ok && r.number == number {
		r.stop(errStopped)
	}
}

// errStopped is the cause of the end of a run or scoring request that was stopped by a command.
var errStopped = errors.New("the run was stopped")

// Start starts a run of an item.
func (r *Runs) Start(c command.StartRun) {
	timeout, cancel := context.WithTimeout(r.Ctx, c.Deadline)
	ctx, stop := context.WithCancelCause(timeout)
	r.active.add(c.Key, c.Run, stop)
	go func() {
		ended := r.runItem(ctx, c)
		cancel()
		r.active.remove(c.Key, c.Run)
		_ = r.Deliver(r.Ctx, ended) // fails only when the process ends
	}()
}

// Stop cancels a run. Its outcome is reported like that of any other run.
func (r *Runs) Stop(c command.StopRun) { r.active.stop(c.Key, c.Run) }

// run is the state of one run of an item.
type run struct {
	cmd        command.StartRun
	deliver    func(event.Event) error // fails only when the run ends
	outcome    event.RunEnded          // holds the events that have not been reported yet
	eventCount int                     // number of events received
	bytes      int                     // size of these events
	account    *memory.Account         // holds these events
	intervals  []time.Duration         // newest times between two events, at most intervalWindow
	lastAt     time.Time               // arrival of the last event
	reportedAt time.Time               // start of the run or last progress report
	requests   int                     // number of requests at the server when it began to send, this one included
}

// runItem sends an item to its backend server and receives the response.
func (r *Runs) runItem(ctx context.Context, c command.StartRun) event.RunEnded {
	u := &run{
		cmd: c, outcome: event.RunEnded{Key: c.Key, Run: c.Run, Server: c.Target.ID, Model: c.Model}, reportedAt: time.Now(),
		deliver: func(e event.Event) error { return r.Deliver(ctx, e) },
	}
	scope := r.Memory.Scope()
	defer scope.Close()
	u.account = scope.Open(&c.Target.Load.Held)
	stopped := func() bool { return errors.Is(context.Cause(ctx), errStopped) }
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The watchdog ends the run when no event arrives in time. Its goroutine shares only
	// this flag with the run.
	var stalled atomic.Bool
	watchdog := time.AfterFunc(c.FirstEventTimeout, func() { stalled.Store(true); cancel() })
	defer watchdog.Stop()

	if err := forward.AwaitPermit(ctx, r.Permits, c.Target, true, 0); err != nil {
		u.outcome.Failure = event.FailureOf(err)
		return u.outcome
	}
	watchdog.Reset(c.FirstEventTimeout)
	end, _ := ctx.Deadline()
	c.Target.Load.InFlight.Add(1)
	defer c.Target.Load.InFlight.Add(-1)
	stream, err := r.open(ctx, c.Target, r.newRequest(c, scope), c.AfterEvent, time.Until(end))
	if err == nil {
		defer stream.Close()
		u.outcome.Version = stream.Version()
		u.requests = c.Target.Load.Requests(time.Now())
		_ = u.deliver(event.RunStarted{Server: c.Target.ID, Model: c.Model, Version: u.outcome.Version, Limit: c.Target.Load.Limit()}) // an error may be ignored, because the outcome also holds the version
		err = u.receive(stream, watchdog)
	}
	switch {
	case err == nil:
	case stopped(): // the broken stream says nothing about the server
		err = verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonCanceled, "the run was stopped")
	case stalled.Load():
		err = verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonStalled, "server %s sent no event in time", c.Target.ID)
	}
	u.outcome.Failure = event.FailureOf(err)
	u.outcome.EventInterval, u.outcome.Requests = u.medianInterval(), u.meanRequests()
	return u.outcome
}

// open opens a stream. A panic while the response is decoded becomes an error.
func (r *Runs) open(ctx context.Context, to *forward.Target, req *forward.Request, after int, remaining time.Duration) (stream forward.Stream, err error) {
	defer verdict.Recover(&err)
	return r.Sender.OpenStream(ctx, to, req, after, remaining)
}

// newRequest returns the request of an item, with the priority of the run in its header.
func (r *Runs) newRequest(c command.StartRun, scope *memory.Scope) *forward.Request {
	h := make(http.Header, len(c.Spec.Headers)+2)
	for name, value := range c.Spec.Headers {
		h.Set(name, value)
	}
	r.SetUrgency(h, c.Priority)
	return &forward.Request{
		ID: c.Spec.ID, Method: http.MethodPost, Host: c.Host, Path: c.Spec.Path, Target: c.Spec.Path,
		Header: h, Body: c.Spec.Body, Memory: scope, Organisation: c.Organisation, Identified: c.Identified,
	}
}

// receive handles events until the stream ends or fails.
func (u *run) receive(s forward.Stream, watchdog *time.Timer) (err error) {
	defer verdict.Recover(&err)
	for {
		e, err := s.Next()
		if errors.Is(err, forward.ErrStreamEnd) {
			return nil
		}
		if err != nil {
			return err
		}
		watchdog.Reset(u.cmd.NextEventTimeout)
		if err := u.handleEvent(e); err != nil {
			return err
		}
	}
}

// recordArrival records the arrival time of an event.
func (u *run) recordArrival(at time.Time) {
	if u.eventCount > 0 {
		if len(u.intervals) == intervalWindow {
			u.intervals = slices.Delete(u.intervals, 0, 1)
		}
		u.intervals = append(u.intervals, at.Sub(u.lastAt))
	}
	u.lastAt = at
	u.eventCount++
}

// handleEvent records an event. It returns an error if the event is not usable.
func (u *run) handleEvent(e forward.Event) error {
	if e.Version != 0 {
		u.outcome.Version = e.Version
	}
	if e.Version == 0 {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUnlabelled, "event %d has no version", e.ID)
	}
	if e.Version < u.cmd.MinVersion {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTooOld, "event %d was generated by version %d, which is below the minimum version", e.ID, e.Version)
	}
	u.recordArrival(time.Now())
	if u.bytes += len(e.Data); u.bytes > maxOutputBytes {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonOutputTooLarge, "output exceeds %d bytes", maxOutputBytes)
	}
	if err := u.account.Resize(int64(u.bytes)); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonOf(err), "output of %d bytes", u.bytes)
	}
	u.outcome.Events = append(u.outcome.Events, e.Data)
	u.outcome.Versions = lot.AddVersion(u.outcome.Versions, e.Version)
	u.reportProgress()
	return nil
}

// reportProgress delivers the events received since the last report to control, at most once
// every progressInterval, or every slowReportInterval while the run is slow. If the delivery
// fails, the run has ended and its outcome keeps the events.
func (u *run) reportProgress() {
	interval := progressInterval
	if u.cmd.SlowInterval > 0 && u.medianInterval() > u.cmd.SlowInterval {
		interval = slowReportInterval
	}
	if u.lastAt.Sub(u.reportedAt) < interval {
		return
	}
	u.reportedAt = u.lastAt
	e := event.RunProgressed{
		Key: u.cmd.Key, Run: u.cmd.Run, Server: u.cmd.Target.ID, Events: u.outcome.Events, Versions: u.outcome.Versions,
		EventInterval: u.medianInterval(), Requests: u.meanRequests(),
	}
	if u.deliver(e) == nil {
		u.outcome.Events, u.outcome.Versions = nil, nil
	}
}

// meanRequests returns the mean of the numbers of requests at the server when it began to send and
// now, rounded up.
func (u *run) meanRequests() int {
	return (u.requests + u.cmd.Target.Load.Requests(time.Now()) + 1) / 2
}

// medianInterval returns the median of the newest intervals between events, or 0 if there
// are fewer than minIntervals.
func (u *run) medianInterval() time.Duration {
	if len(u.intervals) < minIntervals {
		return 0
	}
	sorted := slices.Clone(u.intervals)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
