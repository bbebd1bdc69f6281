package scaling_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/scaling"
)

const (
	slots  = 6
	tick   = 250 * time.Millisecond
	target = 7500 * time.Millisecond // until a step is due
	period = 4 * time.Second         // between two submissions of a trainer
)

// group is the servers of one kind in a zone of a simulated platform.
type group struct {
	present      int
	ordered      int // as the platform knows it
	starting     map[time.Duration]int
	leavingSince time.Duration
	order        *scaling.Order
}

// job is a step of a trainer.
type job struct {
	began time.Duration
	items float64
	left  float64 // slot seconds
}

// world replays trainers against a simulated platform. A trainer submits its next lot when a
// period is over and its step is ready, so steps are late if there are too few servers.
type world struct {
	t      *testing.T
	now    time.Duration
	bounds desired.Scaling
	demand scaling.Demand
	level  scaling.Level
	limit  int // engines that can load each version
	groups map[string]*group
	jobs   map[string]*job // by model
	next   map[string]time.Duration
	steps  map[string]scaling.Step
	work   float64       // slot seconds of an item
	least  time.Duration // shortest time of a step, also with enough slots
	direct float64       // requests that are not items
	list   func(real int) int
	answer func(g *group, n int) (carriedOut, known bool)
	never  bool    // the baseline: nothing is ordered
	price  float64 // of all servers so far
	orders int
	raises []time.Duration
	ready  int // steps that were ready
	late   int // those that were ready after they were due
	log    []string
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, now: time.Second, groups: make(map[string]*group), work: 1, least: 1500 * time.Millisecond,
		jobs: make(map[string]*job), next: make(map[string]time.Duration), steps: make(map[string]scaling.Step),
		bounds: desired.Scaling{Min: 1, Max: 40, StartupTime: 4 * time.Second, SpotPriceRatio: 0.22, ZonePrices: map[string]float64{"a": 1, "b": 0.85, "c": 1.2}},
	}
	for zone := range w.bounds.ZonePrices {
		for _, spot := range []bool{false, true} {
			g := &group{order: &scaling.Order{Service: "s", Zone: zone, Spot: spot}, starting: make(map[time.Duration]int)}
			if !spot {
				g.present, g.ordered = 5, 5
			}
			w.groups[scaling.Key("s", zone, spot)] = g
		}
	}
	return w
}

// newTightWorld returns a world in which the servers at the start are too few for four models
// with 100 items each: 800 slot seconds on 90 slots take 8.9 s.
func newTightWorld(t *testing.T) *world {
	w := newWorld(t)
	w.work = 2
	return w
}

func (w *world) group(zone string, spot bool) *group { return w.groups[scaling.Key("s", zone, spot)] }

// train submits lots and runs their items on the slots present, which the models share.
func (w *world) train(models, size int) scaling.Load {
	l := scaling.Load{Open: make(map[string]float64), Late: make(map[string]scaling.Step), Direct: w.direct}
	for m := range models {
		model := fmt.Sprint(m)
		if w.jobs[model] == nil && w.now >= w.next[model] {
			w.jobs[model] = &job{began: w.now, items: float64(size), left: float64(size) * w.work}
			w.next[model] = w.now + period
		}
	}
	free := max(0, float64((w.total(false)+w.total(true))*slots)-w.direct) * tick.Seconds()
	for n := len(w.jobs); n > 0; n-- { // what a model leaves is shared by the others
		share := free / float64(n)
		var least *job
		for _, j := range w.jobs {
			if j.left > 0 && (least == nil || j.left < least.left) {
				least = j
			}
		}
		if least == nil {
			break
		}
		used := min(least.left, share)
		if used == share { // all others have as much work
			for _, j := range w.jobs {
				j.left = max(0, j.left-share)
			}
			break
		}
		least.left, free = 0, free-used
	}
	for model, j := range w.jobs {
		took := w.now + tick - j.began
		if j.left <= 0 && took >= w.least {
			w.steps[model] = scaling.Step{Took: took + time.Duration(w.ready)*time.Microsecond, Target: target}
			w.ready++
			if took > target {
				w.late++
			}
			delete(w.jobs, model)
			continue
		}
		l.Open[model] = max(1, j.left/w.work)
		if took > target && l.Open[model] > j.items/2 {
			l.Late[model] = scaling.Step{Took: took, Target: target}
		}
	}
	l.Steps = w.steps
	return l
}

