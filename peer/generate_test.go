package peer

import (
	"context"
	"net"
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

// generateOnlyServer is an Entry service that implements only Generate.
type generateOnlyServer struct {
	peerpb.UnimplementedEntryServer
	Generator GenerateServer
}

func (s generateOnlyServer) Generate(ctx context.Context, r *peerpb.GenerateRequest) (*peerpb.GenerateResponse, error) {
	return s.Generator.Generate(ctx, r)
}

type sampleRunnerFunc func(ledger.SampleRequest) (ledger.SampleRecord, error)

func (f sampleRunnerFunc) RunSample(_ context.Context, r ledger.SampleRequest) (ledger.SampleRecord, error) {
	return f(r)
}

func generateWith(t *testing.T, run sampleRunnerFunc) event.SampleGenerated {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	peerpb.RegisterEntryServer(server, generateOnlyServer{Generator: GenerateServer{Runner: run}})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	dialer := NewDialer("token")
	defer dialer.Close()
	c := command.GenerateSample{
		EntryID: "e1", Address: listener.Addr().String(), Trainer: "t", Class: "rollout", Index: 2, Attempt: 3,
		Spec:   ledger.GroupSpec{ID: "g", Model: "m", Prompt: "p", Samples: 4, MaxTokens: 8, StalenessBound: 1, Scorer: "s"},
		Urgent: true, MinVersion: 5,
	}
	return Generator{Dialer: dialer, Timeout: 5 * time.Second}.Run(context.Background(), c).(event.SampleGenerated)
}

// TestGenerateCarriesSample guards against fields that are lost between controller
// and entry host, and against accepting the result of another sample.
func TestGenerateCarriesSample(t *testing.T) {
	record := ledger.SampleRecord{
		Group: "g", Index: 2, Attempt: 3, Tokens: 4, ObjectKey: "o", Backend: "m1",
		Ranges: []ledger.Range{{From: 0, To: 4, Version: 6}},
	}
	var seen ledger.SampleRequest
	e := generateWith(t, func(r ledger.SampleRequest) (ledger.SampleRecord, error) {
		seen = r
		return record, nil
	})
	require.Nil(t, e.Failure)
	require.InDelta(t, time.Now().UnixMilli(), e.Record.FinishedUnixMS, 5000)
	record.FinishedUnixMS = e.Record.FinishedUnixMS
	require.Equal(t, record, e.Record)
	require.Equal(t, "e1", e.EntryID)
	require.Equal(t, ledger.SampleRequest{
		Trainer: "t", Class: "rollout", Index: 2, Attempt: 3, Urgent: true, MinVersion: 5,
		Spec: ledger.GroupSpec{ID: "g", Model: "m", Prompt: "p", Samples: 4, MaxTokens: 8, StalenessBound: 1, Scorer: "s"},
	}, seen)

	record.Index = 1
	e = generateWith(t, func(ledger.SampleRequest) (ledger.SampleRecord, error) { return record, nil })
	require.Equal(t, verdict.ReasonForeignAnswer, e.Failure.Reason)
	require.Equal(t, 2, e.Record.Index)
}

// TestGenerateKeepsFailure guards against a failure that loses its verdict, its
// reason or the sample that it belongs to.
func TestGenerateKeepsFailure(t *testing.T) {
	e := generateWith(t, func(ledger.SampleRequest) (ledger.SampleRecord, error) {
		return ledger.SampleRecord{}, verdict.New(verdict.NotRun, verdict.ReasonOverload, "busy")
	})
	require.Equal(t, verdict.NotRun, e.Failure.Verdict)
	require.Equal(t, verdict.ReasonOverload, e.Failure.Reason)
	require.Equal(t, "g", e.Record.Group)
	require.Equal(t, 3, e.Record.Attempt)
}
