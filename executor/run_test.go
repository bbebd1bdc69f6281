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
