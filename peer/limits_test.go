package peer

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/permit"
	"github.com/lavenderstand/lavenderstand/quarantine"
)

// recorder records the calls that reach a host.
type recorder struct {
	permits []permit.Request
	reports []quarantine.Report
}

func (r *recorder) Grant(_ context.Context, req permit.Request) (forward.Permit, error) {
	r.permits = append(r.permits, req)
	return forward.Permit{Granted: true, Wait: 1500 * time.Microsecond}, nil
}

func (r *recorder) Report(_ context.Context, report quarantine.Report) error {
	r.reports = append(r.reports, report)
	return nil
}

func startRecorder(t *testing.T) (*recorder, string, *Dialer) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r, server := new(recorder), grpc.NewServer()
	peerpb.RegisterPermitsServer(server, &PermitServer{Granter: r})
	peerpb.RegisterQuarantineServer(server, &QuarantineServer{Receiver: r})
	go func() { _ = server.Serve(l) }() // ends with the test
	t.Cleanup(server.Stop)
	dialer := NewDialer("")
	t.Cleanup(dialer.Close)
	return r, l.Addr().String(), dialer
}

// TestPermitCallsCarryAllFields guards against a field that is lost between hosts, and against
// limits that no server can name.
func TestPermitCallsCarryAllFields(t *testing.T) {
	r, address, dialer := startRecorder(t)
	client := &PermitClient{Dialer: dialer, Address: address}
	request := permit.Request{PermitRequest: forward.PermitRequest{Server: "s", Limit: 2.5, MaxWait: 1250 * time.Microsecond, Background: true}, Share: 0.2}
	p, err := client.Grant(context.Background(), request)
	require.NoError(t, err)
	require.Equal(t, forward.Permit{Granted: true, Wait: 1500 * time.Microsecond}, p)
	require.Equal(t, []permit.Request{request}, r.permits)
	for _, limit := range []float64{0, -1, math.NaN()} {
		request.Limit = limit
		_, err := client.Grant(context.Background(), request)
		require.Error(t, err)
	}
	require.Len(t, r.permits, 1)
}

// TestReportsCarryAllFields guards against a field that is lost between hosts.
func TestReportsCarryAllFields(t *testing.T) {
	r, address, dialer := startRecorder(t)
	client := &QuarantineClient{Dialer: dialer, Address: address}
	report := quarantine.Report{Content: "c", Server: "s", Quarantined: true}
	require.NoError(t, client.Report(context.Background(), report))
	require.Error(t, client.Report(context.Background(), quarantine.Report{Server: "s"}))
	require.Equal(t, []quarantine.Report{report}, r.reports)
}
