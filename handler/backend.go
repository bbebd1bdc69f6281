package handler

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	backendReadTimeout = time.Second // of a state report or a page of cache events
	scoreTimeout       = 30 * time.Second

	// Calls of each kind that run at once. With 64 reads at 100 ms between
	// regions 5,100 servers could be read every 8 s only, and of 5,100 orders
	// at once 3,800 would outlive their deadline of 2 s before they are sent.
	maxConcurrentReads  = 512
	maxConcurrentOrders = 512
	maxConcurrentScores = 16
)

// BackendDeps is what the executors of backend commands need. Objects may be nil
// in a process that never scores. Clock returns the monotonic offset from
// process start.
type BackendDeps struct {
	Client  *engine.Client
	Objects tablestore.Objects
	Clock   func() time.Duration
}

// RegisterBackends adds the executors of commands to backend servers.
func RegisterBackends(pool *control.Pool, deps BackendDeps) {
	control.Handle(pool, maxConcurrentReads, deps.readState)
	control.Handle(pool, maxConcurrentReads, deps.readCacheEvents)
	control.Handle(pool, maxConcurrentOrders, deps.orderWeights)
	if deps.Objects != nil {
		control.Handle(pool, maxConcurrentScores, deps.scoreGroup)
	}
}

func (d BackendDeps) readState(ctx context.Context, c command.ReadState) event.Event {
	ctx, cancel := context.WithTimeout(ctx, backendReadTimeout)
	defer cancel()
	state, err := d.Client.State(ctx, c.Address)
	if err == nil && state.Name != c.Backend {
		// The address may have been given to another server since the list was read.
		err = verdict.New(verdict.Ran, verdict.ReasonForeignAnswer, "report of %q instead of %q", state.Name, c.Backend)
	}
	if err != nil {
		state = engine.State{}
	}
	return event.StateReported{Backend: c.Backend, State: state, Failure: event.FailureOf(err)}
}

func (d BackendDeps) readCacheEvents(ctx context.Context, c command.ReadCacheEvents) event.Event {
	ctx, cancel := context.WithTimeout(ctx, backendReadTimeout)
	defer cancel()
	page, err := d.Client.CacheEvents(ctx, c.Address, c.After)
	return event.CacheReported{Backend: c.Backend, Events: page, Failure: event.FailureOf(err)}
}

// orderWeights sends an order unless its deadline has passed, because the
// holder that issued it may have lost its lease by then.
func (d BackendDeps) orderWeights(ctx context.Context, c command.OrderWeights) event.Event {
	remaining := c.Deadline - d.Clock()
	answer := event.OrderAnswered{Backend: c.Backend, Model: c.Wanted.Model}
	if remaining <= 0 {
		answer.Failure = event.FailureOf(verdict.New(verdict.NotRun, verdict.ReasonDeadline, "order expired before it was sent"))
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	wanted := c.Wanted
	wanted.DeadlineMS = max(1, remaining.Milliseconds()) // 0 would mean no deadline
	answer.Failure = event.FailureOf(d.Client.SendOrder(ctx, c.Address, wanted))
	return answer
}

func (d BackendDeps) scoreGroup(ctx context.Context, c command.ScoreGroup) event.Event {
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	scores, err := d.score(ctx, c)
	return event.GroupScored{
		Trainer: c.Trainer, Group: c.Spec.ID, Attempt: c.Attempt,
		Scores: scores, Failure: event.FailureOf(err),
	}
}

// score returns the scores by sample index.
func (d BackendDeps) score(ctx context.Context, c command.ScoreGroup) ([]float64, error) {
	request := engine.ScoreRequest{Group: c.Spec.ID, Prompt: c.Spec.Prompt}
	for _, s := range c.Samples {
		if s.Index < 0 || s.Index >= len(c.Samples) {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "sample index %d of %d", s.Index, len(c.Samples))
		}
		text, found, err := d.Objects.Get(ctx, s.ObjectKey)
		if err != nil {
			return nil, err
		}
		if !found {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "text of sample %s/%d is missing", s.Group, s.Index)
		}
		request.Samples = append(request.Samples, engine.ScoreSample{Index: s.Index, Text: string(text)})
	}
	results, err := d.Client.Score(ctx, c.Address, request)
	if err != nil {
		return nil, err
	}
	scores := make([]float64, len(results))
	for i, s := range request.Samples {
		scores[s.Index] = results[i]
	}
	return scores, nil
}
