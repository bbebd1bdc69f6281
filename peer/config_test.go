package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/handler"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// startPeer serves the Entry service of a process whose control loop runs only the
// system script, and returns its address.
func startPeer(t *testing.T, script system.System) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	inbox, waiters := control.NewInbox(16), control.NewWaiters()
	dispatcher := control.NewDispatcher(ctx, inbox, func(command.Command) {})
	handler.RegisterConfigAnswers(dispatcher, waiters)
	start := time.Now()
	loop := control.NewLoop(control.Options{
		Tables: table.New(table.Self{}), Inbox: inbox, Executor: dispatcher,
		Systems: []system.Named{{Name: "script", Run: script}},
		Clock:   func() time.Duration { return time.Since(start) },
	})
	done := make(chan struct{})
	go func() { defer close(done); _ = loop.Run(ctx) }()
	server := grpc.NewServer(grpc.UnaryInterceptor(peer.TokenInterceptor(func(authorization string) error {
		if authorization != "Bearer right" {
			return verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "token is unknown")
		}
		return nil
	})))
	peerpb.RegisterEntryServer(server, &peer.EntryServer{Config: &peer.ConfigServer{Ask: waiters.CallFunc(inbox), Deliver: inbox.Deliver}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Stop(); cancel(); <-done })
	return listener.Addr().String()
}

// runCommands executes the commands and returns their events.
func runCommands(t *testing.T, token string, commands ...command.Command) []event.Event {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	inbox := control.NewInbox(16)
	dispatcher := control.NewDispatcher(ctx, inbox, func(command.Command) {})
	dialer := peer.NewDialer(token)
	defer dialer.Close()
	handler.RegisterConfigCalls(dispatcher, dialer, "e1")
	for _, c := range commands {
		dispatcher.Execute(c)
	}
	dispatcher.Wait()
	return inbox.Drain()
}

// TestConfigCallsCarryAllFields guards against a field, a verdict or a token that
// is lost between two processes.
func TestConfigCallsCarryAllFields(t *testing.T) {
	announced := make(chan event.ConfigAnnounced, 1)
	withdrawn := make(chan event.PrepareWithdrawn, 1)
	prepared := make(chan string, 2)
	contact := event.Contact{
		Host: "e2", ConfigVersion: 7, PendingVersion: 8, StoreReadAge: 1500 * time.Millisecond, CountsVote: true,
		Body: plan.Config{Routes: map[string]plan.RouteConfig{"claims": {Service: "listing"}}},
	}
	address := startPeer(t, func(_ time.Duration, _ *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			switch e := e.(type) {
			case event.ContactRequested:
				out.Add(command.AnswerContact{RequestID: e.RequestID, Contact: contact})
			case event.PrepareRequested:
				answer := command.AnswerPrepare{RequestID: e.RequestID}
				prepared <- e.Change
				if e.Version < 8 {
					answer.Failure = &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonConflict, Message: "old"}
				}
				out.Add(answer)
			case event.ConfigAnnounced:
				announced <- e
			case event.PrepareWithdrawn:
				withdrawn <- e
			}
		}
	})
	require.Equal(t, []event.Event{event.ContactMade{HostID: "h2", Contact: contact}},
		runCommands(t, "right", command.ContactHost{HostID: "h2", Address: address}))
	require.Equal(t, []event.Event{event.ContactMade{HostID: "h2", Contact: contact}},
		runCommands(t, "right", command.ContactHost{HostID: "h2", Address: address, ConfigVersion: 6}))
	known := contact
	known.Body = plan.Config{} // the peer does not send a body that the caller has
	require.Equal(t, []event.Event{event.ContactMade{HostID: "h2", Contact: known}},
		runCommands(t, "right", command.ContactHost{HostID: "h2", Address: address, ConfigVersion: 7}))
	require.Equal(t, []event.Event{event.PrepareAnswered{RequestID: "r", HostID: "h2"}},
		runCommands(t, "right", command.PrepareHost{RequestID: "r", HostID: "h2", Address: address, Version: 8}))
	require.Equal(t, "r", <-prepared)
	runCommands(t, "right", command.WithdrawHost{Change: "r", Address: address})
	require.Equal(t, event.PrepareWithdrawn{Change: "r"}, <-withdrawn)
	refused := runCommands(t, "right", command.PrepareHost{HostID: "h2", Address: address, Version: 7})
	require.Equal(t, verdict.ReasonConflict, refused[0].(event.PrepareAnswered).Failure.Reason)
	require.Equal(t, verdict.NotRun, refused[0].(event.PrepareAnswered).Failure.Verdict)
	runCommands(t, "right", command.AnnounceConfig{Address: address, Version: 9, Body: contact.Body})
	require.Equal(t, event.ConfigAnnounced{Version: 9, Body: contact.Body}, <-announced)

	foreign := runCommands(t, "wrong", command.ContactHost{HostID: "h2", Address: address})
	require.Equal(t, verdict.ReasonUnauthenticated, foreign[0].(event.ContactMade).Failure.Reason)
}
