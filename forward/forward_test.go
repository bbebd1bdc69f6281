package forward_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// sender is a Sender that answers each attempt with reply. reply gets the server id and the
// number of the attempt, starting at 1.
type sender struct {
	mu    sync.Mutex
	calls []string
	reply func(ctx context.Context, server string, n int) (*forward.Answer, error)
	ended int // number of attempts whose context ended
}

func (s *sender) Send(ctx context.Context, to *forward.Target, _ *forward.Request, _ time.Duration) (*forward.Answer, error) {
	s.mu.Lock()
	s.calls = append(s.calls, to.ID)
	n := len(s.calls)
	s.mu.Unlock()
	return s.reply(ctx, to.ID, n)
}

func (s *sender) OpenStream(context.Context, *forward.Target, *forward.Request, int, time.Duration) (forward.Stream, error) {
	return nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "sender does not support streams")
}

// servers returns the servers of the attempts in order.
func (s *sender) servers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

// wait does not answer until the context of the attempt ends.
func (s *sender) wait(ctx context.Context) (*forward.Answer, error) {
	<-ctx.Done()
	s.mu.Lock()
	s.ended++
	s.mu.Unlock()
	return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.ReasonCanceled, "context ended")
}

// newForwarder returns a forwarder with one route to a service of three servers, and the
// outcomes that it reports.
func newForwarder(s *sender, kind desired.RouteKind) (*forward.Forwarder, *[]forward.Outcome) {
	var outcomes []forward.Outcome
	var mu sync.Mutex
	f := &forward.Forwarder{
		Plans: new(forward.AtomicPlan), Sender: s, Log: zap.NewNop(), Rand: func() float64 { return 0 },
		Count: func(string, verdict.Reason) {},
		Report: func(o forward.Outcome) {
			mu.Lock()
			outcomes = append(outcomes, o)
			mu.Unlock()
		},
	}
	plan := &forward.Plan{Zone: "a", Services: map[string][]*forward.Target{}, Desired: &desired.State{Routes: []desired.Route{{
		Name: "r", Host: "h", Prefix: "/p/", Kind: kind, Services: []desired.WeightedService{{Service: "s", Weight: 1}},
		Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 3,
	}}}}
	for _, id := range []string{"s1", "s2", "s3"} {
		plan.Services["s"] = append(plan.Services["s"], &forward.Target{ID: id, Zone: "a", Slots: 4, Software: "v1", Load: new(forward.Load)})
	}
	f.Plans.Publish(plan)
	return f, &outcomes
}

func request() *forward.Request {
	return &forward.Request{ID: "q", Method: "POST", Host: "h", Path: "/p/x", Target: "/p/x"}
}

var ok = &forward.Answer{Status: http.StatusOK, Stamp: "s"}

func lost() error { return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "lost") }
func full() error { return verdict.New(verdict.NotRun, verdict.ReasonBackendRefused, "full") }

// TestIdempotentRequestIsRetriedElsewhere guards against a lost response that is returned to
// the caller as an error although another server can answer, and against a second attempt at
// the same server.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	s := &sender{reply: func(_ context.Context, _ string, n int) (*forward.Answer, error) {
		if n == 1 {
			return nil, lost()
		}
		return ok, nil
	}}
	f, _ := newForwarder(s, desired.KindIdempotent)
	a, err := f.Forward(context.Background(), request())
	require.NoError(t, err)
	require.Equal(t, 200, a.Status)
	require.Len(t, s.servers(), 2)
	require.NotEqual(t, s.servers()[0], s.servers()[1])
}

// TestNonIdempotentRequestRunsOnce guards against a second run of a request that must not be
// repeated, and against the verdict "not run" for a request that may have run.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	s := &sender{reply: func(context.Context, string, int) (*forward.Answer, error) { return nil, lost() }}
	f, _ := newForwarder(s, desired.KindNonIdempotent)
	_, err := f.Forward(context.Background(), request())
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.Len(t, s.servers(), 1)

	s = &sender{reply: func(_ context.Context, _ string, n int) (*forward.Answer, error) {
		if n < 3 {
			return nil, full()
		}
		return ok, nil
	}}
	f, _ = newForwarder(s, desired.KindNonIdempotent)
	_, err = f.Forward(context.Background(), request())
	require.NoError(t, err, "a refused attempt did not run, so the request may be retried")
}

// TestHedgedAttempt guards against a caller that waits for a server that never responds, and
// against an attempt that is not canceled after another one was answered.
func TestHedgedAttempt(t *testing.T) {
	s := &sender{}
	s.reply = func(ctx context.Context, _ string, n int) (*forward.Answer, error) {
		if n == 1 {
			return s.wait(ctx)
		}
		return ok, nil
	}
	f, _ := newForwarder(s, desired.KindIdempotent)
	start := time.Now()
	_, err := f.Forward(context.Background(), request())
	require.NoError(t, err)
	require.Less(t, time.Since(start), 500*time.Millisecond)
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.ended == 1 }, time.Second, time.Millisecond)
}

// TestServerFailureIsReturned guards against more runs than the route allows, and against an
// error that replaces the failure response of the server.
func TestServerFailureIsReturned(t *testing.T) {
	s := &sender{reply: func(context.Context, string, int) (*forward.Answer, error) {
		return &forward.Answer{Status: 500, Stamp: "s"}, nil
	}}
	f, _ := newForwarder(s, desired.KindIdempotent)
	a, err := f.Forward(context.Background(), request())
	require.NoError(t, err)
	require.Equal(t, 500, a.Status)
	require.Equal(t, 3, a.Failures)
	require.Len(t, s.servers(), 3)
}

