package executor_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// refusingServer refuses all requests and records their ids.
type refusingServer struct {
	forward.Sender
	mu  sync.Mutex
	got map[string]int
}

func (s *refusingServer) Send(_ context.Context, _ *forward.Target, r *forward.Request, _ time.Duration) (*forward.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got[r.ID]++
	return nil, verdict.New(verdict.NotRun, verdict.ReasonBackendRefused, "full")
}

// requests returns the number of requests with an id.
func (s *refusingServer) requests(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got[id]
}

// TestStoppedScoringReachesNoServer guards against scoring requests of an ended lot that go on
// waiting for a server until the timeout of their route, and against those that wait for
// another scoring request and begin after the end of their lot.
func TestStoppedScoringReachesNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &refusingServer{got: make(map[string]int)}
		f := &forward.Forwarder{
			Plans: new(forward.AtomicPlan), Sender: server, Log: zap.NewNop(), Rand: func() float64 { return 0.5 },
			Report: func(forward.Outcome) {}, Count: func(string, verdict.Reason) {},
		}
		f.Plans.Publish(&forward.Plan{
			Services: map[string][]*forward.Target{"s": {{ID: "a", Slots: 1, Load: new(forward.Load)}}},
			Desired: &desired.State{Routes: []desired.Route{{
				Host: "h", Prefix: "/", Kind: desired.KindIdempotent, Services: []desired.WeightedService{{Service: "s", Weight: 1}},
				Timeout: 5 * time.Second, MaxAttempts: 3,
			}}},
		})
		ended := make(chan event.ScoreEnded, 10)
		scores := executor.NewScores(t.Context(), f, func(_ context.Context, e event.Event) error {
			ended <- e.(event.ScoreEnded)
			return nil
		}, 1)
		for i, key := range []string{"first", "second"} { // the second one waits for the first
			scores.Start(command.ScoreItem{Key: key, Run: i + 1, Scorer: &lot.Scorer{ID: key, Host: "h", Path: "/x"}})
			time.Sleep(time.Second)
		}
		scores.Stop(command.StopScore{Key: "first", Run: 7})
		before := server.requests("first")
		time.Sleep(time.Second)
		require.Greater(t, server.requests("first"), before, "another run of the item was stopped")
		scores.Stop(command.StopScore{Key: "second", Run: 2})
		scores.Stop(command.StopScore{Key: "first", Run: 1})
		synctest.Wait()
		before = server.requests("first")
		time.Sleep(10 * time.Second)
		require.Equal(t, before, server.requests("first"))
		require.Zero(t, server.requests("second"))
		for range 2 {
			require.Equal(t, verdict.ReasonCanceled, (<-ended).Failure.Reason)
		}
	})
}