// run runs the platform and the decision for a time.
func (w *world) run(d time.Duration, models, size int) {
	for end := w.now + d; w.now < end; w.now += tick {
		for _, g := range w.groups {
			for at, n := range g.starting {
				if w.now >= at {
					g.present = min(g.present+n, g.ordered)
					delete(g.starting, at)
				}
			}
			w.price += w.serverPrice(g) * float64(g.present) * tick.Seconds()
		}
		if l := w.train(models, size); len(l.Open) > 0 || l.Direct > 0 || models == 0 {
			if models == 0 {
				l.Steps = nil
			}
			w.demand.Observe(w.now, l)
		}
		w.level.Observe(w.now, w.listed(w.total(false)), w.listed(w.total(true)))
		if !w.never {
			w.decide()
		}
	}
}

// listed returns how many servers the list of the holder has.
func (w *world) listed(present int) int {
	if w.list != nil {
		return w.list(present)
	}
	return present
}

func (w *world) serverPrice(g *group) float64 {
	price := w.bounds.ZonePrices[g.order.Zone]
	if g.order.Spot {
		price *= w.bounds.SpotPriceRatio
	}
	return price
}

func (w *world) decide() {
	s := scaling.Service{Bounds: w.bounds, Need: w.demand.Need(w.now), Level: &w.level, Slots: slots, Limit: w.limit}
	for _, g := range w.groups {
		s.Groups = append(s.Groups, scaling.Group{Order: g.order, Present: w.listed(g.present), LeavingSince: g.leavingSince})
	}
	for _, due := range scaling.Decide(w.now, s).Orders {
		g := w.groups[scaling.Key("s", due.Group.Order.Zone, due.Group.Order.Spot)]
		w.orders++
		if n := len(w.raises); due.Reason == scaling.ReasonRaise && (n == 0 || w.raises[n-1] != w.now) {
			w.raises = append(w.raises, w.now)
		}
		w.log = append(w.log, fmt.Sprintf("%s %s/%s %d %s", w.now, g.order.Zone, scaling.Kind(g.order.Spot), due.Number, due.Reason))
		g.order.Begin(w.now, due.Number, due.Reason)
		carriedOut, known := true, true
		if w.answer != nil {
			carriedOut, known = w.answer(g, due.Number)
		}
		if carriedOut {
			w.carryOut(g, due.Number)
		}
		g.order.Pending = false
		if !carriedOut && known {
			g.order.Undo()
			g.order.Refused(w.now)
		}
	}
}

func (w *world) carryOut(g *group, n int) {
	g.ordered = n
	underWay := 0
	for _, more := range g.starting {
		underWay += more
	}
	g.present = min(g.present, n)
	if more := n - g.present - underWay; more > 0 {
		g.starting[w.now+w.bounds.StartupTime] += more
	}
}

// reclaim takes all servers of a kind in a zone. The platform replaces them only when asked.
func (w *world) reclaim(zone string, spot bool) {
	g := w.group(zone, spot)
	g.present, g.ordered, g.leavingSince = 0, 0, w.now
	clear(g.starting)
}

func (w *world) total(spot bool) int {
	sum := 0
	for _, g := range w.groups {
		if g.order.Spot == spot {
			sum += g.present
		}
	}
	return sum
}

func (w *world) requireInTime(message string) {
	w.t.Helper()
	require.Positive(w.t, w.ready)
	require.Zero(w.t, w.late, "%s\n%v", message, w.log)
}

// TestCalm guards against orders for steps that are ready well before they are due, although
// there are fewer slots than items.
func TestCalm(t *testing.T) {
	w := newWorld(t)
	w.run(10*time.Minute, 4, 100)
	w.requireInTime("15 servers suffice")
	require.Zero(t, w.orders, "%v", w.log)
}

