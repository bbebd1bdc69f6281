package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bounds that callers need. Speeds of servers differ by 30% and more, so an error of 15% does
// not exchange two of them. A change must show within 2 s: an item of 10 to 25 events takes
// about a second, the longest one of 150 events 6 to 9 s, so it still gains by a move.
const (
	maxError  = 0.15
	maxFollow = 2 * time.Second
)

// server is a simulated engine of six slots whose load changes at random every 400 ms. An
// observation of ten events comes every 100 ms.
type server struct {
	unit                          time.Duration
	growth                        float64
	capacity                      float64
	speed                         func(at time.Duration) float64                    // relative duration of work, nil for 1
	state                         func(random *rand.Rand, slowdown float64) float64 // stated slowdown, nil for none
	count                         func(requests int) int                            // stated number of requests, nil for the true one
	random                        *rand.Rand
	noiseFrom, noiseUntil, nextAt time.Duration
	noise                         bool // 15% of the time 2.5 times slower for 600 ms
	requests                      int
}

func (s *server) slowdown(at time.Duration) float64 {
	factor := 1.0
	if s.speed != nil {
		factor = s.speed(at)
	}
	if s.noise && at >= s.noiseUntil {
		pause := time.Duration(s.random.ExpFloat64() * float64(3400*time.Millisecond)) // 600 ms of 4 s are 15%
		s.noiseFrom = at + pause
		s.noiseUntil = s.noiseFrom + 600*time.Millisecond
	}
	if s.noise && at >= s.noiseFrom {
		factor *= 2.5
	}
	return factor
}

// replay observes the server from one time to another and calls check after each observation.
func (s *server) replay(e *Estimator, from, to time.Duration, check func(at time.Duration, requests int)) {
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(1, 2))
	}
	truth := Estimate{Unit: s.unit, Growth: s.growth, Capacity: s.capacity}
	for at := from; at < to; at += 100 * time.Millisecond {
		if at >= s.nextAt {
			s.requests, s.nextAt = 1+s.random.IntN(6), at+400*time.Millisecond
		}
		slowdown := s.slowdown(at)
		took := float64(10*truth.Time(float64(s.requests))) * slowdown * math.Exp(0.15*s.random.NormFloat64())
		o := Observation{At: at, Requests: s.requests, Took: time.Duration(took), Units: 10}
		if s.state != nil {
			o.Slowdown = s.state(s.random, slowdown)
		}
		if s.count != nil {
			o.Requests = s.count(s.requests)
		}
		e.Observe(o)
		if check != nil {
			check(at, s.requests)
		}
	}
}

// deviation returns the largest relative error of the expected times with one to six requests.
func deviation(got, want Estimate) float64 {
	worst := 0.0
	for n := 1.0; n <= 6; n++ {
		worst = max(worst, math.Abs(float64(got.Time(n))/float64(want.Time(n))-1))
	}
	return worst
}

func (s *server) truth() Estimate {
	return Estimate{Unit: s.unit, Growth: s.growth, Capacity: s.capacity}
}

// TestSteadySpeeds guards against an estimate that mixes up the speed of a server with its
// load. Without the comparison at different loads, those of servers that slow down before their
// slots are full are wrong by 39%.
func TestSteadySpeeds(t *testing.T) {
	for _, speed := range []float64{0.7, 1, 1.7} {
		for _, kind := range []struct {
			name             string
			growth, capacity float64
		}{{"even", 0.04, 6}, {"no growth", 0, 6}, {"slows down at 3", 0.02, 3}, {"slows down at once", 0.5, 6}} {
			s := &server{unit: time.Duration(speed * float64(45*time.Millisecond)), growth: kind.growth, capacity: kind.capacity}
			e := Estimator{Slots: 6}
			sum, n := 0.0, 0
			s.replay(&e, 0, 60*time.Second, func(at time.Duration, _ int) {
				if at > 30*time.Second {
					sum += deviation(e.Estimate(), s.truth())
					n++
				}
			})
			got := e.Estimate()
			t.Logf("%.1f, %s: unit %s, growth %.2f, capacity %.0f, mean error %.3f", speed, kind.name, got.Unit, got.Growth, got.Capacity, sum/float64(n))
			require.Less(t, sum/float64(n), maxError)
			if kind.capacity < 6 {
				require.InDelta(t, kind.capacity, got.Capacity, 1, "further requests add no throughput")
			}
		}
	}
}

