package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/usage"
)

type usageReceiver struct {
	got    usage.Report
	answer usage.Answer
}

func (r *usageReceiver) Report(_ context.Context, report usage.Report) (usage.Answer, error) {
	r.got = report
	return r.answer, nil
}

// TestUsageReportArrivesUnchanged guards against fields that are lost between two hosts.
func TestUsageReportArrivesUnchanged(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	receiver := &usageReceiver{answer: usage.Answer{Holder: true, FixedThrough: 7, Correction: -3 * time.Second}}
	server := grpc.NewServer()
	peerpb.RegisterUsageServer(server, &peer.UsageServer{Receiver: receiver})
	go func() { _ = server.Serve(l) }() // ends with Stop
	t.Cleanup(server.Stop)
	dialer := peer.NewDialer("")
	t.Cleanup(dialer.Close)
	report := usage.Report{
		Host: "h", BootID: "b", Clock: 1_700_000_000_123 * time.Millisecond,
		Windows: []usage.Count{{Window: 8, Counts: map[string]int64{"a": 2}}, {Window: 9, Counts: map[string]int64{"b": 1}}},
	}
	client := &peer.UsageClient{Dialer: dialer, Address: l.Addr().String()}
	answer, err := client.Report(t.Context(), report)
	require.NoError(t, err)
	require.Equal(t, report, receiver.got)
	require.Equal(t, receiver.answer, answer)
	_, err = client.Report(t.Context(), usage.Report{Host: "h"})
	require.Error(t, err, "without a boot id, counts of two processes would be merged")
}