// TestTightSteps guards against steps that stay late, against raises by more than a quarter or
// before the last one can have had an effect, against spot servers for work with a due time,
// against orders that are repeated without need, and against a first order below the servers
// present.
func TestTightSteps(t *testing.T) {
	w := newTightWorld(t)
	before := 0
	w.answer = func(g *group, n int) (bool, bool) {
		require.False(t, g.order.Spot, "%v", w.log)
		require.GreaterOrEqual(t, n, g.present, "%v", w.log)
		return true, true
	}
	for range 600 {
		before = w.total(false)
		w.run(time.Second, 4, 100)
		require.LessOrEqual(t, 4*(w.total(false)-before), before, "%v", w.log)
	}
	w.late, w.ready = 0, 0
	w.run(10*time.Minute, 4, 100)
	w.requireInTime("after the raises")
	for i := 1; i < len(w.raises); i++ {
		require.GreaterOrEqual(t, w.raises[i]-w.raises[i-1], w.bounds.StartupTime+target)
	}
	require.LessOrEqual(t, w.orders, 12, "%v", w.log)
	require.LessOrEqual(t, w.total(false), 24, "800 slot seconds in two thirds of 7.5 s need 27 servers")
	for _, zone := range []string{"a", "b", "c"} {
		require.LessOrEqual(t, w.group(zone, false).present, 2*w.total(false)/3)
		require.LessOrEqual(t, w.group(zone, false).present, w.bounds.Max)
	}
}

// TestNoEffect guards against servers that are ordered again and again for steps that are late
// for another reason than too few servers.
func TestNoEffect(t *testing.T) {
	w := newWorld(t)
	w.least = 12 * time.Second
	w.run(5*time.Minute, 4, 100)
	require.LessOrEqual(t, len(w.raises), 4, "%v", w.log)
	require.LessOrEqual(t, w.total(false), 30, "%v", w.log)
}

// TestShortBurst guards against servers that are given up because the demand of a burst, such as
// after an outage, is taken for the usual one.
func TestShortBurst(t *testing.T) {
	w := newWorld(t)
	w.run(2*time.Minute, 4, 100)
	w.run(20*time.Second, 4, 400)
	w.run(time.Minute, 4, 100)
	before := w.total(false)
	require.GreaterOrEqual(t, before, 15)
	w.run(10*time.Minute, 4, 100)
	require.GreaterOrEqual(t, w.total(false), before, "%v", w.log)
}

// TestReplacementsAreNoCalm guards against a number in calm that grows with each loss, because
// servers were replaced in another zone and then in their own.
func TestReplacementsAreNoCalm(t *testing.T) {
	w := newWorld(t)
	w.run(time.Minute, 4, 100)
	for range 5 {
		from := w.now
		w.answer = func(g *group, _ int) (bool, bool) { return g.order.Zone != "b" || w.now > from+10*time.Second, true }
		w.reclaim("b", false)
		w.run(3*time.Minute, 4, 100)
	}
	require.LessOrEqual(t, w.total(false), 19, "less than a quarter more than 15: %v", w.log)
	require.GreaterOrEqual(t, w.total(false), 15, "%v", w.log)
}

// TestLoadLimit guards against more engines than can load each version, and against a limit
// that removes servers.
func TestLoadLimit(t *testing.T) {
	require.Equal(t, 71, scaling.LoadLimit(8, 4*time.Second, 900*time.Millisecond), "8*4/0.9 loads in 4 s, 2 versions per load")
	require.Zero(t, scaling.LoadLimit(8, 4*time.Second, 0))
	for limit, most := range map[int]int{17: 17, 10: 15} {
		w := newTightWorld(t)
		w.limit = limit
		w.run(5*time.Minute, 4, 100)
		require.Equal(t, most, w.total(false)+w.total(true), "%v", w.log)
	}
}

// TestBaseline guards against a decision that is no better than never to order, and states what
// both cost.
func TestBaseline(t *testing.T) {
	for _, never := range []bool{true, false} {
		w := newTightWorld(t)
		w.never = never
		w.run(time.Minute, 4, 100)
		w.late, w.ready, w.price = 0, 0, 0
		w.run(10*time.Minute, 4, 100)
		t.Logf("never %t: %d of %d steps late, price %.1f per second, %d orders", never, w.late, w.ready, w.price/600, w.orders)
		require.Equal(t, never, w.late > 0)
	}
}

// TestNothingBeforeDemand guards against orders before any load has been seen.
func TestNothingBeforeDemand(t *testing.T) {
	w := newWorld(t)
	w.run(time.Minute, 0, 0)
	require.Zero(t, w.orders)
}

// TestBurst guards against a burst that is answered late, and against capacity that is given up
// between two bursts.
func TestBurst(t *testing.T) {
	w := newTightWorld(t)
	w.run(time.Minute, 1, 100)
	require.Zero(t, w.orders, "%v", w.log)
	w.run(time.Minute, 4, 100) // the first burst meets too few servers
	w.late, w.ready = 0, 0
	w.run(16*time.Second, 4, 100)
	w.run(40*time.Second, 1, 100)
	w.run(time.Minute, 4, 100)
	w.requireInTime("after the start of servers")
}