// TestChangesAreFollowed guards against an estimate that stays behind a server that becomes
// slower or faster, at once or by and by. A mean over the life of the server fails each case.
func TestChangesAreFollowed(t *testing.T) {
	const change = 30 * time.Second
	for name, speed := range map[string]func(at time.Duration) float64{
		"slower": func(at time.Duration) float64 { return map[bool]float64{false: 1, true: 1.7}[at >= change] },
		"faster": func(at time.Duration) float64 { return map[bool]float64{false: 1.7, true: 0.7}[at >= change] },
		"drift":  func(at time.Duration) float64 { return 1 + 0.7*float64(at)/float64(60*time.Second) },
	} {
		s := &server{unit: 45 * time.Millisecond, growth: 0.04, capacity: 6, speed: speed}
		e := Estimator{Slots: 6}
		followed, worst := time.Duration(0), 0.0
		s.replay(&e, 0, 60*time.Second, func(at time.Duration, _ int) {
			want := s.truth()
			want.Unit = time.Duration(float64(want.Unit) * speed(at))
			d := deviation(e.Estimate(), want)
			if at >= change && d > 2*maxError {
				followed = at - change
			}
			if at >= change+maxFollow {
				worst = max(worst, d)
			}
		})
		t.Logf("%s: followed after %s, largest error afterwards %.3f", name, followed, worst)
		require.Less(t, followed, maxFollow, name)
		require.Less(t, worst, 2*maxError, name)
	}
}

// TestNoiseIsDisregarded guards against estimates that follow noise: 15% of the servers 2.5
// times slower for 600 ms. The newest slice alone is wrong for 21% of the time.
func TestNoiseIsDisregarded(t *testing.T) {
	wrong, n := 0, 0
	for seed := range uint64(10) {
		s := &server{unit: 45 * time.Millisecond, growth: 0.04, capacity: 6, noise: true, random: rand.New(rand.NewPCG(seed, 1))}
		e := Estimator{Slots: 6}
		s.replay(&e, 0, 120*time.Second, func(at time.Duration, _ int) {
			if at > 10*time.Second {
				n++
				if deviation(e.Estimate(), s.truth()) > 2*maxError {
					wrong++
				}
			}
		})
	}
	t.Logf("wrong by more than %.0f%% for %.3f of the time", 200*maxError, float64(wrong)/float64(n))
	require.Less(t, float64(wrong)/float64(n), 0.05, "periods of noise that follow closely are not told from a change")
}

// TestFreshServer guards against a first observation that counts for long, and against a
// server that gets no work because nothing is known of it.
func TestFreshServer(t *testing.T) {
	e := Estimator{Slots: 6}
	require.False(t, e.Estimate().Known())
	require.Equal(t, 45*time.Millisecond, Assumed(45*time.Millisecond, 6).Time(1))
	require.Equal(t, Assumed(0, 6), e.Estimate())
	e.Observe(Observation{At: 0, Requests: 1, Took: 200 * time.Millisecond, Units: 1}) // cold
	require.Equal(t, 200*time.Millisecond, e.Estimate().Unit)
	e.Observe(Observation{At: 10 * time.Second, Requests: 1, Took: 25 * time.Millisecond, Units: 1})
	require.Equal(t, 25*time.Millisecond, e.Estimate().Unit)
}

// TestSilentServerIsTriedAgain guards against a server that was slow once and is never tried
// again because nothing is heard of it. Without the approach to the assumed time it would stay
// behind the others.
func TestSilentServerIsTriedAgain(t *testing.T) {
	slow := Estimate{Unit: 76 * time.Millisecond, Growth: 0.04, Capacity: 6, At: time.Second}
	assumed := 31 * time.Millisecond
	require.Greater(t, slow.Toward(assumed, 1600*time.Millisecond).Unit, 70*time.Millisecond)
	others := Estimate{Unit: assumed, Growth: 0.04, Capacity: 6}
	require.Less(t, slow.Toward(assumed, 16*time.Second).Time(1), others.Time(6)*3/2)
	require.Less(t, slow.Toward(assumed, 60*time.Second).Time(1), others.Time(4))
}

