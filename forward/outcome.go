package forward

import (
	"time"

	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// reportOutcome reports the outcome of an attempt to control.
func (c *call) reportOutcome(res result) {
	failed := res.err != nil || res.answer.serverFailed()
	reason, now := reasonOf(res), time.Now()
	var work capacity.Observation
	switch {
	case !failed: // a server may fail faster than it answers
		work = res.target.Load.observe(res.took, 1, now)
		res.target.Load.recordResponse(res.took, now)
	case notAsked(res.err):
	case res.err != nil && verdict.Of(res.err) == verdict.NotRun: // full or not reachable
		res.target.Load.recordRefusal(refusalPause(res.target, now), now)
	}
	c.f.Report(Outcome{
		Request: c.r.ID, Server: res.target.ID, Answered: res.err == nil, Took: res.took,
		Failed:  failed && !blameless(reason),
		Refused: reason == verdict.ReasonBackendRefused, Leaving: reason == verdict.ReasonBackendLeaving,
		Limit: res.target.Load.Limit(), Ended: res.ended, EndedServers: len(c.ended), Content: c.r.content(), Work: work,
	})
}

// reportAbandoned reports how long an attempt lasted whose answer is not awaited any more, because
// another attempt was answered or the deadline passed, if the server would have answered by then
// at its estimated speed. Otherwise nothing would be learned of a server that became slow.
func (f *Forwarder) reportAbandoned(r *Request, res result) {
	load, now := res.target.Load, time.Now()
	expected := defaultResponseTime
	if e := load.responses.Load(); e != nil && e.Known() {
		expected = e.Time(float64(load.requestsWith(now)))
	}
	if res.err == nil || verdict.Of(res.err) == verdict.NotRun || res.took <= expected {
		return
	}
	work := load.observe(res.took, 1, now)
	load.recordSurprise(res.took, now)
	f.Report(Outcome{Request: r.ID, Server: res.target.ID, Limit: load.Limit(), Work: work})
}

// errUnconfirmedRefusal returns the error that replaces an answer whose status a caller would take
// for permission to send the request again, although it may have run.
func errUnconfirmedRefusal(res result) error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonUnconfirmedRefusal, "server %s answered with status %d without confirming that the request has not run",
		res.target.ID, res.answer.Status)
}

// reasonOf returns why an attempt failed.
func reasonOf(res result) verdict.Reason {
	switch {
	case res.err != nil:
		return verdict.ReasonOf(res.err)
	case res.answer.UnconfirmedRefusal:
		return verdict.ReasonUnconfirmedRefusal
	default:
		return verdict.ReasonBackendFailed
	}
}

// blameless reports whether the failure of an attempt for a reason says nothing about the
// health of the server.
func blameless(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonBackendRefused, verdict.ReasonCanceled, verdict.ReasonServerLimit, verdict.ReasonMemory, verdict.ReasonBackendLeaving:
		return true
	default:
		return false
	}
}

// log writes one log line for the request, with its route, attempts and outcome.
func (c *call) log(answer *Answer, err error) {
	fields := []zap.Field{
		zap.String("request", c.r.ID), zap.String("route", c.route.Name), zap.String("service", c.service),
		zap.Int("servers_tried", len(c.tried)), zap.Int("refusals", c.refusals), zap.String("last_server", c.lastServer),
		zap.Strings("servers_ended", c.ended),
		zap.Duration("took", time.Since(c.startedAt)), zap.Uint64("desired_version", c.f.Plans.Load().Desired.Version),
	}
	if err != nil {
		c.f.Count("refused", verdict.ReasonOf(err))
		c.f.Log.Info("request failed", append(fields, zap.String("content", c.r.Fingerprint()), zap.Stringer("verdict", verdict.Of(err)),
			zap.String("reason", string(verdict.ReasonOf(err))), zap.String("error", verdict.Message(err)))...)
		return
	}
	c.f.Log.Info("request answered", append(fields, zap.Int("status", answer.Status))...)
}
