package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/verdict"
)

type fakeLeases struct{ address atomic.Pointer[string] }

func (l *fakeLeases) Leases(context.Context) ([]event.LeaseRow, error) {
	return []event.LeaseRow{{Partition: 0, Address: *l.address.Load()}}, nil
}

// startController starts a controller whose events are answered by ask.
func startController(t *testing.T, ask AskFunc) (address string, server *grpc.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server = grpc.NewServer()
	peerpb.RegisterControllerServer(server, NewControllerServer(ask))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), server
}

func notHolderAnswer(id string) command.Command {
	return command.AnswerPull{RequestID: id, Failure: &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonNotHolder}}
}

// TestRouterFollowsHolder guards against calls that fail after the partition moved
// to another holder, where the old holder refuses the call or has stopped, and
// against fields that are lost in conversion.
func TestRouterFollowsHolder(t *testing.T) {
	batch := &ledger.BatchRecord{Trainer: "t", Step: 3, Attempt: 2, CheckedVersion: 9, Samples: []ledger.BatchSample{{
		Score: 0.5, SampleRecord: ledger.SampleRecord{
			Group: "g", Index: 1, Attempt: 2, Tokens: 4, ObjectKey: "o", Backend: "m1", FinishedUnixMS: 12,
			Ranges: []ledger.Range{{From: 0, To: 2, Version: 8}, {From: 2, To: 4, Version: 9}},
		},
	}}}
	var seen event.PullRequested
	second, _ := startController(t, func(_ context.Context, id string, e event.Event) (command.Command, error) {
		seen = e.(event.PullRequested)
		return command.AnswerPull{RequestID: id, Batch: batch}, nil
	})
	rows := &fakeLeases{}
	first, _ := startController(t, func(_ context.Context, id string, _ event.Event) (command.Command, error) {
		rows.address.Store(&second)
		return notHolderAnswer(id), nil
	})
	rows.address.Store(&first)
	dialer := NewDialer("token")
	defer dialer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	router := NewControllerRouter(dialer, rows, 1)
	got, err := router.PullBatch(ctx, "t", PullRequest{Step: 3, Version: 9, Groups: 4, Wait: time.Second})
	require.NoError(t, err)
	require.Equal(t, batch, got)
	require.Equal(t, int64(3), seen.Step)
	require.Equal(t, 4, seen.Groups)

	closed, server := startController(t, nil)
	server.Stop()
	rows.address.Store(&closed)
	router = NewControllerRouter(dialer, rows, 1)
	time.AfterFunc(300*time.Millisecond, func() { rows.address.Store(&second) })
	_, err = router.PullBatch(ctx, "t", PullRequest{Step: 3, Version: 9, Groups: 4, Wait: time.Second})
	require.NoError(t, err)
}

// TestRouterKeepsVerdict guards against a refusal that loses its verdict or reason
// between processes, and against a call that is repeated after its deadline.
func TestRouterKeepsVerdict(t *testing.T) {
	address, _ := startController(t, func(_ context.Context, id string, _ event.Event) (command.Command, error) {
		return command.AnswerSubmit{RequestID: id, Failure: &event.Failure{
			Verdict: verdict.NotRun, Reason: verdict.ReasonConflict, Message: "exists",
		}}, nil
	})
	rows := &fakeLeases{}
	rows.address.Store(&address)
	dialer := NewDialer("token")
	defer dialer.Close()
	_, err := NewControllerRouter(dialer, rows, 1).SubmitGroups(context.Background(), "t", nil)
	require.Equal(t, verdict.ReasonConflict, verdict.ReasonOf(err))
	require.Equal(t, verdict.NotRun, verdict.Of(err))

	none := ""
	rows.address.Store(&none)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = NewControllerRouter(dialer, rows, 1).DeclareVersion(ctx, "t", 1)
	require.Equal(t, verdict.ReasonNotHolder, verdict.ReasonOf(err))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}