// TestFalseFigures guards against a server that gets more or less work than it can do because
// it states a slowdown that it does not have, or that it is idle, or nothing.
func TestFalseFigures(t *testing.T) {
	honest := func(_ *rand.Rand, slowdown float64) float64 { return slowdown }
	lie := func(random *rand.Rand, _ float64) float64 { return 0.5 + 3*random.Float64() }
	for _, c := range []struct {
		name      string
		state     func(*rand.Rand, float64) float64
		trust     float64
		momentary float64 // expected factor when 2.5 times the usual slowdown is stated
	}{{"honest", honest, 1, 2.5}, {"random", lie, 0, 1}} {
		s := &server{unit: 45 * time.Millisecond, growth: 0.04, capacity: 6, noise: true, state: c.state}
		e := Estimator{Slots: 6}
		s.replay(&e, 0, 60*time.Second, nil)
		got := e.Estimate()
		t.Logf("%s: trust %.2f", c.name, got.Trust)
		require.InDelta(t, c.trust, got.Trust, 0.3, c.name)
		require.InDelta(t, c.momentary, got.Momentary(2.5*got.Usual), 0.5, c.name)
		require.InEpsilon(t, 1, got.Momentary(got.Usual), 0.01, c.name)
	}
	for _, stated := range []int{0, 1} { // nothing, or idle
		s := &server{unit: 45 * time.Millisecond, growth: 0.5, capacity: 6, count: func(int) int { return stated }}
		e := Estimator{Slots: 6}
		var expected, actual time.Duration
		s.replay(&e, 0, 60*time.Second, func(at time.Duration, requests int) {
			if at > 10*time.Second {
				expected += e.Estimate().Time(1)
				actual += s.truth().Time(float64(requests))
			}
		})
		require.InEpsilon(t, float64(actual), float64(expected), 2*maxError, "the server counts with the times that it takes")
	}
}

// TestChangeOfSpeedIsNotLoad guards against a server that gets less work because it became slower
// in the moment in which its load changed.
func TestChangeOfSpeedIsNotLoad(t *testing.T) {
	e := Estimator{Slots: 6}
	for i := range 40 {
		o := Observation{At: time.Duration(i) * 100 * time.Millisecond, Requests: 1, Took: 45 * time.Millisecond, Units: 1}
		if i >= 20 {
			o.Requests, o.Took = 2, 5*o.Took/2
		}
		e.Observe(o)
	}
	require.InDelta(t, 6, e.Estimate().Capacity, 0)
	require.InDelta(t, priorGrowth, e.Estimate().Growth, 0.03)
}

// TestOddObservations guards against observations and estimates of others that make an
// estimate useless for good.
func TestOddObservations(t *testing.T) {
	e := Estimator{Slots: 6}
	e.Observe(Observation{At: 0, Requests: 1, Took: 45 * time.Millisecond, Units: 1})
	for _, o := range []Observation{
		{Requests: 1, Took: 0, Units: 1}, {Requests: 1, Took: -1, Units: 1}, {Requests: 1, Took: time.Second, Units: 0},
		{Requests: 1, Took: time.Second, Units: math.NaN()}, {Requests: 1, Took: time.Second, Units: math.Inf(1)},
	} {
		e.Observe(o)
	}
	for _, other := range []Estimate{{}, {Unit: -1}, {Unit: 1, Growth: math.NaN(), Capacity: 1}, {Unit: 1, Growth: -1, Capacity: 1}, {Unit: 1, Capacity: math.NaN()}, {Unit: 1, Capacity: 0.5}} {
		e.Learn(other, 0)
	}
	require.Equal(t, 45*time.Millisecond, e.Estimate().Unit)
	for i := range 100 {
		e.Observe(Observation{
			At: time.Duration(i) * 100 * time.Millisecond, Requests: i * i * 1000, Took: time.Duration(1 + i%2*math.MaxInt32), Units: 1, Slowdown: math.Pow(10, float64(i%13-6)),
		})
	}
	got := e.Estimate()
	for _, v := range []float64{got.Growth, got.Capacity, got.Trust, got.Usual, got.Momentary(1e-300), got.Momentary(1e300)} {
		require.False(t, math.IsNaN(v) || math.IsInf(v, 0) || v < 0)
	}
}

// TestLearnedEstimates guards against a host that starts without estimates, and against those
// of others that replace own observations.
func TestLearnedEstimates(t *testing.T) {
	e := Estimator{Slots: 6}
	other := Estimate{Unit: 76 * time.Millisecond, Growth: 0.13, Capacity: 3}
	e.Learn(other, time.Second)
	require.Zero(t, deviation(e.Estimate(), other))
	s := &server{unit: 45 * time.Millisecond, growth: 0.04, capacity: 6}
	s.replay(&e, time.Second, 20*time.Second, nil)
	before := e.Estimate()
	e.Learn(other, 20*time.Second)
	require.InEpsilon(t, float64(before.Unit), float64(e.Estimate().Unit), maxError)
	require.Equal(t, before.Capacity, e.Estimate().Capacity)
}

// BenchmarkObserve measures an observation together with reading the estimate.
func BenchmarkObserve(b *testing.B) {
	e := Estimator{Slots: 6}
	at := time.Duration(0)
	for b.Loop() {
		at += 50 * time.Millisecond
		e.Observe(Observation{At: at, Requests: 1 + int(at/(50*time.Millisecond))%6, Took: 45 * time.Millisecond, Units: 1, Slowdown: 1})
		_ = e.Estimate()
	}
}
