package executor_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// slowStream sends an event every 200 ms.
type slowStream struct{ next, last int }

func (s *slowStream) Header() http.Header         { return nil }
func (s *slowStream) Version() registry.Version   { return 1 }
func (s *slowStream) Load() (registry.Load, bool) { return registry.Load{}, false }
func (s *slowStream) Close()                      {}
func (s *slowStream) Next() (forward.Event, error) {
	if s.next == s.last {
		return forward.Event{}, forward.ErrStreamEnd
	}
	time.Sleep(200 * time.Millisecond)
	s.next++
	return forward.Event{ID: s.next, Data: strconv.Itoa(s.next), Version: registry.Version(1 + s.next/8)}, nil
}

type slowServer struct{ forward.Sender }

func (slowServer) OpenStream(context.Context, *forward.Target, *forward.Request, int, time.Duration) (forward.Stream, error) {
	return &slowStream{last: 10}, nil
}

// TestLongRunReportsEachEventOnce guards against events of a long run that are reported
// twice, in the wrong order or not at all, and against versions that are lost when the events
// of a run are reported in several parts.
func TestLongRunReportsEachEventOnce(t *testing.T) {
	events := make(chan event.Event, 100)
	runs := &executor.Runs{
		Ctx: context.Background(), Sender: slowServer{}, SetUrgency: func(http.Header, int) {},
		Deliver: func(_ context.Context, e event.Event) error { events <- e; return nil },
	}
	runs.Start(command.StartRun{
		Key: "k", Run: 1, Spec: &lot.Item{ID: "i"}, Target: &forward.Target{ID: "s", Load: new(forward.Load)},
		FirstEventTimeout: time.Second, NextEventTimeout: time.Second, Deadline: 10 * time.Second,
	})
	var all []string
	reports := 0
	versions := make(map[registry.Version]bool)
	for {
		switch e := (<-events).(type) {
		case event.RunProgressed:
			reports++
			all = append(all, e.Events...)
			for _, v := range e.Versions {
				versions[v] = true
			}
		case event.RunEnded:
			require.Nil(t, e.Failure)
			all = append(all, e.Events...)
			for _, v := range e.Versions {
				versions[v] = true
			}
			require.Equal(t, []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10"}, all)
			require.Equal(t, map[registry.Version]bool{1: true, 2: true}, versions)
			require.Positive(t, reports)
			require.InDelta(t, 200, e.EventInterval.Milliseconds(), 60, "the mean interval covers the whole run")
			return
		}
	}
}

// brokenStream ends with an error when its context ends, as a connection does.
type brokenStream struct {
	slowStream
	ctx context.Context
}

func (s *brokenStream) Next() (forward.Event, error) {
	<-s.ctx.Done()
	return forward.Event{}, verdict.New(verdict.MayHaveRun, verdict.ReasonTruncatedAnswer, "unexpected EOF")
}

type blockedServer struct{ forward.Sender }

func (blockedServer) OpenStream(ctx context.Context, _ *forward.Target, _ *forward.Request, _ int, _ time.Duration) (forward.Stream, error) {
	return &brokenStream{ctx: ctx}, nil
}

// TestStoppedRunIsNotAFailure guards against a server that counts as failed because its
// runs were moved to another server. In a simulated day, 36 runs of one step were moved
// off two slow servers, which were then suspect.
func TestStoppedRunIsNotAFailure(t *testing.T) {
	start := func(firstEventTimeout time.Duration) (*executor.Runs, <-chan event.Event) {
		events := make(chan event.Event, 10)
		runs := &executor.Runs{
			Ctx: context.Background(), Sender: blockedServer{}, SetUrgency: func(http.Header, int) {},
			Deliver: func(_ context.Context, e event.Event) error { events <- e; return nil },
		}
		runs.Start(command.StartRun{
			Key: "k", Run: 1, Spec: &lot.Item{ID: "i"}, Target: &forward.Target{ID: "s", Load: new(forward.Load)},
			FirstEventTimeout: firstEventTimeout, NextEventTimeout: time.Second, Deadline: 10 * time.Second,
		})
		require.IsType(t, event.RunStarted{}, <-events)
		return runs, events
	}
	runs, events := start(5 * time.Second)
	runs.Stop(command.StopRun{Key: "k", Run: 1})
	require.Equal(t, verdict.ReasonCanceled, (<-events).(event.RunEnded).Failure.Reason)

	_, events = start(10 * time.Millisecond)
	require.Equal(t, verdict.ReasonStalled, (<-events).(event.RunEnded).Failure.Reason, "a run that was not stopped counts")
}
