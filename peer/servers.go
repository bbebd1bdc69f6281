package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/leaving"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// NoteExchanger takes what another host knows of backend servers and returns what this host knows.
type NoteExchanger interface {
	Share(ctx context.Context, s capacity.Share) ([]capacity.Note, error)
}

// ServersServer exchanges with other hosts which backend servers leave and how long work takes
// on them.
type ServersServer struct {
	peerpb.UnimplementedServersServer
	Exchanger NoteExchanger
	Leaving   leaving.Receiver
}

// Share implements peerpb.ServersServer. The two kinds of notes have clients of their own, each
// of which ignores the notes of the other kind in an answer. A request without notes gets both
// kinds; one without a host name gets all estimates.
func (s *ServersServer) Share(ctx context.Context, r *peerpb.ShareServersRequest) (*peerpb.ShareServersResponse, error) {
	answer := new(peerpb.ShareServersResponse)
	estimates := notesFromProto(r.Notes)
	if r.Host != "" && len(estimates) == 0 {
		known, err := s.shareLeaving(ctx, r)
		if err != nil {
			return nil, err
		}
		answer.Notes = known
	}
	if len(r.Notes) > 0 && len(estimates) == 0 {
		return answer, nil // a report about servers that leave
	}
	notes, err := s.Exchanger.Share(ctx, capacity.Share{Notes: estimates, Everything: r.Host == ""})
	if err != nil {
		return nil, status.Error(codes.Unavailable, verdict.Message(err))
	}
	answer.Notes = append(answer.Notes, notesToProto(notes)...)
	return answer, nil
}

// ServersClient exchanges estimates of backend servers with another host.
type ServersClient struct {
	Dialer  *Dialer
	Self    string // name of this host
	Address string
}

// Share implements NoteExchanger.
func (c *ServersClient) Share(ctx context.Context, s capacity.Share) ([]capacity.Note, error) {
	conn, err := c.Dialer.Conn(c.Address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "dial host %s", c.Address)
	}
	r := &peerpb.ShareServersRequest{Host: c.Self, Notes: notesToProto(s.Notes)}
	if s.Everything {
		r.Host = ""
	}
	response, err := peerpb.NewServersClient(conn).Share(ctx, r)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionLost, "exchange estimates with host %s", c.Address)
	}
	return notesFromProto(response.Notes), nil
}

func notesToProto(notes []capacity.Note) []*peerpb.ServerNote {
	list := make([]*peerpb.ServerNote, 0, len(notes))
	for _, n := range notes {
		list = append(list, &peerpb.ServerNote{
			Server: n.Server, StartedUnixMs: n.StartedUnixMS,
			UnitUs: float64(n.Estimate.Unit) / float64(time.Microsecond), Growth: n.Estimate.Growth, Capacity: n.Estimate.Capacity,
		})
	}
	return list
}

// maxUnitUS bounds the time of a unit of work in a note, in microseconds. It is above the
// timeout of any request.
const maxUnitUS = 1e9

// notesFromProto returns the notes with an estimate. Others may only say that a server leaves.
func notesFromProto(list []*peerpb.ServerNote) []capacity.Note {
	var notes []capacity.Note
	for _, n := range list {
		if !(n.UnitUs > 0 && n.UnitUs < maxUnitUS) { // also excludes values that are not a number
			continue
		}
		notes = append(notes, capacity.Note{Server: n.Server, StartedUnixMS: n.StartedUnixMs, Estimate: capacity.Estimate{
			Unit: time.Duration(n.UnitUs * float64(time.Microsecond)), Growth: n.Growth, Capacity: n.Capacity,
		}})
	}
	return notes
}
