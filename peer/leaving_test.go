package peer_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/registry"
)

type leavingReceiver struct{ got, known []registry.Start }

func (r *leavingReceiver) Share(_ context.Context, _ string, starts []registry.Start) ([]registry.Start, error) {
	r.got = starts
	return r.known, nil
}

// noEstimates knows no estimates of servers.
type noEstimates struct{}

func (noEstimates) Share(context.Context, capacity.Share) ([]capacity.Note, error) { return nil, nil }

// TestLeavingReportArrivesUnchanged guards against fields that are lost between two hosts, and
// against notes about other matters that make a server leave or count as a question.
func TestLeavingReportArrivesUnchanged(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	receiver := &leavingReceiver{known: []registry.Start{{Server: "s2", Address: "s2:1", StartedUnixMS: 4}}}
	server, leavingServer := grpc.NewServer(), &peer.ServersServer{Leaving: receiver, Exchanger: noEstimates{}}
	peerpb.RegisterServersServer(server, leavingServer)
	go func() { _ = server.Serve(l) }() // ends with Stop
	t.Cleanup(server.Stop)
	dialer := peer.NewDialer("")
	t.Cleanup(dialer.Close)
	client := &peer.LeavingClient{Dialer: dialer, Address: l.Addr().String()}
	starts := []registry.Start{{Server: "s1", Address: "s1:1", StartedUnixMS: 1_700_000_000_123}}
	known, err := client.Share(t.Context(), "h", starts)
	require.NoError(t, err)
	require.Equal(t, starts, receiver.got)
	require.Equal(t, receiver.known, known)

	receiver.got = nil
	others := []*peerpb.ServerNote{{Server: "s3", Address: "s3:1", UnitUs: 4}, {Leaving: true}}
	resp, err := leavingServer.Share(t.Context(), &peerpb.ShareServersRequest{Host: "h", Notes: others})
	require.NoError(t, err)
	require.Empty(t, resp.Notes)
	require.Nil(t, receiver.got)
	_, err = client.Share(t.Context(), "h", make([]registry.Start, 1001))
	require.Error(t, err, "more notes than a host keeps")
}
