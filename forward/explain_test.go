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

// randomPlan returns a plan with servers in random states. Waits are either far below or far
// above the timeout of the route, so that the time that a test takes does not change decisions.
func randomPlan(rng *rand.Rand, now time.Time) *Plan {
	p := testPlan(rng.IntN(5), 1+rng.IntN(4))
	p.Desired.Routes[0].Resumable = rng.IntN(2) == 0
	chance := func(percent int) bool { return rng.IntN(100) < percent }
	full := chance(40)
	for _, t := range p.Services["s"] {
		t.Zone, t.Suspect = string(rune('a'+rng.IntN(2))), chance(20)
		t.AvoidNewStreams, t.HoldNewStreams = chance(30), chance(20)
		if chance(70) {
			t.Load.recordResponse(time.Duration(10+rng.IntN(300))*time.Millisecond, now)
		}
		t.Load.InFlight.Store(rng.Int32N(6))
		if chance(30) {
			t.Load.Report(registry.Load{Running: rng.IntN(8), Waiting: rng.IntN(40)}, now.Add(time.Minute))
		}
		if full || chance(20) {
			t.Load.recordRefusal(5*time.Second, now)
		}
		if chance(30) {
			t.Load.RecordLimit(float64(1 + rng.IntN(5)))
			t.Load.nextCallerPermit.Store(now.Add(time.Duration(rng.IntN(2)) * 5 * time.Second).UnixNano())
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
