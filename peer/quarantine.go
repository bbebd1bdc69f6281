package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/quarantine"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// QuarantineServer receives reports of other hosts about requests under which backend servers
// ended.
type QuarantineServer struct {
	peerpb.UnimplementedQuarantineServer
	Receiver quarantine.Receiver
}

// Report implements peerpb.QuarantineServer.
func (s *QuarantineServer) Report(ctx context.Context, r *peerpb.ReportSuspectRequest) (*peerpb.ReportSuspectResponse, error) {
	if r.Content == "" {
		return nil, status.Error(codes.InvalidArgument, "content is missing")
	}
	if err := s.Receiver.Report(ctx, quarantine.Report{Content: r.Content, Server: r.Server, Quarantined: r.Quarantined}); err != nil {
		return nil, status.Error(codes.Unavailable, verdict.Message(err))
	}
	return &peerpb.ReportSuspectResponse{}, nil
}

// QuarantineClient sends reports to another host.
type QuarantineClient struct {
	Dialer  *Dialer
	Address string
}

// Report implements quarantine.Receiver.
func (c *QuarantineClient) Report(ctx context.Context, r quarantine.Report) error {
	conn, err := c.Dialer.Conn(c.Address)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "dial host %s", c.Address)
	}
	_, err = peerpb.NewQuarantineClient(conn).Report(ctx, &peerpb.ReportSuspectRequest{Content: r.Content, Server: r.Server, Quarantined: r.Quarantined})
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionLost, "report to host %s", c.Address)
	}
	return nil
}
