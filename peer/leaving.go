package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// maxNotes bounds the notes of one message; a host sends at most 200 in a request and 1,000
	// in an answer.
	maxNotes = 1000
	// maxNoteBytes bounds each text of a note.
	maxNoteBytes = 1 << 10
)

// shareLeaving passes on which servers leave and returns what this host knows of that. A request
// without notes only asks.
func (s *ServersServer) shareLeaving(ctx context.Context, r *peerpb.ShareServersRequest) ([]*peerpb.ServerNote, error) {
	starts, err := leavingStarts(r.Notes)
	if err != nil {
		return nil, err
	}
	if len(starts) == 0 && len(r.Notes) > 0 {
		return nil, nil
	}
	known, err := s.Leaving.Share(ctx, r.Host, starts)
	if err != nil {
		return nil, status.Error(codes.Unavailable, verdict.Message(err))
	}
	return leavingNotes(known), nil
}

// LeavingClient reports servers that leave to another host.
type LeavingClient struct {
	Dialer  *Dialer
	Address string
}

// Share implements leaving.Receiver.
func (c *LeavingClient) Share(ctx context.Context, host string, starts []registry.Start) ([]registry.Start, error) {
	conn, err := c.Dialer.Conn(c.Address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "dial host %s", c.Address)
	}
	resp, err := peerpb.NewServersClient(conn).Share(ctx, &peerpb.ShareServersRequest{Host: host, Notes: leavingNotes(starts)})
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionLost, "report to host %s", c.Address)
	}
	known, err := leavingStarts(resp.Notes)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.Ran, verdict.ReasonBadAnswer, "answer of host %s", c.Address)
	}
	return known, nil
}

// leavingNotes returns notes that only say that servers leave.
func leavingNotes(starts []registry.Start) []*peerpb.ServerNote {
	notes := make([]*peerpb.ServerNote, len(starts))
	for i, s := range starts {
		notes[i] = &peerpb.ServerNote{Server: s.Server, Address: s.Address, StartedUnixMs: s.StartedUnixMS, Leaving: true}
	}
	return notes
}

// leavingStarts returns the starts of which notes say that they leave. It skips notes that name
// no server, so that they do not hide the others.
func leavingStarts(notes []*peerpb.ServerNote) ([]registry.Start, error) {
	if len(notes) > maxNotes {
		return nil, status.Error(codes.InvalidArgument, "too many notes")
	}
	var starts []registry.Start
	for _, n := range notes {
		if n.Server == "" || n.Address == "" || len(n.Server) > maxNoteBytes || len(n.Address) > maxNoteBytes {
			continue
		}
		if n.Leaving {
			starts = append(starts, registry.Start{Server: n.Server, Address: n.Address, StartedUnixMS: n.StartedUnixMs})
		}
	}
	return starts, nil
}
