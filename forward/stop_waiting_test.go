package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/accesskey"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// busyServer refuses all requests while it is full, and otherwise never answers them.
type busyServer struct {
	Sender
	full bool
}

func (s busyServer) Send(ctx context.Context, _ *Target, _ *Request, _ time.Duration) (*Answer, error) {
	if s.full {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBackendRefused, "full")
	}
	<-ctx.Done()
	return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.ReasonCanceled, "canceled")
}

func (s busyServer) OpenStream(ctx context.Context, to *Target, r *Request, _ int, remaining time.Duration) (Stream, error) {
	_, err := s.Send(ctx, to, r, remaining)
	return nil, err
}

type noWriter struct{}

func (noWriter) Begin(http.Header) {}
func (noWriter) Event(Event) error { return nil }

const (
	stopAfter = time.Second // from the arrival of the request until the shutdown begins
	lateAfter = 4 * time.Second
	stopsAt   = 8300 * time.Millisecond
)

// duringStop sends a request that may last until 10 s after its arrival to a host that stops
// meanwhile. It returns the time after which the request failed, and the error.
func duringStop(t *testing.T, f *Forwarder, r *Request, kind desired.RouteKind) (after time.Duration, err error) {
	t.Helper()
	route := &f.Plans.Load().Desired.Routes[0]
	route.Kind, route.Timeout = kind, 10*time.Second
	start := time.Now()
	time.AfterFunc(stopAfter, func() { f.BeginStop(start.Add(lateAfter), start.Add(stopsAt)) })
	r.ID, r.Host, r.Path = "q", "h", "/x"
	if kind == desired.KindStream {
		err = f.ForwardStream(t.Context(), r, noWriter{})
	} else {
		_, err = f.Forward(t.Context(), r)
	}
	require.Error(t, err)
	return time.Since(start), err
}

// TestWaitingRequestIsRefusedDuringStop guards against requests that arrived before a graceful
// shutdown, wait for a server, and are cut off without an answer at its end. Another host can
// serve them if they are refused in time.
func TestWaitingRequestIsRefusedDuringStop(t *testing.T) {
	for name, prepare := range map[string]func(f *Forwarder){
		"servers refuse": func(*Forwarder) {},
		"request limit": func(f *Forwarder) {
			f.Permits = &fixedPermits{permits: map[string]Permit{"a": {Granted: true, Wait: 9 * time.Second}}}
			f.Plans.Load().Services["s"][0].Load.RecordLimit(1)
		},
		"order among organisations": func(f *Forwarder) {
			p := f.Plans.Load()
			p.Keys, _ = accesskey.New([]desired.Organisation{{Name: "o", Keys: []string{"k"}}})
			p.Services["s"][0].Load.InFlight.Store(4)
			p.Services["s"][0].Load.recordResponse(3*time.Second, time.Now())
		},
	} {
		for _, kind := range []desired.RouteKind{desired.KindIdempotent, desired.KindNonIdempotent, desired.KindStream} {
			t.Run(name+" "+string(kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := testForwarder(busyServer{full: true}, testPlan(1, 4))
					prepare(f)
					after, err := duringStop(t, f, new(Request), kind)
					require.Equal(t, verdict.NotRun, verdict.Of(err))
					require.Equal(t, verdict.ReasonDraining, verdict.ReasonOf(err))
					require.InDelta(t, lateAfter, after, float64(100*time.Millisecond))
				})
			})
		}
	}
}

// TestRequestThatRunsIsAnsweredDuringStop guards against requests that a server runs when a
// graceful shutdown begins, and that get no answer at its end.
func TestRequestThatRunsIsAnsweredDuringStop(t *testing.T) {
	for _, kind := range []desired.RouteKind{desired.KindIdempotent, desired.KindNonIdempotent, desired.KindStream} {
		synctest.Test(t, func(t *testing.T) {
			after, err := duringStop(t, testForwarder(busyServer{}, testPlan(1, 4)), new(Request), kind)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
			require.InDelta(t, stopsAt-stopAnswerMargin, after, float64(time.Millisecond))
		})
	}
}

// TestShortRequestWaitsDuringStop guards against the refusal of a request that ends before the
// shutdown, and of one that no caller waits for.
func TestShortRequestWaitsDuringStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deadline = 7 * time.Second
		after, err := duringStop(t, testForwarder(busyServer{full: true}, testPlan(1, 4)), &Request{Deadline: time.Now().Add(deadline)}, desired.KindIdempotent)
		require.Equal(t, verdict.ReasonOverload, verdict.ReasonOf(err))
		require.InDelta(t, deadline, after, float64(100*time.Millisecond))
	})
	synctest.Test(t, func(t *testing.T) {
		after, _ := duringStop(t, testForwarder(busyServer{full: true}, testPlan(1, 4)), &Request{Background: true}, desired.KindIdempotent)
		require.InDelta(t, stopsAt-stopAnswerMargin, after, float64(time.Millisecond))
	})
}

// slowStream sends its events 2 s apart until it is closed.
type slowStream struct {
	Stream
	next   int
	closed atomic.Bool
}

func (s *slowStream) Header() http.Header       { return nil }
func (s *slowStream) Version() registry.Version { return 1 }
func (s *slowStream) Close()                    { s.closed.Store(true) }
func (s *slowStream) Next() (Event, error) {
	if s.next == 4 {
		return Event{}, ErrStreamEnd
	}
	time.Sleep(2 * time.Second)
	if s.closed.Load() {
		return Event{}, verdict.New(verdict.MayHaveRun, verdict.ReasonTruncatedAnswer, "closed")
	}
	s.next++
	return Event{ID: s.next}, nil
}

type slowStreams struct{ Sender }

func (slowStreams) OpenStream(context.Context, *Target, *Request, int, time.Duration) (Stream, error) {
	return new(slowStream), nil
}

// TestStreamOutlastsStopAnswers guards against a stream that is cut off before the end of a
// graceful shutdown, although it has begun and no other answer can follow.
func TestStreamOutlastsStopAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := testForwarder(slowStreams{}, testPlan(1, 4))
		f.Plans.Load().Desired.Routes[0].Timeout = 10 * time.Second
		f.BeginStop(time.Now().Add(time.Second), time.Now().Add(3*time.Second))
		require.NoError(t, f.ForwardStream(t.Context(), &Request{ID: "q", Host: "h", Path: "/x"}, noWriter{}))
	})
}