// TestServersLost guards against lost servers that are not replaced at once, also before the
// first order, and against a loss that is taken for a lack of servers.
func TestServersLost(t *testing.T) {
	for _, announced := range []bool{true, false} {
		w := newWorld(t)
		w.run(time.Minute, 4, 100)
		for range 2 {
			before := w.orders
			w.reclaim("b", false)
			if !announced {
				w.group("b", false).leavingSince = 0
				w.run(2*time.Second, 4, 100)
				require.Equal(t, before, w.orders, "records may be missing for two seconds")
				w.run(time.Second, 4, 100)
			}
			w.run(tick, 4, 100)
			require.Greater(t, w.orders, before, "replacements are ordered at once")
			w.run(w.bounds.StartupTime+tick, 4, 100)
			require.Equal(t, 15, w.total(false), "%v", w.log)
			w.run(20*time.Second, 4, 100)
		}
		w.run(time.Minute, 4, 100)
		require.Equal(t, 15, w.total(false)+w.total(true), "%v", w.log)
	}
}

// TestNoneAvailable guards against lost servers that are not replaced in another zone if there
// are none to be had, and against a platform that is called again and again.
func TestNoneAvailable(t *testing.T) {
	w := newWorld(t)
	w.run(time.Minute, 4, 100)
	from, refused := w.now, 0
	w.answer = func(g *group, _ int) (bool, bool) {
		none := g.order.Zone != "c" && w.now < from+10*time.Second
		if none {
			refused++
		}
		return !none, true
	}
	// Two orders of a zone are 2 s apart: the second one replaces what another zone refused.
	deadline := w.bounds.StartupTime + 3*time.Second
	w.reclaim("b", false)
	w.run(deadline, 4, 100)
	require.GreaterOrEqual(t, w.total(false), 15, "%v", w.log)
	w.reclaim("a", false)
	w.run(deadline, 4, 100)
	require.GreaterOrEqual(t, w.total(false), 15, "%v", w.log)
	require.LessOrEqual(t, refused, 10, "%v", w.log)
	w.run(10*time.Second, 4, 100)
	w.late, w.ready = 0, 0
	w.run(time.Minute, 4, 100)
	w.requireInTime("after the outage")
}

// TestSpotServers guards against spot servers that work with a due time depends on, when the
// platform reclaims those of all zones at once and has none for 10 s.
func TestSpotServers(t *testing.T) {
	w := newWorld(t)
	w.run(time.Minute, 4, 100)
	w.direct = 150
	clear(w.jobs)
	for range 240 {
		w.run(tick, 0, 0)
		require.LessOrEqual(t, 4*w.total(true), w.total(true)+w.total(false)+10, "%v", w.log)
	}
	require.GreaterOrEqual(t, (w.total(false)+w.total(true))*slots, 150, "%v", w.log)
	require.Positive(t, w.total(true))
	require.LessOrEqual(t, 4*w.total(true), w.total(true)+w.total(false))
	from := w.now
	w.answer = func(g *group, _ int) (bool, bool) { return !g.order.Spot || w.now > from+10*time.Second, true }
	for _, zone := range []string{"a", "b", "c"} {
		w.reclaim(zone, true)
	}
	require.GreaterOrEqual(t, w.total(false), 15)
	w.run(w.bounds.StartupTime+time.Second, 0, 0)
	require.GreaterOrEqual(t, w.total(false)*slots, 150, "ordinary servers replace them: %v", w.log)
}

// TestHoursWithoutDemand guards against servers that are paid for hours without demand, against
// servers of the start that are given up in a pause, and against a service that falls below its
// minimum or does not grow again.
func TestHoursWithoutDemand(t *testing.T) {
	w := newTightWorld(t)
	w.run(3*time.Minute, 4, 100)
	before := w.total(false)
	w.run(75*time.Second, 0, 0) // the peak is remembered for 20 s
	require.Equal(t, before, w.total(false), "not lowered in a pause")
	w.run(2*time.Hour, 0, 0)
	require.Equal(t, 3, w.total(false), "%v", w.log)
	require.Zero(t, w.total(true))
	w.run(20*time.Second, 4, 100)
	w.late, w.ready = 0, 0
	w.run(time.Minute, 4, 100)
	w.requireInTime("after the night")
}

