package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// simulatedServer is a server with slots and a bounded queue in virtual time.
type simulatedServer struct {
	service time.Duration
	growth  float64         // relative growth of the service time with each further request
	ends    []time.Duration // ends of the requests that run or wait, in order
}

// requests returns the number of requests that run or wait.
func (s *simulatedServer) requests(now time.Duration) int {
	for len(s.ends) > 0 && s.ends[0] <= now {
		s.ends = s.ends[1:]
	}
	return len(s.ends)
}

// arrive adds a request and returns its end, or false if the queue is full.
func (s *simulatedServer) arrive(now time.Duration, slots, queue int) (time.Duration, bool) {
	if s.requests(now) >= slots+queue {
		return 0, false
	}
	took := time.Duration(float64(s.service) * (1 + s.growth*float64(min(slots-1, len(s.ends)))))
	end := now + took
	if len(s.ends) >= slots {
		end = s.ends[len(s.ends)-slots] + took
	}
	s.ends = append(s.ends, end)
	slices.Sort(s.ends)
	return end, true
}

// replay is a simulation of hosts that send plain requests to five servers of six slots, in steps
// of 1 ms. Each host knows only the responses to its own requests.
type replay struct {
	hosts      int
	burst      int     // requests that each host sends every 250 ms, one each millisecond
	perS       float64 // requests per second of all hosts together, sent one by one, in place of bursts
	background bool
	share      bool
	services   [5]time.Duration // of a request that is alone
	growth     [5]float64
}

func (r replay) String() string {
	return fmt.Sprintf("%d hosts, %g/s, burst %d", r.hosts, r.perS, r.burst)
}

// Policies that are compared: the estimate, its baseline, and the fewest reported requests.
func byEstimate(p *Plan, c *chooser) *Target { return c.choose(p, "s").target }
func bySmoothedResponse(p *Plan, c *chooser) *Target {
	c.baseline = true
	return c.choose(p, "s").target
}

// leastReported chooses the server with the fewest reported requests.
func leastReported(p *Plan, c *chooser) *Target {
	best := p.Services["s"][0]
	for _, t := range p.Services["s"] {
		if t.Load.estimatedRequests(c.now) < best.Load.estimatedRequests(c.now) {
			best = t
		}
	}
	return best
}

// run returns the number of rejections and the mean time until the response in 30 s.
func (r replay) run(choose func(*Plan, *chooser) *Target) (rejected, sent int, mean time.Duration) {
	const steps, burstSteps, slots, queue = 30_000, 250, 6, 24
	random := rand.New(rand.NewPCG(1, 2))
	plans := make([]*Plan, r.hosts)
	estimators := make(map[*Load]*capacity.Estimator)
	for h := range plans {
		plans[h] = testPlan(5, slots)
	}
	servers := make(map[string]*simulatedServer)
	for i, target := range plans[0].Services["s"] {
		servers[target.ID] = &simulatedServer{service: r.services[i], growth: r.growth[i]}
	}
	type request struct {
		host               int
		arrived, sent, end time.Duration
		target             *Target
	}
	epoch := time.Unix(1000, 0)
	var waiting, running []*request
	var total time.Duration
	served := 0
	for step := range steps {
		now := time.Duration(step) * time.Millisecond
		c := &chooser{now: epoch.Add(now), background: r.background, random: random.Float64}
		running = slices.DeleteFunc(running, func(q *request) bool {
			if q.end > now {
				return false
			}
			load := q.target.Load
			queued := servers[q.target.ID].requests(now)
			load.Report(registry.Load{Running: min(slots, queued+1), Waiting: max(0, queued+1-slots), Slots: slots}, c.now)
			load.InFlight.Add(-1)
			observation := load.observe(q.end-q.sent, 1, c.now)
			load.recordResponse(q.end-q.sent, c.now)
			if estimators[load] == nil {
				estimators[load] = &capacity.Estimator{Slots: slots}
			}
			observation.At = now
			estimators[load].Observe(observation)
			load.SetEstimate(estimators[load].Estimate(), false, 0, c.now)
			total += q.end - q.arrived
			served++
			return true
		})
		for h := range r.hosts {
			if r.share && (step+h*37)%4000 == 0 { // as the hosts do, see rollout.ShareServers
				from, to := plans[h].Services["s"], plans[random.IntN(r.hosts)].Services["s"]
				for i := range from {
					exchange(estimators, from[i].Load, to[i].Load, now, c.now)
					exchange(estimators, to[i].Load, from[i].Load, now, c.now)
				}
			}
			if step%burstSteps < r.burst || random.Float64() < r.perS/1000/float64(r.hosts) {
				waiting = append(waiting, &request{host: h, arrived: now})
				sent++
			}
		}
		waiting = slices.DeleteFunc(waiting, func(q *request) bool {
			target := choose(plans[q.host], c)
			if target == nil {
				return false
			}
			end, ok := servers[target.ID].arrive(now, slots, queue)
			if !ok {
				rejected++
				target.Load.recordRefusal(refusalPause(target, c.now), c.now)
				return false
			}
			q.sent, q.end, q.target = now, end, target
			target.Load.InFlight.Add(1)
			running = append(running, q)
			return true
		})
	}
	return rejected, sent, total / time.Duration(max(1, served))
}

