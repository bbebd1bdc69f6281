package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/permit"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// PermitServer grants permits of this host to other hosts.
type PermitServer struct {
	peerpb.UnimplementedPermitsServer
	Granter permit.Granter
}

// Acquire implements peerpb.PermitsServer.
func (s *PermitServer) Acquire(ctx context.Context, r *peerpb.AcquirePermitRequest) (*peerpb.AcquirePermitResponse, error) {
	// The comparisons also exclude values that are not a number.
	if !(r.Limit > 0) || !(r.Share > 0 && r.Share <= 1) {
		return nil, status.Error(codes.InvalidArgument, "limit and share must be positive, share at most 1")
	}
	p, err := s.Granter.Grant(ctx, permit.Request{
		PermitRequest: forward.PermitRequest{
			Server: r.Server, Limit: r.Limit, MaxWait: time.Duration(r.MaxWaitUs) * time.Microsecond, Background: r.Background,
		},
		Share: r.Share,
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, verdict.Message(err))
	}
	return &peerpb.AcquirePermitResponse{Granted: p.Granted, WaitUs: p.Wait.Microseconds()}, nil
}

// PermitClient asks another host for permits.
type PermitClient struct {
	Dialer  *Dialer
	Address string
}

// Grant implements permit.Granter.
func (c *PermitClient) Grant(ctx context.Context, r permit.Request) (forward.Permit, error) {
	conn, err := c.Dialer.Conn(c.Address)
	if err != nil {
		return forward.Permit{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "dial host %s", c.Address)
	}
	response, err := peerpb.NewPermitsClient(conn).Acquire(ctx, &peerpb.AcquirePermitRequest{
		Server: r.Server, Limit: r.Limit, Share: r.Share, MaxWaitUs: r.MaxWait.Microseconds(), Background: r.Background,
	})
	if err != nil {
		return forward.Permit{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionLost, "ask host %s for a permit", c.Address)
	}
	return forward.Permit{Granted: response.Granted, Wait: time.Duration(response.WaitUs) * time.Microsecond}, nil
}
