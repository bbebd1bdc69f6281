package handler

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/bench"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/plan"
)

// benchEntryServer answers the calls of the Entry service with messages of typical
// size.
type benchEntryServer struct {
	peerpb.UnimplementedEntryServer
	body plan.Config
}

func (e *benchEntryServer) Generate(_ context.Context, r *peerpb.GenerateRequest) (*peerpb.GenerateResponse, error) {
	s := bench.TargetSample(int(r.GetIndex()))
	return &peerpb.GenerateResponse{Sample: &peerpb.Sample{
		Group: s.Group, Index: int32(s.Index), Attempt: 1, Tokens: 1500, ObjectKey: s.ObjectKey, Backend: s.Backend,
		Ranges: []*peerpb.Range{{To: 900, Version: 4711}, {From: 900, To: 1500, Version: 4712}},
	}}, nil
}

func (e *benchEntryServer) Contact(ctx context.Context, r *peerpb.ContactRequest) (*peerpb.ContactResponse, error) {
	server := &peer.ConfigServer{Ask: func(_ context.Context, id string, _ event.Event) (command.Command, error) {
		return command.AnswerContact{RequestID: id, Contact: event.Contact{
			Host: "entry-00001", ConfigVersion: 11000, StoreReadAge: 4 * time.Second, CountsVote: true, Body: e.body,
		}}, nil
	}}
	return server.Contact(ctx, r)
}

func (e *benchEntryServer) Prepare(context.Context, *peerpb.PrepareRequest) (*peerpb.PrepareResponse, error) {
	return &peerpb.PrepareResponse{}, nil
}

func (e *benchEntryServer) Announce(context.Context, *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	return &peerpb.AnnounceResponse{}, nil
}

// BenchmarkWirePeer reports the bytes of each call between the system's own
// processes.
func BenchmarkWirePeer(b *testing.B) {
	ctx, w := context.Background(), listenCounting(b)
	config, err := json.Marshal(bench.TargetConfig(100))
	require.NoError(b, err)
	smallConfig, err := json.Marshal(bench.TargetConfig(10))
	require.NoError(b, err)
	server := grpc.NewServer()
	peerpb.RegisterEntryServer(server, &benchEntryServer{body: bench.TargetConfig(100)})
	go func() { _ = server.Serve(w) }()
	b.Cleanup(server.Stop)
	dialer := peer.NewDialer(strings.Repeat("t", 32))
	b.Cleanup(dialer.Close)
	conn, err := dialer.Conn(w.Addr().String())
	require.NoError(b, err)
	client := peerpb.NewEntryClient(conn)
	spec := &peerpb.GroupSpec{Id: "step-00042-group-0001", Model: "matching", Prompt: strings.Repeat("p", 1024), Samples: 16, MaxTokens: 2048, StalenessBound: 2, Scorer: "scorer"}
	for _, x := range []struct {
		name string
		run  func() error
	}{
		{"generate_prompt_1024", func() error {
			_, err := client.Generate(ctx, &peerpb.GenerateRequest{Trainer: "trainer-1", Class: "class-11", Spec: spec, Index: 3, Attempt: 1, MinVersion: 4709})
			return err
		}},
		{"contact_of_100_routes", func() error {
			_, err := client.Contact(ctx, &peerpb.ContactRequest{From: "entry-00002"})
			return err
		}},
		{"contact_of_known_version", func() error {
			_, err := client.Contact(ctx, &peerpb.ContactRequest{From: "entry-00002", ConfigVersion: 11000})
			return err
		}},
		{"prepare", func() error { _, err := client.Prepare(ctx, &peerpb.PrepareRequest{Version: 11001}); return err }},
		{"announce_of_10_routes", func() error {
			_, err := client.Announce(ctx, &peerpb.AnnounceRequest{Version: 11001, Config: smallConfig})
			return err
		}},
		{"announce_of_100_routes", func() error {
			_, err := client.Announce(ctx, &peerpb.AnnounceRequest{Version: 11001, Config: config})
			return err
		}},
	} {
		b.Run(x.name, func(b *testing.B) {
			require.NoError(b, x.run())
			in, out := w.BytesIn.Load(), w.BytesOut.Load()
			for b.Loop() {
				require.NoError(b, x.run())
			}
			b.ReportMetric(float64(w.BytesIn.Load()-in)/float64(b.N), "B-sent/op")
			b.ReportMetric(float64(w.BytesOut.Load()-out)/float64(b.N), "B-received/op")
		})
	}
}
