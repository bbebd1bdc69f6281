package forward_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func requestUntil(d time.Duration) *forward.Request {
	return &forward.Request{ID: "q", Method: "POST", Host: "h", Path: "/p/x", Deadline: time.Now().Add(d)}
}

// TestLateRequestIsRefusedBeforeStop guards against a request that arrives late in a graceful
// shutdown, is passed on, and could be cut off at its end.
func TestLateRequestIsRefusedBeforeStop(t *testing.T) {
	for _, kind := range []desired.RouteKind{desired.KindIdempotent, desired.KindNonIdempotent} {
		s := &sender{reply: func(context.Context, string, int) (*forward.Answer, error) { return &forward.Answer{Status: 200}, nil }}
		f, _ := newForwarder(s, kind)
		f.BeginStop(time.Now(), time.Now().Add(500*time.Millisecond))
		require.True(t, f.Stopping())
		_, err := f.Forward(context.Background(), requestUntil(time.Second))
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, verdict.ReasonDraining, verdict.ReasonOf(err))
		require.Error(t, f.ForwardStream(context.Background(), requestUntil(time.Second), nil))
		require.Empty(t, s.servers())
		_, err = f.Forward(context.Background(), requestUntil(100*time.Millisecond))
		require.NoError(t, err, "it ends before the stop")
		scoring := requestUntil(3 * time.Second)
		scoring.Background = true
		_, err = f.Forward(context.Background(), scoring)
		require.NoError(t, err, "no caller waits for it")
	}
}

// TestRequestEndsBeforeStop guards against a request that was accepted at the beginning of a
// graceful shutdown and gets no answer at its end.
func TestRequestEndsBeforeStop(t *testing.T) {
	s := new(sender)
	s.reply = func(ctx context.Context, _ string, _ int) (*forward.Answer, error) { return s.wait(ctx) }
	f, _ := newForwarder(s, desired.KindNonIdempotent)
	stop := time.Now().Add(500 * time.Millisecond)
	f.BeginStop(time.Now().Add(time.Minute), stop)
	_, err := f.Forward(context.Background(), requestUntil(time.Minute))
	require.True(t, time.Now().Before(stop))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
}
