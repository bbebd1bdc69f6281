package peer

import (
	"context"

	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// SampleServer is the half of the Entry service that generates samples.
type SampleServer interface {
	Generate(context.Context, *peerpb.GenerateRequest) (*peerpb.GenerateResponse, error)
}

// EntryServer is the Entry service, composed of its two halves.
type EntryServer struct {
	peerpb.UnimplementedEntryServer
	Samples SampleServer // nil refuses Generate
	Config  *ConfigServer
}

// Generate implements peerpb.EntryServer.
func (s *EntryServer) Generate(ctx context.Context, r *peerpb.GenerateRequest) (*peerpb.GenerateResponse, error) {
	if s.Samples == nil {
		return nil, StatusOf(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this process generates no samples"))
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
