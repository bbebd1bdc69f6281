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
	// backendReadTimeout bounds the read of a state report or of a page of
	// cache events.
	backendReadTimeout = time.Second
	// scoreTimeout bounds the scoring of a group, including the reads of its
	// texts from the object store.
	scoreTimeout = 30 * time.Second

	// Maximum numbers of concurrent calls of each kind. With only 64 reads or
	// orders at a time and a latency of 100 ms between regions, reading 5,100
	// servers would take 8 s, and of 5,100 orders issued at once 3,800 would
	// exceed their deadline of 2 s before they are sent.
	maxConcurrentReads  = 512
	maxConcurrentOrders = 512
	maxConcurrentScores = 16
)

// BackendDeps holds the dependencies of the executors of backend commands.
// Objects may be nil in a process that does not score samples. Clock returns the
// monotonic time since process start.
type BackendDeps struct {
	Client  *engine.Client
	Objects tablestore.Objects
	Clock   func() time.Duration
}

// RegisterBackends adds the executors of the commands that call backend servers.
func RegisterBackends(dispatcher *control.Dispatcher, deps BackendDeps) {
	control.Handle(dispatcher, maxConcurrentReads, deps.readState)
	control.Handle(dispatcher, maxConcurrentReads, deps.readCacheEvents)
	control.Handle(dispatcher, maxConcurrentOrders, deps.orderWeights)
	if deps.Objects != nil {
		control.Handle(dispatcher, maxConcurrentScores, deps.scoreGroup)
	}
}

func (d BackendDeps) readState(ctx context.Context, c command.ReadState) event.Event {
	ctx, cancel := context.WithTimeout(ctx, backendReadTimeout)
	defer cancel()
	state, err := d.Client.State(ctx, c.Address)
	if err == nil && state.Name != c.Backend {
		// The address may have been reassigned to another server since the host
		// list was read.
		err = verdict.New(verdict.Ran, verdict.ReasonForeignAnswer, "state report is from server %q, expected %q", state.Name, c.Backend)
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

// orderWeights sends an order to a backend server. An order whose deadline has
// passed is not sent, because the holder that issued it may have lost its lease
// by then.
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
	wanted.DeadlineMS = max(1, remaining.Milliseconds()) // 0 means no deadline
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

// score reads the texts of the samples, has them scored and returns the scores in
// order of the sample index.
func (d BackendDeps) score(ctx context.Context, c command.ScoreGroup) ([]float64, error) {
	request := engine.ScoreRequest{Group: c.Spec.ID, Prompt: c.Spec.Prompt}
	for _, s := range c.Samples {
		if s.Index < 0 || s.Index >= len(c.Samples) {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "sample index %d is out of range for %d samples", s.Index, len(c.Samples))
		}
		text, found, err := d.Objects.Get(ctx, s.ObjectKey)
		if err != nil {
			return nil, err
		}
		if !found {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "text of sample %s/%d is missing from the object store", s.Group, s.Index)
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
