package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/accesskey"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	shareServers, shareSlots, shareQueueLength = 3, 4, 24

	shareService  = 25 * time.Millisecond
	shareDeadline = 500 * time.Millisecond
)

// sharedServers are the servers of a service, which all hosts send to.
type sharedServers struct {
	Sender
	mu      sync.Mutex
	start   time.Time
	servers map[string]*simulatedServer
}

func (s *sharedServers) Send(ctx context.Context, to *Target, _ *Request, _ time.Duration) (*Answer, error) {
	s.mu.Lock()
	end, ok := s.servers[to.ID].arrive(time.Since(s.start), shareSlots, shareQueueLength)
	s.mu.Unlock()
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBackendRefused, "full")
	}
	if !sleep(ctx, end-time.Since(s.start)) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "late")
	}
	s.mu.Lock()
	requests := s.servers[to.ID].requests(time.Since(s.start))
	s.mu.Unlock()
	to.Load.Report(registry.Load{Running: min(shareSlots, requests), Waiting: max(0, requests-shareSlots), Slots: shareSlots}, time.Now())
	return &Answer{Status: 200}, nil
}

// shareWorld has hosts that send requests of organisations to the same servers.
type shareWorld struct {
	hosts   []*Forwarder
	wg      sync.WaitGroup
	mu      sync.Mutex
	served  map[string]int           // answered requests by organisation that were sent before until
	waits   map[string]time.Duration // longest time until an answer by organisation
	errs    map[string]error         // last refusal by organisation
	start   time.Time
	until   time.Duration
	answers int // before until
}

// newShareWorld returns a world with the organisations large and urgent and 83 small ones.
func newShareWorld(t *testing.T, hosts int, firstCome bool) *shareWorld {
	w := &shareWorld{start: time.Now(), until: time.Minute, served: make(map[string]int), waits: make(map[string]time.Duration), errs: make(map[string]error)}
	organisations := []desired.Organisation{{Name: "large", Keys: []string{"large"}}, {Name: "urgent", Keys: []string{"urgent"}, Priority: new(int)}}
	for i := range 83 {
		organisations = append(organisations, desired.Organisation{Name: fmt.Sprint("small", i), Keys: []string{fmt.Sprint(i)}})
	}
	keys, err := accesskey.New(organisations)
	require.NoError(t, err)
	sender := &sharedServers{start: time.Now(), servers: make(map[string]*simulatedServer)}
	random, lock := rand.New(rand.NewPCG(3, 4)), new(sync.Mutex)
	for range hosts {
		p := testPlan(shareServers, shareSlots)
		r := &p.Desired.Routes[0]
		p.Keys, r.Timeout, r.MaxAttempts, r.Priority = keys, shareDeadline, 1, 2
		for _, target := range p.Services["s"] {
			sender.servers[target.ID] = &simulatedServer{service: shareService}
		}
		f := testForwarder(sender, p)
		f.FirstCome = firstCome
		f.Rand = func() float64 { lock.Lock(); defer lock.Unlock(); return random.Float64() }
		w.hosts = append(w.hosts, f)
	}
	return w
}

func (w *shareWorld) send(f *Forwarder, organisation string) {
	w.wg.Go(func() {
		start := time.Now()
		_, err := f.Forward(context.Background(), &Request{ID: "q", Host: "h", Path: "/x", Organisation: organisation, Identified: true})
		w.mu.Lock()
		defer w.mu.Unlock()
		if err != nil {
			w.errs[organisation] = err
			return
		}
		if time.Since(w.start) <= w.until {
			w.answers++
		}
		if start.Sub(w.start) <= w.until {
			w.served[organisation]++
		}
		w.waits[organisation] = max(w.waits[organisation], time.Since(start))
	})
}

// sendSteadily sends requests of an organisation at a rate, to random ones of its hosts.
func (w *shareWorld) sendSteadily(organisation string, hosts []*Forwarder, perSecond float64, until time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	interval := time.Duration(float64(time.Second) / perSecond)
	w.wg.Go(func() {
		time.Sleep(time.Duration(random.Int64N(int64(interval))))
		for at := time.Duration(0); at < until; at += interval {
			w.send(hosts[random.IntN(len(hosts))], organisation)
			time.Sleep(interval)
		}
	})
}

