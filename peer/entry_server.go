package peer

import (
	"context"

	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// SampleServer implements the Generate call of the Entry service.
type SampleServer interface {
	Generate(context.Context, *peerpb.GenerateRequest) (*peerpb.GenerateResponse, error)
}

// EntryServer implements the Entry service with a SampleServer and a ConfigServer.
type EntryServer struct {
	peerpb.UnimplementedEntryServer
	Samples SampleServer // if nil, Generate is refused
	Config  *ConfigServer
}

// Generate implements peerpb.EntryServer.
func (s *EntryServer) Generate(ctx context.Context, r *peerpb.GenerateRequest) (*peerpb.GenerateResponse, error) {
	if s.Samples == nil {
		return nil, StatusOf(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this process does not generate samples"))
	}
	return s.Samples.Generate(ctx, r)
}

// Contact implements peerpb.EntryServer.
func (s *EntryServer) Contact(ctx context.Context, r *peerpb.ContactRequest) (*peerpb.ContactResponse, error) {
	return s.Config.Contact(ctx, r)
}

// Prepare implements peerpb.EntryServer.
func (s *EntryServer) Prepare(ctx context.Context, r *peerpb.PrepareRequest) (*peerpb.PrepareResponse, error) {
	return s.Config.Prepare(ctx, r)
}

// Withdraw implements peerpb.EntryServer.
func (s *EntryServer) Withdraw(ctx context.Context, r *peerpb.WithdrawRequest) (*peerpb.WithdrawResponse, error) {
	return s.Config.Withdraw(ctx, r)
}

// Announce implements peerpb.EntryServer.
func (s *EntryServer) Announce(ctx context.Context, r *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	return s.Config.Announce(ctx, r)
}
