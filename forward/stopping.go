package forward

import (
	"time"

	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// stopAnswerMargin is the time before the end of a graceful shutdown by which a request has
// its answer, so that it is written before the connections are closed.
const stopAnswerMargin = 200 * time.Millisecond

// stopTimes are the times of a graceful shutdown.
type stopTimes struct {
	lateFrom time.Time // from then on, a request is accepted only if it ends before end
	end      time.Time // by when all requests have their answer
}

// BeginStop begins a graceful shutdown, after which the process ends. Requests that arrive
// before lateFrom are accepted; callers do not know yet that the host stops. Later ones are
// refused unless they end before end at the latest.
func (f *Forwarder) BeginStop(lateFrom, end time.Time) {
	f.stopping.Store(&stopTimes{lateFrom: lateFrom, end: end.Add(-stopAnswerMargin)})
}

// Stopping reports whether a graceful shutdown has begun.
func (f *Forwarder) Stopping() bool { return f.stopping.Load() != nil }

// CheckStop returns an error with the verdict not run if a graceful shutdown could cut off a
// request that arrives now and lasts until end at the latest.
func (f *Forwarder) CheckStop(end time.Time) error {
	s := f.stopping.Load()
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
	if s := f.stopping.Load(); s != nil && s.end.Before(end) {
		return s.end
	}
	return end
}