// TestUnconfirmedRefusalMayHaveRun guards against an answer of which a caller would conclude that a
// request that may not be repeated has not run, and against a server that counts as sound after it.
func TestUnconfirmedRefusalMayHaveRun(t *testing.T) {
	s := &sender{reply: func(context.Context, string, int) (*forward.Answer, error) {
		return &forward.Answer{Status: http.StatusTooManyRequests, Stamp: "s", UnconfirmedRefusal: true}, nil
	}}
	f, outcomes := newForwarder(s, desired.KindNonIdempotent)
	counted := make(map[string]verdict.Reason)
	f.Count = func(name string, reason verdict.Reason) { counted[name] = reason }
	answer, err := f.Forward(context.Background(), request())
	require.Nil(t, answer)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.Equal(t, map[string]verdict.Reason{"refused": verdict.ReasonUnconfirmedRefusal}, counted)
	require.Len(t, s.servers(), 1)
	require.True(t, (*outcomes)[0].Failed)
	require.True(t, (*outcomes)[0].Answered)
}

// TestRefusedEverywhereIsNotRun guards against the verdict "may have run" for a request that
// every server refused, which would keep the caller from repeating it, and against full
// servers that are reported as failed.
func TestRefusedEverywhereIsNotRun(t *testing.T) {
	s := &sender{reply: func(context.Context, string, int) (*forward.Answer, error) { return nil, full() }}
	f, outcomes := newForwarder(s, desired.KindNonIdempotent)
	r := request()
	r.Deadline = time.Now().Add(100 * time.Millisecond)
	_, err := f.Forward(context.Background(), r)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	for _, o := range *outcomes {
		require.False(t, o.Failed, "a full server has not failed")
	}
}

// TestUnknownRoute guards against the reason unknown_route, which becomes status 404, before
// the host has received a desired state.
func TestUnknownRoute(t *testing.T) {
	f, _ := newForwarder(&sender{}, desired.KindIdempotent)
	r := request()
	r.Path = "/other/x"
	_, err := f.Forward(context.Background(), r)
	require.Equal(t, verdict.ReasonUnknownRoute, verdict.ReasonOf(err))
	f.Plans = new(forward.AtomicPlan)
	_, err = f.Forward(context.Background(), request())
	require.Equal(t, verdict.ReasonNotReady, verdict.ReasonOf(err))
}

// TestMalformedAnswerEndsOneRequest guards against an answer that ends the process because
// its decoding panics.
func TestMalformedAnswerEndsOneRequest(t *testing.T) {
	s := &sender{reply: func(_ context.Context, _ string, n int) (*forward.Answer, error) {
		if n == 1 {
			panic("malformed answer")
		}
		return ok, nil
	}}
	f, _ := newForwarder(s, desired.KindIdempotent)
	_, err := f.Forward(context.Background(), request())
	require.NoError(t, err)
	f, _ = newForwarder(&sender{reply: s.reply}, desired.KindNonIdempotent)
	_, err = f.Forward(context.Background(), request())
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.Equal(t, verdict.ReasonInternal, verdict.ReasonOf(err))
}

// TestOnlyFailedRequestsCount guards against items that are terminated because servers stopped
// their scoring requests at the deadline that this host had given, or were faulty themselves.
func TestOnlyFailedRequestsCount(t *testing.T) {
	for _, c := range []struct{ statuses, failures [3]int }{
		{[3]int{504, 504, 504}, [3]int{0, 0, 0}},
		{[3]int{502, 503, 501}, [3]int{0, 0, 0}},
		{[3]int{500, 504, 500}, [3]int{1, 1, 2}},
	} {
		for attempts := 1; attempts <= 3; attempts++ {
			s := &sender{reply: func(_ context.Context, _ string, n int) (*forward.Answer, error) {
				return &forward.Answer{Status: c.statuses[n-1]}, nil
			}}
			f, _ := newForwarder(s, desired.KindIdempotent)
			f.Plans.Load().Desired.Routes[0].MaxAttempts = attempts
			answer, err := f.Forward(context.Background(), request())
			require.NoError(t, err)
			require.Equal(t, c.statuses[attempts-1], answer.Status)
			require.Equal(t, c.failures[attempts-1], answer.Failures, "%d attempts, answers %v", attempts, c.statuses)
		}
	}
}

// TestRequestHasTimeoutOfItsOwn guards against scoring requests that end at the timeout of their
// route, which operators choose for callers.
func TestRequestHasTimeoutOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sender{reply: func(ctx context.Context, _ string, _ int) (*forward.Answer, error) {
			select {
			case <-time.After(2 * time.Second):
				return &forward.Answer{Status: http.StatusOK}, nil
			case <-ctx.Done():
				return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "deadline")
			}
		}}
		f, _ := newForwarder(s, desired.KindIdempotent) // the route has 1 s
		r := request()
		_, err := f.Forward(context.Background(), r)
		require.Equal(t, verdict.ReasonDeadline, verdict.ReasonOf(err))
		r.Timeout = 3 * time.Second
		answer, err := f.Forward(context.Background(), r)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.Status)
	})
}