// TestLoweredMaximum guards against servers beyond a maximum that operators have lowered.
func TestLoweredMaximum(t *testing.T) {
	w := newTightWorld(t)
	w.run(time.Minute, 4, 100)
	w.bounds.Max = 4
	w.run(time.Minute, 4, 100)
	for zone := range w.bounds.ZonePrices {
		require.LessOrEqual(t, w.group(zone, true).present+w.group(zone, false).present, 4, "%v", w.log)
	}
}

// TestLostAnswers guards against orders without an answer that are repeated although they were
// carried out, or not repeated although they were not.
func TestLostAnswers(t *testing.T) {
	for _, carriedOut := range []bool{true, false} {
		w := newTightWorld(t)
		first := time.Duration(0)
		w.answer = func(*group, int) (bool, bool) {
			if first == 0 {
				first = w.now
			}
			return carriedOut || w.now > first+5*time.Second, false
		}
		for w.orders == 0 {
			w.run(tick, 4, 100)
		}
		w.run(4*time.Second, 4, 100)
		require.NotContains(t, fmt.Sprint(w.log), scaling.ReasonRepeat, "no repetition before the servers can be present")
		w.run(2*time.Minute, 4, 100)
		require.Equal(t, !carriedOut, strings.Contains(fmt.Sprint(w.log), scaling.ReasonRepeat), "%v", w.log)
		w.late, w.ready = 0, 0
		w.run(time.Minute, 4, 100)
		w.requireInTime("lost answers")
	}
}

// TestLateCall guards against an old order that is carried out after a newer one and stays in
// force.
func TestLateCall(t *testing.T) {
	w := newTightWorld(t)
	w.run(2*time.Minute, 4, 100)
	g := w.group("a", false)
	want := g.ordered
	require.Greater(t, want, 5, "%v", w.log)
	w.carryOut(g, want+9)
	w.run(time.Minute, 4, 100)
	require.Equal(t, want, g.present, "%v", w.log)
	w.carryOut(g, want-5)
	w.run(time.Minute, 4, 100)
	require.Equal(t, want, g.present, "%v", w.log)
}

// TestNewHolder guards against a new holder of the order lease that changes the orders of the
// one before, also if it has just started.
func TestNewHolder(t *testing.T) {
	for _, started := range []bool{false, true} {
		w := newTightWorld(t)
		w.run(2*time.Minute, 4, 100)
		before := w.orders
		require.Positive(t, before)
		if started {
			w.level = scaling.Level{}
		}
		w.level.Continue = true
		for _, g := range w.groups {
			g.order = &scaling.Order{Service: "s", Zone: g.order.Zone, Spot: g.order.Spot, Ordered: g.order.Ordered, Number: g.order.Number, At: w.now}
		}
		w.run(time.Minute, 4, 100)
		require.Equal(t, before, w.orders, "%v", w.log)
	}
}

// TestOldServerList guards against a decision on an old list of servers that removes servers:
// no order goes below the number that was ordered before while the load stays.
func TestOldServerList(t *testing.T) {
	w := newTightWorld(t)
	w.run(2*time.Minute, 4, 100)
	w.answer = func(g *group, n int) (bool, bool) {
		require.GreaterOrEqual(t, n, g.ordered, "%v", w.log)
		return true, true
	}
	w.list = func(int) int { return 0 }
	w.run(15*time.Second, 4, 100)
	w.list = func(real int) int { return real + 20 }
	w.run(9*time.Second, 4, 100)
}

// BenchmarkDecide measures a decision about a service with 5,100 servers in 100 zones.
func BenchmarkDecide(b *testing.B) {
	s := scaling.Service{Bounds: desired.Scaling{Min: 1, Max: 100, SpotPriceRatio: 0.22, ZonePrices: make(map[string]float64)}, Slots: 6}
	s.Need = scaling.Need{Peak: 30_000, Direct: 16_000, Shown: true}
	s.Level = new(scaling.Level)
	s.Level.Observe(tick, 2_500, 0)
	for z := range 100 {
		zone := fmt.Sprint(z)
		s.Bounds.ZonePrices[zone] = 1 + float64(z)/100
		for _, spot := range []bool{false, true} {
			s.Groups = append(s.Groups, scaling.Group{Order: &scaling.Order{Service: "s", Zone: zone, Spot: spot}, Present: 25})
		}
	}
	for n := 1; b.Loop(); n++ {
		scaling.Decide(time.Duration(n)*tick, s)
	}
}
