package executor_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// panickingServer panics when a stream is opened, or on the first event.
type panickingServer struct {
	forward.Sender
	onOpen bool
}

type panickingStream struct{ slowStream }

func (*panickingStream) Next() (forward.Event, error) { panic("malformed event") }

func (s panickingServer) OpenStream(context.Context, *forward.Target, *forward.Request, int, time.Duration) (forward.Stream, error) {
	if s.onOpen {
		panic("malformed header")
	}
	return &panickingStream{}, nil
}

// TestMalformedStreamEndsOneRun guards against an answer of one server that ends the process.
func TestMalformedStreamEndsOneRun(t *testing.T) {
	for _, onOpen := range []bool{false, true} {
		events := make(chan event.Event, 10)
		runs := &executor.Runs{
			Ctx: context.Background(), Sender: panickingServer{onOpen: onOpen}, SetUrgency: func(http.Header, int) {},
			Deliver: func(_ context.Context, e event.Event) error { events <- e; return nil },
		}
		runs.Start(command.StartRun{
			Key: "k", Run: 1, Spec: &lot.Item{ID: "i"}, Target: &forward.Target{ID: "s", Load: new(forward.Load)},
			FirstEventTimeout: time.Second, NextEventTimeout: time.Second, Deadline: 10 * time.Second,
		})
		e := <-events
		if _, ok := e.(event.RunStarted); ok {
			e = <-events
		}
		failure := e.(event.RunEnded).Failure
		require.NotNil(t, failure)
		require.Equal(t, verdict.ReasonInternal, failure.Reason)
		require.Equal(t, verdict.MayHaveRun, failure.Verdict)
		require.Contains(t, failure.Message, "malformed")
	}
}

// TestMalformedRowIsLeftOut guards against a row of another writer that ends the process, or
// that hides the other rows.
func TestMalformedRowIsLeftOut(t *testing.T) {
	rows := pamoja.NewStore()
	for _, id := range []string{"l1", "bad", "l2"} {
		putHead(t, rows, id)
	}
	decode := func(rows []store.Row, full bool, version uint64) []event.Event {
		for _, r := range rows {
			if lot.HeadID(r.Name) == "bad" {
				panic("malformed row")
			}
		}
		return executor.DecodeCoordination(rows, full, version)
	}
	events := runFeedWith(t, rows, decode)
	read := next[event.HeadsRead](t, events)
	require.True(t, read.Full)
	require.Len(t, read.Heads, 2)
	unreadable := next[event.RowUnreadable](t, events)
	require.Contains(t, unreadable.Row, "bad")
	require.Contains(t, unreadable.Message, "malformed row")
}