// replaySmall returns the share of its fair share that the worst and the mean small organisation
// got beside one that sends 20 times as much, with 150% of the capacity asked for, and the
// share of the capacity that was used.
func replaySmall(t *testing.T, hosts, largeHosts int, firstCome bool) (worst, mean, large, used float64) {
	const duration, small = 5 * time.Second, 480.0 / 84
	synctest.Test(t, func(t *testing.T) {
		w := newShareWorld(t, hosts, firstCome)
		w.until = duration
		for i := range 83 {
			w.sendSteadily(fmt.Sprint("small", i), w.hosts, small, duration+shareDeadline, uint64(i))
		}
		w.sendSteadily("large", w.hosts[:largeHosts], 20*small, duration+shareDeadline, 100)
		w.wg.Wait()
		capacity := float64(shareServers*shareSlots) * float64(duration) / float64(shareService)
		fair := capacity / 84
		worst = 10
		for i := range 83 {
			n := float64(w.served[fmt.Sprint("small", i)])
			worst, mean = min(worst, n/fair), mean+n/fair/83
		}
		large, used = float64(w.served["large"])/fair, float64(w.answers)/capacity
		t.Logf("hosts %d, large at %d, first come %v: small worst %.2f mean %.2f of the fair share, large %.2f, used %.2f", hosts, largeHosts, firstCome, worst, mean, large, used)
	})
	return worst, mean, large, used
}

// TestSmallOrganisationsKeepTheirShare guards against a large organisation that pushes small
// ones out, and against capacity that the order leaves unused.
func TestSmallOrganisationsKeepTheirShare(t *testing.T) {
	for _, c := range [][2]int{{1, 1}, {6, 6}, {6, 1}, {12, 12}} {
		worst, mean, large, used := replaySmall(t, c[0], c[1], false)
		_, baseMean, baseLarge, baseUsed := replaySmall(t, c[0], c[1], true)
		require.GreaterOrEqual(t, worst, map[bool]float64{true: 0.9, false: 0.25}[c[0] == 1])
		require.GreaterOrEqual(t, mean, 0.9)
		require.Greater(t, used, baseUsed-0.05)
		require.Less(t, 2*(1-mean), 1-baseMean, "small ones lack less than half as much")
		require.Less(t, 2*large, baseLarge, "the large one takes less than half as much")
	}
}

// TestEachSmallOrganisationOverManyHosts guards against single organisations that get less than
// nine tenths of their share because the hosts at which they wait have less room than others.
func TestEachSmallOrganisationOverManyHosts(t *testing.T) {
	for _, hosts := range []int{6, 12} {
		worst, _, _, _ := replaySmall(t, hosts, hosts, false)
		require.GreaterOrEqual(t, worst, 0.9, "%d hosts", hosts)
	}
}

// TestBurstAndReturn guards against a burst of one organisation that others wait for, against
// priorities that are not kept, and against an organisation that was idle and is refused when
// it returns.
func TestBurstAndReturn(t *testing.T) {
	replay := func(firstCome bool) (w *shareWorld) {
		synctest.Test(t, func(t *testing.T) {
			w = newShareWorld(t, 1, firstCome)
			w.sendSteadily("large", w.hosts, 2000, 2*time.Second, 1)
			time.Sleep(time.Second)
			w.sendSteadily("urgent", w.hosts, 20, time.Second, 2)
			for range 4 {
				w.send(w.hosts[0], "small1")
			}
			w.wg.Wait()
			after, stated := verdict.RetryAfter(w.errs["large"])
			require.True(t, stated)
			require.Positive(t, after)
			require.Equal(t, verdict.NotRun, verdict.Of(w.errs["large"]))
			require.Equal(t, verdict.ReasonOverload, verdict.ReasonOf(w.errs["large"]))
		})
		t.Logf("first come %v: small1 %d in %s, urgent %d in %s, large %d", firstCome, w.served["small1"], w.waits["small1"], w.served["urgent"], w.waits["urgent"], w.served["large"])
		return w
	}
	w, base := replay(false), replay(true)
	require.Equal(t, 4, w.served["small1"])
	require.Equal(t, 20, w.served["urgent"])
	require.Less(t, max(w.waits["small1"], w.waits["urgent"]), 4*shareService)
	require.True(t, base.served["small1"] < 4 || base.waits["small1"] > 4*shareService)
}