// exchange passes the estimate of a host to another if the host measured the server lately.
func exchange(estimators map[*Load]*capacity.Estimator, from, to *Load, at time.Duration, now time.Time) {
	own := estimators[from]
	if own == nil || at-own.Estimate().At > 5*time.Second {
		return
	}
	if estimators[to] == nil {
		estimators[to] = &capacity.Estimator{Slots: 6}
	}
	estimators[to].Learn(own.Estimate(), at)
	to.SetEstimate(estimators[to].Estimate(), false, 0, now)
}

const ms = time.Millisecond

// TestSlowServersAmongFive replays a load at which plain servers rejected 7% of the
// requests: bursts of internal requests to five servers of six slots, of which two respond
// 6.7 times slower. The least loaded server by reported requests is the plain baseline.
func TestSlowServersAmongFive(t *testing.T) {
	r := replay{hosts: 6, burst: 22, background: true, services: [5]time.Duration{200 * ms, 200 * ms, 30 * ms, 30 * ms, 30 * ms}}
	rejected, sent, waited := r.run(byEstimate)
	baseRejected, _, baseWaited := r.run(leastReported)
	t.Logf("rejected %d, mean wait %s; least reported load: rejected %d, mean wait %s", rejected, waited, baseRejected, baseWaited)
	require.Less(t, rejected, sent*2/100, "fewer than 2%% of the requests are rejected")
	require.Greater(t, baseRejected, rejected)
}

// TestUnevenServers guards against requests that go to slower servers although faster ones have
// room, and against hosts that all choose the same server because each sees only its own part.
// Speeds are 0.7 to 1.7 times the usual one; one of the fast servers slows down long before it
// is full. The smoothed response time is the baseline. An ordinary request takes about 25 ms and
// has an objective of 150 ms.
func TestUnevenServers(t *testing.T) {
	for _, r := range []replay{
		{hosts: 83, perS: 12, share: true}, {hosts: 83, perS: 12}, {hosts: 83, perS: 400, share: true}, {hosts: 83, perS: 700, share: true}, {hosts: 83, perS: 800, share: true}, {hosts: 6, burst: 8}, {hosts: 6, burst: 12}, {hosts: 6, burst: 12, background: true},
	} {
		r.services = [5]time.Duration{18 * ms, 18 * ms, 25 * ms, 32 * ms, 43 * ms}
		r.growth = [5]float64{0.04, 0.5, 0.04, 0.04, 0.04}
		rejected, _, mean := r.run(byEstimate)
		baseRejected, _, baseMean := r.run(bySmoothedResponse)
		t.Logf("%s: rejected %d, mean %s; smoothed response: rejected %d, mean %s", r, rejected, mean, baseRejected, baseMean)
		assert.LessOrEqual(t, rejected, baseRejected)
		assert.Less(t, mean, baseMean)
		if r.share && r.perS < 100 {
			assert.Less(t, mean, 25*ms, "hosts that send one request in 7 s know the faster servers from others")
		}
	}
}

