package executor

import (
	"context"
	"net/http"
	"strconv"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Scores sends the scoring requests of items, each in its own goroutine.
type Scores struct {
	ctx       context.Context // ends all requests
	forwarder *forward.Forwarder
	deliver   func(context.Context, event.Event) error
	slots     chan struct{} // one element for each request that is under way
	active    activeRuns
}

// NewScores returns an executor that sends at most limit scoring requests at the same time;
// further ones wait. Their outcomes are passed to deliver.
func NewScores(ctx context.Context, f *forward.Forwarder, deliver func(context.Context, event.Event) error, limit int) *Scores {
	return &Scores{ctx: ctx, forwarder: f, deliver: deliver, slots: make(chan struct{}, limit)}
}

// Start executes command.ScoreItem.
func (s *Scores) Start(c command.ScoreItem) {
	ctx, stop := context.WithCancelCause(s.ctx)
	s.active.add(c.Key, c.Run, stop)
	go func() {
		ended := event.ScoreEnded{Key: c.Key, Run: c.Run}
		select {
		case s.slots <- struct{}{}:
			s.score(ctx, c, &ended)
			<-s.slots
		case <-ctx.Done():
			ended.Failure = &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonCanceled, Message: context.Cause(ctx).Error()}
		}
		stop(nil)
		s.active.remove(c.Key, c.Run)
		_ = s.deliver(s.ctx, ended) // fails only when the process ends
	}()
}

// Stop executes command.StopScore.
func (s *Scores) Stop(c command.StopScore) { s.active.stop(c.Key, c.Run) }

// score sends a scoring request. The score is the stamp of the response.
func (s *Scores) score(ctx context.Context, c command.ScoreItem, ended *event.ScoreEnded) {
	scope := s.forwarder.MemoryScope()
	defer scope.Close()
	answer, err := s.forwarder.Forward(ctx, &forward.Request{
		ID: c.Scorer.ID, Method: http.MethodPost, Host: c.Scorer.Host, Path: c.Scorer.Path,
		Target: c.Scorer.Path, Body: c.Scorer.Body, Timeout: c.Timeout, Background: true, Memory: scope,
	})
	if err != nil {
		ended.Failure = event.FailureOf(err)
		return
	}
	ended.Failures = answer.Failures
	if answer.Status/100 != 2 || answer.Stamp == "" {
		ended.Failure = &event.Failure{
			Verdict: verdict.Ran, Reason: verdict.ReasonBackendFailed, Message: "status " + strconv.Itoa(answer.Status),
		}
		return
	}
	ended.Score = answer.Stamp
}
