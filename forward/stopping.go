package forward

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// stopAnswerMargin is the time before the end of a graceful shutdown by which a request has
// its answer, so that it is written before the connections are closed.
const stopAnswerMargin = 200 * time.Millisecond

// errStopEnded is the cause of the end of a request at the end of a graceful shutdown.
var errStopEnded = fmt.Errorf("the host stops: %w", context.DeadlineExceeded)

// stopState is the state of a graceful shutdown. The zero value means that none has begun.
type stopState struct {
	times atomic.Pointer[stopTimes] // nil before the begin

	once sync.Once // creates the contexts
	// late is canceled at lateFrom and end at the end of the shutdown. Requests watch them, so
	// that a shutdown also bounds those that arrived before it began.
	late, end             context.Context
	cancelLate, cancelEnd context.CancelFunc
}

func (s *stopState) contexts() (late, end context.Context) {
	s.once.Do(func() {
		s.late, s.cancelLate = context.WithCancel(context.Background())
		s.end, s.cancelEnd = context.WithCancel(context.Background())
	})
	return s.late, s.end
}

// stopTimes are the times of a graceful shutdown.
type stopTimes struct {
	lateFrom time.Time // from then on, a request is accepted only if it ends before end
	end      time.Time // by when all requests have their answer
}

// BeginStop begins a graceful shutdown, after which the process ends. Requests that arrive
// before lateFrom are accepted; callers do not know yet that the host stops. Later ones, and
// those that still wait for a server then, are refused unless they end before end at the
// latest. All others have their answer by then.
func (f *Forwarder) BeginStop(lateFrom, end time.Time) {
	s := &f.stopping
	s.contexts()
	times := &stopTimes{lateFrom: lateFrom, end: end.Add(-stopAnswerMargin)}
	s.times.Store(times)
	time.AfterFunc(time.Until(times.lateFrom), s.cancelLate)
	time.AfterFunc(time.Until(times.end), s.cancelEnd)
}

// Stopping reports whether a graceful shutdown has begun.
func (f *Forwarder) Stopping() bool { return f.stopping.times.Load() != nil }

// CheckStop returns an error with the verdict not run if a graceful shutdown could cut off a
// request that arrives now and lasts until end at the latest.
func (f *Forwarder) CheckStop(end time.Time) error {
	s := f.stopping.times.Load()
	if s == nil || time.Now().Before(s.lateFrom) || !end.After(s.end) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonDraining, "this host stops before the deadline of the request")
}

// refuse records that a request was refused before it was sent to a server.
func (f *Forwarder) refuse(r *Request, err error) {
	f.Count("refused", verdict.ReasonOf(err))
	f.Log.Info("request refused", zap.String("request", r.ID), zap.Stringer("verdict", verdict.Of(err)),
		zap.String("reason", string(verdict.ReasonOf(err))), zap.String("error", verdict.Message(err)))
}

// beforeStop returns the earlier of a deadline and the end of a graceful shutdown.
func (f *Forwarder) beforeStop(end time.Time) time.Time {
	if s := f.stopping.times.Load(); s != nil && s.end.Before(end) {
		return s.end
	}
	return end
}

// stopBounds bounds a request by a graceful shutdown that has begun or begins while it lasts.
type stopBounds struct {
	// ctx is that of the whole request. It is canceled when all requests must have their answer.
	ctx context.Context
	// waiting is that of waits before the request is first sent to a server. It is also canceled
	// once a request that the shutdown could cut off must not be sent any more, with the
	// refusal as its cause.
	waiting context.Context
	// keep prevents that the shutdown cancels ctx. It is called once the response has begun.
	keep func() bool
}

// boundByStop returns the bounds of a request that lasts until end at the latest. The caller
// calls release when the request has ended.
func (f *Forwarder) boundByStop(ctx context.Context, r *Request, end time.Time) (b stopBounds, release func()) {
	late, ended := f.stopping.contexts()
	ctx, cancel := context.WithCancelCause(ctx)
	waiting, refuse := context.WithCancelCause(ctx)
	keep := context.AfterFunc(ended, func() { cancel(errStopEnded) })
	unwatchLate := context.AfterFunc(late, func() {
		if err := f.CheckStop(end); err != nil && !r.Background {
			refuse(err)
		}
	})
	return stopBounds{ctx: ctx, waiting: waiting, keep: keep}, func() {
		keep()
		unwatchLate()
		refuse(nil)
		cancel(nil)
	}
}

// refusal returns the error of a request that a shutdown refuses before it is sent to a server,
// nil if it may be sent.
func (b *stopBounds) refusal() error {
	if cause := context.Cause(b.waiting); cause != nil && verdict.ReasonOf(cause) == verdict.ReasonDraining {
		return cause
	}
	return nil
}