// TestOtherZoneServesAtOnce guards against requests that wait for the servers of their zone
// while those of another zone have room: without servers in the zone, with slow and with full ones.
func TestOtherZoneServesAtOnce(t *testing.T) {
	now := time.Now()
	for name, change := range map[string]func(own *Target){
		"gone":    func(own *Target) { own.Zone = "c" },
		"slow":    func(own *Target) { own.Load.recordResponse(100*time.Millisecond, now) },
		"suspect": func(own *Target) { own.Suspect = true },
		"full":    func(own *Target) { own.Load.Report(registry.Load{Running: 4, Slots: 4}, now) },
	} {
		p := testPlan(2, 4)
		own, other := p.Services["s"][0], p.Services["s"][1]
		own.Load.recordResponse(30*time.Millisecond, now)
		other.Load.recordResponse(30*time.Millisecond, now)
		other.Zone = "b"
		c := chooser{now: now, random: func() float64 { return 0 }}
		require.Same(t, own, c.choose(p, "s").target)
		change(own)
		if name == "gone" {
			p.Services["s"] = p.Services["s"][1:]
		}
		best := c.choose(p, "s")
		require.Same(t, other, best.target, name)
		require.False(t, best.queued)
	}
}

// TestNoOrganisationsNoOrder guards against an order of requests in deployments that do not
// tell callers apart, and for background requests, which yield to callers.
func TestNoOrganisationsNoOrder(t *testing.T) {
	f := testForwarder(nil, testPlan(1, 1))
	p := f.Plans.Load()
	full := choice{target: p.Services["s"][0], queued: true}
	require.False(t, f.mustWait(p, "s", false, full))
	p.Keys = new(accesskey.Index)
	require.True(t, f.mustWait(p, "s", false, full))
	require.False(t, f.mustWait(p, "s", true, full))
	require.False(t, f.mustWait(p, "s", false, choice{target: full.target}))
}

// BenchmarkChoiceWithRoom measures the decision on the route of a request when there is room.
func BenchmarkChoiceWithRoom(b *testing.B) {
	p := testPlan(5, 6)
	p.Keys = new(accesskey.Index)
	f := testForwarder(nil, p)
	f.shareQueue("s")
	c := chooser{now: time.Now(), random: f.Rand}
	for b.Loop() {
		if f.mustWait(p, "s", false, c.choose(p, "s")) {
			b.Fatal("there is room")
		}
	}
}

// TestShortDeadlinesAndStreams guards against requests that wait although their deadline is too
// close, against streams that wait outside the order, and against places that are kept by them.
func TestShortDeadlinesAndStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newShareWorld(t, 1, false)
		f := w.hosts[0]
		w.sendSteadily("large", w.hosts, 1000, time.Second, 1)
		time.Sleep(900 * time.Millisecond)
		q, start := f.shareQueue("s"), time.Now()
		waiting := q.length.Load()
		require.Positive(t, waiting)
		r := &Request{ID: "q", Host: "h", Path: "/x", Organisation: "large", Identified: true, Deadline: start.Add(60 * time.Millisecond)}
		_, err := f.Forward(context.Background(), r)
		streamErr := f.ForwardStream(context.Background(), r, nil)
		for _, err := range []error{err, streamErr} {
			require.Equal(t, verdict.NotRun, verdict.Of(err))
			require.Equal(t, verdict.ReasonOverload, verdict.ReasonOf(err))
			_, stated := verdict.RetryAfter(err)
			require.True(t, stated)
		}
		require.Zero(t, time.Since(start), "rejected at once")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		defer cancel()
		r.Organisation, r.Deadline = "small1", time.Time{}
		require.Equal(t, verdict.NotRun, verdict.Of(f.ForwardStream(ctx, r, nil)))
		w.wg.Wait()
		require.Zero(t, q.queue.Len())
		for _, target := range f.Plans.Load().Services["s"] {
			require.Zero(t, target.Load.InFlight.Load())
		}
	})
}

// TestUsedUpLimitIsRejectedAtOnce guards against requests of organisations that wait until their
// deadline for a permit which comes after it.
func TestUsedUpLimitIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, _ := limitedForwarder(1, map[string]Permit{"a": {Wait: time.Minute}})
		f.Plans.Load().Keys = new(accesskey.Index)
		start := time.Now()
		_, err := f.Forward(context.Background(), &Request{ID: "q", Host: "h", Path: "/x"})
		require.Equal(t, verdict.ReasonOverload, verdict.ReasonOf(err))
		require.Less(t, time.Since(start), 100*time.Millisecond)
	})
}
