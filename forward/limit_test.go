package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// fixedPermits answers each request for a permit of a server with the permit of that server.
type fixedPermits struct {
	permits map[string]Permit
	asked   atomic.Int32
}

func (p *fixedPermits) Acquire(_ context.Context, r PermitRequest) Permit {
	p.asked.Add(1)
	permit := p.permits[r.Server]
	permit.Granted = permit.Granted && permit.Wait <= r.MaxWait
	return permit
}

// countingSender answers all requests and counts them by server.
type countingSender struct {
	Sender
	sent map[string]int
}

func (s *countingSender) Send(_ context.Context, to *Target, _ *Request, _ time.Duration) (*Answer, error) {
	s.sent[to.ID]++
	return &Answer{Status: 200}, nil
}

func limitedForwarder(servers int, permits map[string]Permit) (*Forwarder, *countingSender, *fixedPermits) {
	s, p := &countingSender{sent: make(map[string]int)}, &fixedPermits{permits: permits}
	plan := testPlan(servers, 4)
	f := testForwarder(s, plan)
	f.Permits = p
	for _, target := range plan.Services["s"] {
		if _, limited := permits[target.ID]; limited {
			target.Load.RecordLimit(1)
		}
	}
	return f, s, p
}

// TestNoPermitNoRequest guards against a request that reaches a server whose limit is used
// up, and against a caller that waits for a permit which comes after its deadline.
func TestNoPermitNoRequest(t *testing.T) {
	f, s, p := limitedForwarder(2, map[string]Permit{"a": {Wait: time.Minute}, "b": {Wait: time.Minute}})
	start := time.Now()
	_, err := f.Forward(context.Background(), &Request{ID: "q", Host: "h", Path: "/x"})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, verdict.ReasonOverload, verdict.ReasonOf(err))
	_, stated := verdict.RetryAfter(err)
	require.True(t, stated)
	require.Less(t, time.Since(start), 100*time.Millisecond, "rejected at once, not at the deadline of 200 ms")
	require.Empty(t, s.sent)
	require.EqualValues(t, 2, p.asked.Load(), "each server once")

	_, err = f.Forward(context.Background(), &Request{ID: "r", Host: "h", Path: "/x"})
	require.Equal(t, verdict.ReasonOverload, verdict.ReasonOf(err))
	require.EqualValues(t, 2, p.asked.Load(), "the expected wait is known")
}

// TestServersWithoutLimitComeFirst guards against requests that use up the limit of a server
// while another server has room.
func TestServersWithoutLimitComeFirst(t *testing.T) {
	f, s, p := limitedForwarder(2, map[string]Permit{"a": {Granted: true}})
	for range 20 {
		_, err := f.Forward(context.Background(), &Request{ID: "q", Host: "h", Path: "/x"})
		require.NoError(t, err)
	}
	require.Equal(t, map[string]int{"b": 20}, s.sent)
	require.Zero(t, p.asked.Load())
}

// TestReservedPermitIsAwaited guards against a request that is sent before its permit.
func TestReservedPermitIsAwaited(t *testing.T) {
	const wait = 60 * time.Millisecond
	f, s, _ := limitedForwarder(1, map[string]Permit{"a": {Granted: true, Wait: wait}})
	start := time.Now()
	_, err := f.Forward(context.Background(), &Request{ID: "q", Host: "h", Path: "/x"})
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(start), wait)
	require.Equal(t, 1, s.sent["a"])
}

// slowPermits grants after a delay, as to a host that was paused meanwhile.
type slowPermits struct{ delay time.Duration }

func (p slowPermits) Acquire(context.Context, PermitRequest) Permit {
	time.Sleep(p.delay)
	return Permit{Granted: true}
}

// TestOldPermitIsNotUsed guards against a host that is paused after it received a permit and
// uses it when others have used the limit.
func TestOldPermitIsNotUsed(t *testing.T) {
	target := &Target{ID: "a", Load: new(Load)}
	target.Load.RecordLimit(1)
	err := AwaitPermit(context.Background(), slowPermits{permitTTL + 20*time.Millisecond}, target, false, time.Second)
	require.Equal(t, verdict.ReasonServerLimit, verdict.ReasonOf(err))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

// TestBackgroundRequestsAskInTurn guards against many requests in the background that all ask
// for a permit each time one may be available.
func TestBackgroundRequestsAskInTurn(t *testing.T) {
	target, p := &Target{ID: "a", Load: new(Load)}, &fixedPermits{permits: map[string]Permit{"a": {Wait: time.Second}}}
	target.Load.RecordLimit(1)
	for range 50 {
		err := AwaitPermit(context.Background(), p, target, true, 0)
		require.Equal(t, verdict.ReasonServerLimit, verdict.ReasonOf(err))
	}
	require.EqualValues(t, 1, p.asked.Load())
}
