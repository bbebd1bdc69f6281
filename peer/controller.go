package peer

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// AskFunc delivers an event to the control loop and waits for the answer with the
// given request id.
type AskFunc func(ctx context.Context, id string, e event.Event) (command.Command, error)

// ControllerServer implements the Controller service. It converts calls to events
// and the answers of the control loop to messages. It leaves Announce to a server
// that embeds it.
type ControllerServer struct {
	peerpb.UnimplementedControllerServer
	ask    AskFunc
	lastID atomic.Uint64
}

// NewControllerServer returns a server that passes its calls to a control loop
// with ask.
func NewControllerServer(ask AskFunc) *ControllerServer { return &ControllerServer{ask: ask} }

// call delivers the event that build returns for a new request id and waits for
// the answer. It returns errors, including the answer's failure, as gRPC status
// errors.
func call[A command.Command](ctx context.Context, s *ControllerServer, build func(id string) event.Event, failure func(A) *event.Failure) (A, error) {
	var none A
	id := "call-" + strconv.FormatUint(s.lastID.Add(1), 10)
	c, err := s.ask(ctx, id, build(id))
	if err != nil {
		return none, StatusOf(verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, "wait for the answer of the control loop"))
	}
	answer, ok := c.(A)
	if !ok {
		return none, StatusOf(verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "unexpected answer %s from the control loop", c.Name()))
	}
	if f := failure(answer); f != nil {
		return none, StatusOf(verdict.New(f.Verdict, f.Reason, "%s", f.Message))
	}
	return answer, nil
}

// SubmitGroups implements peerpb.ControllerServer.
func (s *ControllerServer) SubmitGroups(ctx context.Context, r *peerpb.SubmitGroupsRequest) (*peerpb.SubmitGroupsResponse, error) {
	groups := make([]ledger.GroupSpec, 0, len(r.GetGroups()))
	for _, g := range r.GetGroups() {
		groups = append(groups, specFromProto(g))
	}
	answer, err := call(ctx, s, func(id string) event.Event {
		return event.GroupsSubmitted{RequestID: id, Trainer: r.GetTrainer(), Groups: groups}
	}, func(a command.AnswerSubmit) *event.Failure { return a.Failure })
	if err != nil {
		return nil, err
	}
	return &peerpb.SubmitGroupsResponse{Accepted: answer.Accepted}, nil
}

// DeclareVersion implements peerpb.ControllerServer.
func (s *ControllerServer) DeclareVersion(ctx context.Context, r *peerpb.DeclareVersionRequest) (*peerpb.DeclareVersionResponse, error) {
	answer, err := call(ctx, s, func(id string) event.Event {
		return event.VersionDeclared{RequestID: id, Trainer: r.GetTrainer(), Version: ledger.Version(r.GetVersion())}
	}, func(a command.AnswerVersion) *event.Failure { return a.Failure })
	if err != nil {
		return nil, err
	}
	return &peerpb.DeclareVersionResponse{Version: int64(answer.Version)}, nil
}

// PullLot implements peerpb.ControllerServer.
func (s *ControllerServer) PullLot(ctx context.Context, r *peerpb.PullLotRequest) (*peerpb.PullLotResponse, error) {
	answer, err := call(ctx, s, func(id string) event.Event {
		return event.PullRequested{
			RequestID: id, Trainer: r.GetTrainer(), Step: r.GetStep(), Version: ledger.Version(r.GetVersion()),
			Groups: int(r.GetGroups()), Wait: time.Duration(r.GetWaitMs()) * time.Millisecond,
		}
	}, func(a command.AnswerPull) *event.Failure { return a.Failure })
	if err != nil {
		return nil, err
	}
	return batchToProto(answer.Batch), nil
}

// ConfirmLot implements peerpb.ControllerServer.
func (s *ControllerServer) ConfirmLot(ctx context.Context, r *peerpb.ConfirmLotRequest) (*peerpb.ConfirmLotResponse, error) {
	answer, err := call(ctx, s, func(id string) event.Event {
		return event.ConfirmRequested{
			RequestID: id, Trainer: r.GetTrainer(), Step: r.GetStep(), Attempt: int(r.GetAttempt()),
		}
	}, func(a command.AnswerConfirm) *event.Failure { return a.Failure })
	if err != nil {
		return nil, err
	}
	return &peerpb.ConfirmLotResponse{CheckedVersion: int64(answer.CheckedVersion)}, nil
}

// Groups implements peerpb.ControllerServer.
func (s *ControllerServer) Groups(ctx context.Context, r *peerpb.GroupsRequest) (*peerpb.GroupsResponse, error) {
	answer, err := call(ctx, s, func(id string) event.Event {
		return event.GroupsRequested{RequestID: id, Trainer: r.GetTrainer()}
	}, func(a command.AnswerGroups) *event.Failure { return a.Failure })
	if err != nil {
		return nil, err
	}
	m := &peerpb.GroupsResponse{}
	for _, g := range answer.Groups {
		m.Groups = append(m.Groups, groupStatusToProto(g))
	}
	return m, nil
}
