package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/registry"
)

// answered returns the outcome of a plain request or of a stream.
func answered(server string, took time.Duration, stream bool) event.ServerOutcome {
	return event.ServerOutcome{Outcome: forward.Outcome{
		Server: server, Answered: true, Stream: stream, Work: capacity.Observation{Requests: 1, Took: took, Units: 1},
	}}
}

// TestEstimatesArePublished guards against measured times that request goroutines never see, and
// against times of plain requests that are taken for those of events.
func TestEstimatesArePublished(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	for _, stream := range []bool{false, true} {
		published := commandsOf[command.PublishEstimate](w.step(answered("s1", 30*time.Millisecond, stream), answered("gone", time.Second, stream)))
		require.Len(t, published, 1)
		require.Equal(t, stream, published[0].Stream)
		require.Equal(t, 30*time.Millisecond, published[0].Estimate.Unit)
		require.Same(t, w.tables.Rollout.Servers.Find("s1").Load, published[0].Load)
		require.Equal(t, !stream, !w.tables.Rollout.Servers.Find("s1").Pace.Events.Known())
	}
	w.step(w.server("s1", func(s *registry.Server) { s.StartedUnixMS = 2 }))
	require.False(t, w.tables.Rollout.Servers.Find("s1").Answers.Known(), "the server started anew")
}
