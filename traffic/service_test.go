package traffic

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// behaviour is the way in which a service handles one request.
type behaviour int

const (
	answers behaviour = iota
	refuses           // refuses the request before running it
	leaves            // refuses because it is shutting down
	breaks            // runs the request, then closes the connection
	behaviourCount
)

// service is a plain service that counts how often it ran each request, by idempotency
// key.
type service struct {
	mu   sync.Mutex
	next []behaviour
	ran  map[string]int
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	b := answers
	if len(s.next) > 0 {
		b, s.next = s.next[0], s.next[1:]
	}
	if b == answers || b == breaks {
		if s.ran == nil {
			s.ran = make(map[string]int)
		}
		s.ran[r.Header.Get("Idempotency-Key")]++
	}
	s.mu.Unlock()
	switch b {
	case refuses, leaves:
		w.Header().Set(headerVerdict, "not_run")
		w.WriteHeader(http.StatusServiceUnavailable)
		if b == leaves {
			_, _ = fmt.Fprint(w, `{"verdict":"not_run","reason":"leaving"}`)
		}
	case breaks:
		panic(http.ErrAbortHandler)
	default:
		_, _ = fmt.Fprint(w, "done")
	}
}

func (s *service) runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[key]
}

func startService(t testing.TB, next ...behaviour) (*service, string) {
	s := &service{next: next}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.Listener.Addr().String()
}

func claimRequest(key string) ServiceRequest {
	return ServiceRequest{Origin: Origin{ID: "r", Caller: "app"}, Route: "claims", Key: key,
		Call: Call{Method: http.MethodPost, Path: "/", Header: http.Header{"Idempotency-Key": {key}}, Body: []byte("x")}}
}

// TestIdempotentCallIsRetriedOnAnotherServer guards against an idempotent call that
// fails although another server would answer, and against missing reports.
func TestIdempotentCallIsRetriedOnAnotherServer(t *testing.T) {
	_, first := startService(t, breaks, breaks)
	_, second := startService(t, leaves)
	_, third := startService(t)
	r, reports := newRouter(t, newPlan(newPool(third, first, second))) // round robin starts with the second backend
	reply, err := r.Serve(t.Context(), ServiceRequest{Route: "search", Call: Call{Method: http.MethodGet, Path: "/"}})
	require.NoError(t, err)
	require.Equal(t, "done", string(reply.Body))
	var reasons []verdict.Reason
	for _, e := range eventsOf[event.AttemptEnded](reports) {
		reasons = append(reasons, e.Reason)
	}
	require.Equal(t, []verdict.Reason{verdict.ReasonConnectionLost, verdict.ReasonBackendLeaving, ""}, reasons)
	require.Equal(t, "live", eventsOf[event.RequestEnded](reports)[0].Class)
}

// TestVerdictCoversAllAttempts guards against the verdict NotRun of the last attempt
// when an earlier attempt may have run.
func TestVerdictCoversAllAttempts(t *testing.T) {
	_, first := startService(t, breaks)
	_, second := startService(t, refuses)
	r, _ := newRouter(t, newPlan(newPool(second, first)))
	_, err := r.Serve(t.Context(), ServiceRequest{Route: "search", Call: Call{Method: http.MethodGet, Path: "/"}})
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "%v", err)
}

// TestNonIdempotentCalls guards against a claimed call that runs twice, and against a
// call that is sent without a claim.
func TestNonIdempotentCalls(t *testing.T) {
	s, address := startService(t, refuses, answers, breaks)
	other, second := startService(t)
	claims := new(fakeClaims)
	r, _ := newRouter(t, newPlan(newPool(second, address)))
	r.Claims = claims
	call := func(key string) error {
		_, err := r.Serve(t.Context(), claimRequest(key))
		require.Eventually(t, func() bool { return r.InFlight.Count() == 0 }, time.Second, time.Millisecond)
		return err
	}
	requireVerdict(t, verdict.NotRun, verdict.ReasonMissingKey, call(""))
	require.NoError(t, call("k1"), "a refusal before running allows another server")
	require.NoError(t, call("k1"), "the stored answer is replayed")
	require.Equal(t, 1, s.runs("k1")+other.runs("k1"))
	changed := claimRequest("k1")
	changed.Call.Body = []byte("other")
	_, err := r.Serve(t.Context(), changed)
	requireVerdict(t, verdict.NotRun, verdict.ReasonConflict, err)
	r.Plans.Publish(newPlan(newPool(address)))
	require.NoError(t, call("k2"))
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonConnectionLost, call("k3"))
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonDuplicateRequest, call("k3"))
	claims.down = true
	requireVerdict(t, verdict.NotRun, verdict.ReasonStoreUnavailable, call("k4"))
	require.Equal(t, []int{1, 1}, []int{s.runs("k2"), s.runs("k3")})
	require.Zero(t, s.runs("k4"))
}

