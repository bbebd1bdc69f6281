package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// ConfigServer implements the configuration calls of the Entry service. It passes
// each call to the control loop.
type ConfigServer struct {
	// Ask delivers an event to the control loop and waits for the answer with
	// the given request id.
	Ask func(ctx context.Context, id string, e event.Event) (command.Command, error)
	// Deliver delivers an event that has no answer to the control loop.
	Deliver func(ctx context.Context, e event.Event) error

	lastID atomic.Uint64
}

// Contact implements peerpb.EntryServer.
func (s *ConfigServer) Contact(ctx context.Context, r *peerpb.ContactRequest) (*peerpb.ContactResponse, error) {
	id := s.newRequestID("contact")
	answer, err := askControl[command.AnswerContact](ctx, s, id, event.ContactRequested{RequestID: id, From: r.GetFrom()})
	if err != nil {
		return nil, StatusOf(err)
	}
	contact := answer.Contact
	var body []byte
	if known := r.GetConfigVersion(); known == 0 || contact.ConfigVersion > known {
		if body, err = json.Marshal(contact.Body); err != nil {
			return nil, StatusOf(verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode configuration"))
		}
	}
	return &peerpb.ContactResponse{
		Host:           contact.Host,
		ConfigVersion:  contact.ConfigVersion,
		PendingVersion: contact.PendingVersion,
		StoreReadAgeMs: contact.StoreReadAge.Milliseconds(),
		EverRead:       contact.CountsVote,
		Config:         body,
	}, nil
}

// Prepare implements peerpb.EntryServer.
func (s *ConfigServer) Prepare(ctx context.Context, r *peerpb.PrepareRequest) (*peerpb.PrepareResponse, error) {
	id := s.newRequestID("prepare")
	answer, err := askControl[command.AnswerPrepare](ctx, s, id, event.PrepareRequested{RequestID: id, Change: r.GetChange(), Version: r.GetVersion()})
	if err == nil {
		err = answer.Failure.Err()
	}
	if err != nil {
		return nil, StatusOf(err)
	}
	return &peerpb.PrepareResponse{}, nil
}

// Withdraw implements peerpb.EntryServer.
func (s *ConfigServer) Withdraw(ctx context.Context, r *peerpb.WithdrawRequest) (*peerpb.WithdrawResponse, error) {
	if err := s.Deliver(ctx, event.PrepareWithdrawn{Change: r.GetChange()}); err != nil {
		return nil, StatusOf(verdict.Wrap(err, verdict.NotRun, verdict.ReasonCanceled, "deliver withdrawal to the control loop"))
	}
	return &peerpb.WithdrawResponse{}, nil
}

// Announce implements peerpb.EntryServer and peerpb.ControllerServer.
func (s *ConfigServer) Announce(ctx context.Context, r *peerpb.AnnounceRequest) (*peerpb.AnnounceResponse, error) {
	var body plan.Config
	if err := json.Unmarshal(r.GetConfig(), &body); err != nil {
		return nil, StatusOf(verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "decode configuration"))
	}
	if err := s.Deliver(ctx, event.ConfigAnnounced{Version: r.GetVersion(), Body: body}); err != nil {
		return nil, StatusOf(verdict.Wrap(err, verdict.NotRun, verdict.ReasonCanceled, "deliver announcement to the control loop"))
	}
	return &peerpb.AnnounceResponse{}, nil
}

func (s *ConfigServer) newRequestID(kind string) string {
	return fmt.Sprintf("peer/%s/%d", kind, s.lastID.Add(1))
}

// askControl passes an event to the control loop and waits for its answer.
func askControl[A command.Command](ctx context.Context, s *ConfigServer, id string, e event.Event) (A, error) {
	var none A
	c, err := s.Ask(ctx, id, e)
	if err != nil {
		return none, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, "wait for the answer of the control loop")
	}
	answer, ok := c.(A)
	if !ok {
		return none, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "unexpected answer %s from the control loop", c.Name())
	}
	return answer, nil
}
