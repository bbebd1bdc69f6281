package forward

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// firstTarget records the server of the first attempt and answers it.
type firstTarget struct {
	Sender
	id string
}

func (s *firstTarget) Send(_ context.Context, to *Target, _ *Request, _ time.Duration) (*Answer, error) {
	s.id = to.ID
	return &Answer{Status: 200}, nil
}

// randomPlan returns a plan with servers in random states. Expected times are either at most
// 4 s or at least 20 s and the timeout is 10 s, so that the time that a test takes does not
// change decisions.
func randomPlan(rng *rand.Rand, now time.Time) *Plan {
	p := testPlan(rng.IntN(5), 1+rng.IntN(4))
	later := now.Add(time.Minute) // measurements do not become too old during the test
	p.Desired.Routes[0].Timeout = 10 * time.Second
	p.Desired.Routes[0].Resumable = rng.IntN(2) == 0
	chance := func(percent int) bool { return rng.IntN(100) < percent }
	full := chance(20)
	for _, t := range p.Services["s"] {
		t.Zone, t.Suspect = string(rune('a'+rng.IntN(2))), chance(20)
		t.AvoidNewStreams, t.HoldNewStreams = chance(30), chance(20)
		if chance(70) {
			t.Load.recordResponse(time.Duration(10+rng.IntN(300))*time.Millisecond, later)
		}
		t.Load.InFlight.Store(rng.Int32N(6))
		if chance(30) {
			t.Load.Report(registry.Load{Running: rng.IntN(8), Waiting: 10_000 * rng.IntN(2)}, later)
		}
		if full || chance(20) {
			t.Load.recordRefusal(20*time.Second, now)
		}
		if chance(30) {
			t.Load.RecordLimit(float64(1 + rng.IntN(5)))
			t.Load.nextCallerPermit.Store(now.Add(time.Duration(rng.IntN(2)) * 20 * time.Second).UnixNano())
		}
		t.Load.suspects.Store(int32(rng.IntN(2)))
	}
	return p
}

// grantAll grants all permits at once.
type grantAll struct{}

func (grantAll) Acquire(context.Context, PermitRequest) Permit { return Permit{Granted: true} }

// TestExplanationAgreesWithForward guards against an explanation that names another server or
// another refusal than a request gets.
func TestExplanationAgreesWithForward(t *testing.T) {
	outcomes := make(map[verdict.Reason]int)
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		sender := new(firstTarget)
		f := testForwarder(sender, randomPlan(rng, time.Now()))
		f.Permits, f.Rand = grantAll{}, func() float64 { return 0 }
		r := &Request{ID: strconv.FormatUint(seed, 10), Host: "h", Path: "/x"}
		if rng.IntN(10) == 0 {
			f.Quarantine.Publish(map[string]bool{r.Fingerprint(): true})
		}
		if rng.IntN(10) == 0 {
			f.BeginStop(time.Now(), time.Now().Add(100*time.Millisecond))
		}
		e, explained := f.Explain(context.Background(), r)
		_, err := f.Forward(context.Background(), r)
		require.Equal(t, verdict.ReasonOf(err), verdict.ReasonOf(explained), "seed %d: %v, %v", seed, err, explained)
		require.Equal(t, verdict.Of(err), verdict.Of(explained), "seed %d", seed)
		outcomes[verdict.ReasonOf(err)]++
		if err == nil {
			require.Equal(t, sender.id, e.Servers[0].ID, "seed %d", seed)
			require.Empty(t, e.Servers[0].LeftOut, "seed %d", seed)
		}
	}
	for _, reason := range []verdict.Reason{verdict.ReasonOf(nil), verdict.ReasonOverload, verdict.ReasonNoBackend, verdict.ReasonDraining, verdict.ReasonQuarantined} {
		require.NotZero(t, outcomes[reason], "%q did not occur in %v", reason, outcomes)
	}
}

// TestStreamExplanationAgreesWithChoice guards against an explanation of a stream that
// disregards which servers may begin it.
func TestStreamExplanationAgreesWithChoice(t *testing.T) {
	refused := 0
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 2))
		p := randomPlan(rng, time.Now())
		p.Desired.Routes[0].Kind = desired.KindStream
		f := testForwarder(nil, p)
		f.Rand = func() float64 { return 0 }
		r := &Request{ID: "q", Host: "h", Path: "/x"}
		e, explained := f.Explain(context.Background(), r)
		s := &streamCall{f: f, r: r, route: &p.Desired.Routes[0]}
		best := s.choose(p)
		require.Equal(t, verdict.ReasonOf(s.checkAttempt(best)), verdict.ReasonOf(explained), "seed %d", seed)
		if best.target == nil {
			refused++
			continue
		}
		require.Equal(t, best.target.ID, e.Servers[0].ID, "seed %d", seed)
	}
	require.NotZero(t, refused)
}

// TestExplanationOfWait guards against a refusal, or a server without a reason, in the
// explanation of a request that waits for room.
func TestExplanationOfWait(t *testing.T) {
	p := testPlan(2, 1)
	for _, target := range p.Services["s"] {
		target.Load.recordRefusal(100*time.Second, time.Now())
	}
	p.Desired.Routes[0].Timeout = time.Hour
	e, err := testForwarder(nil, p).Explain(context.Background(), &Request{ID: "q", Host: "h", Path: "/x"})
	require.NoError(t, err)
	require.InDelta(t, 100_000, e.WaitMS, 50_000)
	require.NotEmpty(t, e.Servers[0].LeftOut)
}