// TestSlowZoneIsPassedOver guards against requests that stay with the servers of the own zone
// while these are slow. The first slow response must be enough, although the estimate
// disregards it, and so must a stated slowdown that has proved true.
func TestSlowZoneIsPassedOver(t *testing.T) {
	for name, turnSlow := range map[string]func(own *Load, now time.Time){
		"slow response":  func(own *Load, now time.Time) { own.recordResponse(62*ms, now) },
		"stated to slow": func(own *Load, now time.Time) { own.Report(registry.Load{Slots: 4, Slowdown: 2.5}, now) },
	} {
		p, now := testPlan(3, 4), time.Now()
		p.Services["s"][1].Zone, p.Services["s"][2].Zone = "b", "c"
		for _, target := range p.Services["s"] {
			target.Load.SetEstimate(capacity.Estimate{Unit: 25 * ms, Growth: 0.04, Capacity: 4, Trust: 0.9, Usual: 1}, false, 0, now)
			target.Load.recordResponse(25*ms, now)
		}
		c := chooser{now: now, random: func() float64 { return 0.5 }}
		require.Equal(t, "a", c.choose(p, "s").target.ID, name)
		turnSlow(p.Services["s"][0].Load, now)
		require.NotEqual(t, "a", c.choose(p, "s").target.ID, name)
		c.now = now.Add(surpriseTTL)
		require.Equal(t, "a", c.choose(p, "s").target.ID, "a single response does not count for long")
	}
}

// TestBackgroundRequestsKeepToUsefulLoad guards against internal requests that slow down a server
// without a gain in throughput.
func TestBackgroundRequestsKeepToUsefulLoad(t *testing.T) {
	p, now := testPlan(1, 6), time.Now()
	load := p.Services["s"][0].Load
	load.SetEstimate(capacity.Estimate{Unit: 25 * ms, Capacity: 2}, false, 0, now)
	c := chooser{now: now, random: func() float64 { return 0 }, background: true}
	load.InFlight.Store(1)
	require.NotNil(t, c.choose(p, "s").target)
	load.InFlight.Store(2)
	require.Nil(t, c.choose(p, "s").target)
	c.background = false
	require.NotNil(t, c.choose(p, "s").target, "a caller may wait at the server")
}

// hangingSender answers requests at once, apart from those at one server.
type hangingSender struct {
	Sender
	hanging string
}

func (s *hangingSender) Send(ctx context.Context, to *Target, _ *Request, _ time.Duration) (*Answer, error) {
	if to.ID != s.hanging {
		return &Answer{Status: 200}, nil
	}
	<-ctx.Done()
	return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.ReasonCanceled, "canceled")
}

// TestServerBehindHedgedAttemptIsMeasured guards against a server that became slow and of which
// nothing is learned, because a second attempt elsewhere is always answered first.
func TestServerBehindHedgedAttemptIsMeasured(t *testing.T) {
	p := testPlan(2, 4)
	for i, target := range p.Services["s"] {
		target.Load.SetEstimate(capacity.Estimate{Unit: time.Duration(25+i) * ms, Capacity: 4}, false, 0, time.Now())
	}
	f := testForwarder(&hangingSender{hanging: "a"}, p)
	outcomes := make(chan Outcome, 4)
	f.Report = func(o Outcome) { outcomes <- o }
	_, err := f.Forward(context.Background(), &Request{ID: "q", Host: "h", Path: "/x"})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(outcomes) == 2 }, time.Second, time.Millisecond)
	for range 2 {
		o := <-outcomes
		require.Equal(t, 1.0, o.Work.Units)
		require.Equal(t, o.Server == "a", o.Work.Took > 25*ms, o.Server)
	}
	c := chooser{now: time.Now(), random: func() float64 { return 0 }}
	require.Equal(t, "b", c.choose(p, "s").target.ID, "passed over at once")
}
