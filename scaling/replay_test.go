package scaling_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/scaling"
)

const (
	slots  = 6
	tick   = 250 * time.Millisecond
	notice = 2500 * time.Millisecond
)

// group is the servers of one kind in a zone of a simulated platform.
type group struct {
	present      int
	ordered      int // as the platform knows it
	starting     map[time.Duration]int
	leavingSince time.Duration
	order        *scaling.Order
}

// world replays load against a simulated platform.
type world struct {
	t      *testing.T
	now    time.Duration
	bounds desired.Scaling
	demand scaling.Demand
	groups map[string]*group
	open   map[string]float64
	list   func(real int) int
	answer func(g *group, n int) (carriedOut, known bool)
	never  bool    // the baseline: nothing is ordered
	price  float64 // of all servers so far
	orders int
	lows   int // ticks in which the servers present did not suffice for the open items
	log    []string
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, now: time.Second, groups: make(map[string]*group), open: make(map[string]float64),
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

func (w *world) group(zone string, spot bool) *group { return w.groups[scaling.Key("s", zone, spot)] }

// submit submits a lot of each model every 4 s. Items end evenly within 3 s.
func (w *world) submit(models, size int) {
	since := w.now % (4 * time.Second)
	for m := range models {
		model := fmt.Sprint(m)
		if since == 0 {
			w.open[model] = float64(size)
		} else if since <= 3*time.Second {
			w.open[model] = float64(size) * (1 - since.Seconds()/3)
		}
	}
}

// run runs the platform and the decision for a time.
func (w *world) run(d time.Duration, models, size int) {
	for end := w.now + d; w.now < end; w.now += tick {
		clear(w.open)
		w.submit(models, size)
		w.demand.Observe(w.now, scaling.Load{Open: w.open})
		total, open := 0, 0.0
		for _, g := range w.groups {
			for at, n := range g.starting {
				if w.now >= at {
					g.present = min(g.present+n, g.ordered)
					delete(g.starting, at)
				}
			}
			total += g.present
			w.price += w.serverPrice(g) * float64(g.present) * tick.Seconds()
		}
		for _, n := range w.open {
			open += n
		}
		if float64(total*slots) < open {
			w.lows++
		}
		if !w.never {
			w.decide()
		}
	}
}

func (w *world) serverPrice(g *group) float64 {
	price := w.bounds.ZonePrices[g.order.Zone]
	if g.order.Spot {
		price *= w.bounds.SpotPriceRatio
	}
	return price
}

func (w *world) decide() {
	s := scaling.Service{Bounds: w.bounds, Need: w.demand.Need(w.now), Slots: slots}
	for _, g := range w.groups {
		present := g.present
		if w.list != nil {
			present = w.list(present)
		}
		s.Groups = append(s.Groups, scaling.Group{Order: g.order, Present: present, LeavingSince: g.leavingSince})
	}
	for _, due := range scaling.Decide(w.now, s).Orders {
		g := w.groups[scaling.Key("s", due.Group.Order.Zone, due.Group.Order.Spot)]
		w.orders++
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

// reclaim takes all spot servers of a zone. The platform replaces them only when asked.
func (w *world) reclaim(zone string) {
	g := w.group(zone, true)
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

func (w *world) requireNoShortage(message string) {
	w.t.Helper()
	require.Zero(w.t, w.lows, "%s\n%v", message, w.log)
}

// TestSteadyLoad guards against too few slots for the largest lots of all models, against
// orders that are repeated without need, and against a first order below the servers present.
func TestSteadyLoad(t *testing.T) {
	w := newWorld(t)
	w.answer = func(g *group, n int) (bool, bool) {
		require.GreaterOrEqual(t, n, g.present, "%v", w.log)
		return true, true
	}
	w.run(8*time.Second, 4, 100)
	w.lows = 0
	w.run(10*time.Minute, 4, 100)
	w.requireNoShortage("400 items need 67 servers")
	require.LessOrEqual(t, w.orders, 12, "%v", w.log)
	for _, zone := range []string{"a", "b", "c"} {
		g, o := w.group(zone, true), w.group(zone, false)
		require.LessOrEqual(t, g.present, 2*w.total(true)/3)
		require.LessOrEqual(t, g.present+o.present, w.bounds.Max)
		require.GreaterOrEqual(t, (w.total(false)+w.total(true)-g.present)*slots, 400, "the loss of the spot servers of zone %s", zone)
	}
}

// TestBaseline guards against a decision that is no better than never to order, and states what
// both cost.
func TestBaseline(t *testing.T) {
	for _, never := range []bool{true, false} {
		w := newWorld(t)
		w.never = never
		w.run(8*time.Second, 4, 100)
		w.lows, w.price = 0, 0
		w.run(10*time.Minute, 4, 100)
		t.Logf("never %t: short in %.0f%% of the time, price %.1f per second, %d orders", never, float64(w.lows)/24, w.price/600, w.orders)
		require.Equal(t, never, w.lows > 0)
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
	w := newWorld(t)
	w.run(time.Minute, 1, 60)
	w.run(5*time.Second, 4, 60) // the first burst meets too few servers
	w.lows = 0
	w.run(16*time.Second, 4, 60)
	w.run(12*time.Second, 1, 60)
	w.run(16*time.Second, 4, 60)
	w.requireNoShortage("after the start of servers")
}

// TestZoneReclaimedTwice guards against a loss of capacity when the platform takes back the spot
// servers of a zone, and again those that replace them.
func TestZoneReclaimedTwice(t *testing.T) {
	w := newWorld(t)
	w.run(time.Minute, 4, 100)
	w.lows = 0
	for range 2 {
		before := w.orders
		w.reclaim("b")
		w.run(tick, 4, 100)
		require.Greater(t, w.orders, before, "replacements are ordered at once")
		w.run(20*time.Second, 4, 100)
	}
	w.requireNoShortage("headroom")
	require.Positive(t, w.group("b", true).present)
}

// TestNoneAvailable guards against a zone that stays without replacements while another zone
// has servers, and against a platform that is called again and again.
func TestNoneAvailable(t *testing.T) {
	w := newWorld(t)
	w.run(time.Minute, 4, 100)
	w.lows = 0
	from, refused := w.now, 0
	w.answer = func(g *group, _ int) (bool, bool) {
		none := g.order.Spot && g.order.Zone != "c" && w.now < from+10*time.Second
		if none {
			refused++
		}
		return !none, true
	}
	w.reclaim("b")
	w.run(5*time.Second, 4, 100)
	others := w.total(false) + w.group("a", true).present + w.group("c", true).present
	w.reclaim("a")
	w.run(10*time.Second, 4, 100)
	require.GreaterOrEqual(t, others*slots, 400)
	require.GreaterOrEqual(t, (w.total(false)+w.total(true))*slots, 400, "%v", w.log)
	require.LessOrEqual(t, refused, 10, "%v", w.log)
	w.lows = 0
	w.run(time.Minute, 4, 100)
	w.requireNoShortage("after the outage")
}

// TestHoursWithoutDemand guards against servers that are paid for hours without demand, and
// against a service that falls below its minimum or does not grow again.
func TestHoursWithoutDemand(t *testing.T) {
	w := newWorld(t)
	w.run(time.Minute, 4, 100)
	w.run(15*time.Second, 0, 0)
	require.GreaterOrEqual(t, (w.total(false)+w.total(true))*slots, 400, "not lowered at once")
	w.run(2*time.Hour, 0, 0)
	require.Equal(t, 3, w.total(false), "%v", w.log)
	require.Zero(t, w.total(true))
	w.run(8*time.Second, 4, 100)
	w.lows = 0
	w.run(time.Minute, 4, 100)
	w.requireNoShortage("after the night")
}

// TestLoweredMaximum guards against servers beyond a maximum that operators have lowered.
func TestLoweredMaximum(t *testing.T) {
	w := newWorld(t)
	w.run(time.Minute, 4, 100)
	w.bounds.Max = 25
	w.run(time.Minute, 4, 100)
	for zone := range w.bounds.ZonePrices {
		require.LessOrEqual(t, w.group(zone, true).present+w.group(zone, false).present, 25, "%v", w.log)
	}
}

// TestLostAnswers guards against orders without an answer that are repeated although they were
// carried out, or not repeated although they were not.
func TestLostAnswers(t *testing.T) {
	for _, carriedOut := range []bool{true, false} {
		w := newWorld(t)
		w.answer = func(*group, int) (bool, bool) { return carriedOut || w.now > 10*time.Second, false }
		w.run(4*time.Second, 4, 100)
		require.NotContains(t, fmt.Sprint(w.log), scaling.ReasonRepeat, "no repetition before the servers can be present")
		w.run(20*time.Second, 4, 100)
		w.lows = 0
		w.run(time.Minute, 4, 100)
		w.requireNoShortage("lost answers")
	}
}

// TestLateCall guards against an old order that is carried out after a newer one and stays in
// force.
func TestLateCall(t *testing.T) {
	w := newWorld(t)
	w.run(time.Minute, 4, 100)
	g := w.group("a", true)
	want := g.ordered
	w.carryOut(g, want+9)
	w.run(time.Minute, 4, 100)
	require.Equal(t, want, g.present, "%v", w.log)
	w.carryOut(g, want-5)
	w.run(time.Minute, 4, 100)
	require.Equal(t, want, g.present, "%v", w.log)
}

// TestNewHolder guards against a new holder of the order lease that changes the orders of the
// one before.
func TestNewHolder(t *testing.T) {
	w := newWorld(t)
	w.run(time.Minute, 4, 100)
	before := w.orders
	for _, g := range w.groups {
		g.order = &scaling.Order{Service: "s", Zone: g.order.Zone, Spot: g.order.Spot, Ordered: g.order.Ordered, Number: g.order.Number, At: w.now}
	}
	w.run(time.Minute, 4, 100)
	require.Equal(t, before, w.orders, "%v", w.log)
}

// TestOldServerList guards against a decision on an old list of servers that removes servers:
// no order goes below the number that was ordered before while the load stays.
func TestOldServerList(t *testing.T) {
	w := newWorld(t)
	w.run(time.Minute, 4, 100)
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
	s.Need = scaling.Need{Peak: 30_000, Base: 10_000, Shown: true}
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