// TestClaimedCallsRunAtMostOnce guards against a call that runs twice under one key,
// whatever the servers do and however many concurrent requests use the key. It also
// guards against a wrong verdict NotRun.
func TestClaimedCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		behaviours := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
		}), 0, 6)
		var services []*service
		var addresses []string
		for i := range rapid.IntRange(1, 3).Draw(rt, "servers") {
			s := &service{next: behaviours.Draw(rt, fmt.Sprint("server ", i))}
			server := httptest.NewServer(s)
			defer server.Close()
			services, addresses = append(services, s), append(addresses, server.Listener.Addr().String())
		}
		r, _ := newRouter(t, newPlan(newPool(addresses...)))
		r.Claims = new(fakeClaims)
		var mu sync.Mutex
		outcomes := make(map[verdict.Verdict]int)
		var calls sync.WaitGroup
		for range rapid.IntRange(1, 6).Draw(rt, "calls") {
			calls.Go(func() {
				_, err := r.Serve(t.Context(), claimRequest("k"))
				mu.Lock()
				defer mu.Unlock()
				outcomes[verdict.Of(err)]++
			})
		}
		calls.Wait()
		ran := 0
		for _, s := range services {
			ran += s.runs("k")
		}
		if ran > 1 {
			rt.Fatalf("the call ran %d times, expected at most once", ran)
		}
		if ran == 1 && outcomes[verdict.Ran]+outcomes[verdict.MayHaveRun] == 0 {
			rt.Fatal("every answer has the verdict NotRun, but the call ran")
		}
		if outcomes[verdict.Ran] > 0 && ran == 0 {
			rt.Fatal("an answer has the verdict Ran, but the call did not run")
		}
	})
}

// TestClaimedCallFinishesAfterDisconnect guards against losing the outcome of a claimed
// call when the caller disconnects.
func TestClaimedCallFinishesAfterDisconnect(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = w.Write([]byte("done"))
	}))
	defer server.Close()
	r, _ := newRouter(t, newPlan(newPool(server.Listener.Addr().String())))
	r.Claims = new(fakeClaims)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel(); close(release) }()
	_, err := r.Serve(ctx, claimRequest("k"))
	require.NoError(t, err)
	r.InFlight.Close()
	require.Zero(t, r.InFlight.Wait(t.Context()))
	outcome, _ := r.Claims.Claim(t.Context(), "app", "claims", "k", requestHash(claimRequest("k").Call))
	require.Equal(t, ClaimFinished, outcome.State)
}

// TestRefusalsBeforeSending guards against serving a request without a confirmed
// configuration, after its deadline, while the process is draining, or for an unknown
// or overloaded target.
func TestRefusalsBeforeSending(t *testing.T) {
	s, address := startService(t)
	overloaded := newPool(address)
	overloaded.Backends[0].Report = plan.Report{Running: 4, Queued: 400, Slots: 4, TokensPerSecond: 1}
	base := func() *plan.Plan { return newPlan(newPool(address)) }
	expired, draining, noShare := base(), base(), base()
	expired.ValidUntil, draining.Draining = 0, true
	noShare.Classes["live"] = plan.Class{Name: "live"}
	past, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	for _, test := range []struct {
		plan   *plan.Plan
		ctx    context.Context
		route  string
		class  string
		reason verdict.Reason
	}{
		{nil, t.Context(), "search", "", verdict.ReasonConfigUnconfirmed},
		{expired, t.Context(), "search", "", verdict.ReasonConfigUnconfirmed},
		{draining, t.Context(), "search", "", verdict.ReasonDraining},
		{base(), past, "search", "", verdict.ReasonDeadline},
		{base(), t.Context(), "nowhere", "", verdict.ReasonUnknownRoute},
		{base(), t.Context(), "search", "nobody", verdict.ReasonUnknownClass},
		{noShare, t.Context(), "search", "", verdict.ReasonOverload},
		{newPlan(newPool()), t.Context(), "search", "", verdict.ReasonNoBackend},
	} {
		r, _ := newRouter(t, test.plan)
		_, err := r.Serve(test.ctx, ServiceRequest{Origin: Origin{Class: test.class}, Route: test.route, Call: Call{Method: http.MethodGet, Path: "/"}})
		requireVerdict(t, verdict.NotRun, test.reason, err)
	}
	r, _ := newRouter(t, newPlan(overloaded))
	r.Engines = newFakeEngine(generateTokens(100, 1))
	_, err := r.Complete(t.Context(), CompletionRequest{Origin: Origin{Class: "live"}, Model: "match", MaxTokens: 100}, nil)
	requireVerdict(t, verdict.NotRun, verdict.ReasonOverload, err)
	require.Zero(t, s.runs(""))
}

// TestRetryBudget guards against retries that multiply the load during an outage.
func TestRetryBudget(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	address := closed.Addr().String()
	r, reports := newRouter(t, newPlan(newPool(address, address)))
	const requests = 200
	for range requests {
		_, err := r.Serve(t.Context(), ServiceRequest{Route: "search", Call: Call{Method: http.MethodGet, Path: "/"}})
		require.Equal(t, verdict.NotRun, verdict.Of(err))
	}
	limit := requests + int(math.Ceil(requests*retryRatio)) + retryBurst
	require.LessOrEqual(t, len(eventsOf[event.AttemptEnded](reports)), limit)
}

// TestGracefulShutdownWaitsForRequests guards against a graceful shutdown that cuts off
// a request.
func TestGracefulShutdownWaitsForRequests(t *testing.T) {
	f := NewInFlightTracker()
	require.True(t, f.Enter())
	f.Close()
	require.False(t, f.Enter())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	require.Equal(t, 1, f.Wait(ctx))
	f.Leave()
	require.Zero(t, f.Wait(t.Context()))
}
