package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/usage"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// UsageServer receives the counts of other hosts. Times are in whole milliseconds on the wire.
type UsageServer struct {
	peerpb.UnimplementedUsageServer
	Receiver usage.Receiver
}

// Report implements peerpb.UsageServer.
func (s *UsageServer) Report(ctx context.Context, r *peerpb.ReportUsageRequest) (*peerpb.ReportUsageResponse, error) {
	if r.Host == "" || r.BootId == "" {
		return nil, status.Error(codes.InvalidArgument, "host or boot_id is missing")
	}
	report := usage.Report{Host: r.Host, BootID: r.BootId, Clock: time.Duration(r.UnixMs) * time.Millisecond}
	for _, w := range r.Windows {
		report.Windows = append(report.Windows, usage.Count{Window: w.Number, Counts: w.Counts})
	}
	answer, err := s.Receiver.Report(ctx, report)
	if err != nil {
		return nil, status.Error(codes.Unavailable, verdict.Message(err))
	}
	return &peerpb.ReportUsageResponse{
		Holder: answer.Holder, FixedThrough: answer.FixedThrough, ClockOffsetMs: answer.Correction.Milliseconds(),
	}, nil
}

// UsageClient reports counts to another host.
type UsageClient struct {
	Dialer  *Dialer
	Address string
}

// Report implements usage.Receiver.
func (c *UsageClient) Report(ctx context.Context, r usage.Report) (usage.Answer, error) {
	conn, err := c.Dialer.Conn(c.Address)
	if err != nil {
		return usage.Answer{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "dial host %s", c.Address)
	}
	request := &peerpb.ReportUsageRequest{Host: r.Host, BootId: r.BootID, UnixMs: r.Clock.Milliseconds()}
	for _, w := range r.Windows {
		request.Windows = append(request.Windows, &peerpb.UsageWindow{Number: w.Window, Counts: w.Counts})
	}
	resp, err := peerpb.NewUsageClient(conn).Report(ctx, request)
	if err != nil {
		return usage.Answer{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionLost, "report to host %s", c.Address)
	}
	return usage.Answer{
		Holder: resp.Holder, FixedThrough: resp.FixedThrough, Correction: time.Duration(resp.ClockOffsetMs) * time.Millisecond,
	}, nil
}
