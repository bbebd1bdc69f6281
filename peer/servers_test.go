package peer

import (
	"context"
	"fmt"
	"math"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
)

type exchangeRecorder struct{ got []capacity.Share }

func (r *exchangeRecorder) Share(_ context.Context, s capacity.Share) ([]capacity.Note, error) {
	r.got = append(r.got, s)
	return s.Notes, nil
}

func exampleNote(server string) capacity.Note {
	return capacity.Note{Server: server, StartedUnixMS: 1_790_000_000_000, Estimate: capacity.Estimate{Unit: 45500 * time.Microsecond, Growth: 0.04, Capacity: 6}}
}

// TestNotesCarryAllFields guards against a field that is lost between hosts, and against figures
// of another host that cannot be right.
func TestNotesCarryAllFields(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r, server := new(exchangeRecorder), grpc.NewServer()
	peerpb.RegisterServersServer(server, &ServersServer{Exchanger: r})
	go func() { _ = server.Serve(l) }() // ends with the test
	t.Cleanup(server.Stop)
	dialer := NewDialer("")
	t.Cleanup(dialer.Close)
	c := &ServersClient{Dialer: dialer, Self: "a", Address: l.Addr().String()}
	for _, sent := range []capacity.Share{{Notes: []capacity.Note{exampleNote("s1"), exampleNote("s2")}}, {Everything: true}} {
		notes, err := c.Share(context.Background(), sent)
		require.NoError(t, err)
		require.Equal(t, sent.Notes, notes)
		require.Equal(t, sent, r.got[len(r.got)-1])
	}
	for _, unit := range []float64{0, -1, math.NaN(), math.Inf(1), 1e300} {
		require.Empty(t, notesFromProto([]*peerpb.ServerNote{{Server: "s", UnitUs: unit}}))
	}
}

// TestNotesAreSmall guards against exchanges that use up the 2 KB/s of control traffic of a host.
// The figures of docs/CAPACITY.md come from here.
func TestNotesAreSmall(t *testing.T) {
	size := func(notes int) int {
		var list []capacity.Note
		for i := range notes {
			list = append(list, exampleNote(fmt.Sprintf("engine-%08d", i)))
		}
		return proto.Size(&peerpb.ShareServersRequest{Host: "host-001", Notes: notesToProto(list)})
	}
	t.Logf("message without notes %d bytes, with 16 notes %d, a note %.1f", size(0), size(16), float64(size(64)-size(0))/64)
	require.Less(t, size(16), 1024)
}
