package duty

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/scaling"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// orderWorld runs the systems that order servers on a fake clock. Commands are executed at once
// with the real executor, over a store and a platform in memory.
type orderWorld struct {
	t       *testing.T
	now     time.Duration
	tables  *table.Tables
	store   *pamoja.Store
	down    bool          // the store takes no commits
	stopped time.Duration // the process is suspended for this time during a commit
	queue   []event.Event
	orders  []pamoja.APICall
	outcome func(pamoja.APICall) error
	brings  bool // orders bring servers at once
}

// failingStore is a store that takes no commits while its world says so.
type failingStore struct {
	*pamoja.Store
	w *orderWorld
}

// Commit implements store.Client.
func (s failingStore) Commit(ctx context.Context, c store.Commit) (uint64, error) {
	if s.w.down {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "down")
	}
	s.w.now += s.w.stopped
	return s.Store.Commit(ctx, c)
}

func newOrderWorld(t *testing.T) *orderWorld {
	w := &orderWorld{t: t, store: pamoja.NewStore(), outcome: func(pamoja.APICall) error { return nil }}
	w.begin(7)
	return w
}

// begin starts a new process that holds the lease.
func (w *orderWorld) begin(fence uint64) {
	w.now, w.queue = time.Minute, nil
	w.tables = table.New(table.Self{Host: "h"})
	r := &w.tables.Rollout
	r.Desired = &desired.State{Services: map[string]desired.Service{"s": {Name: "s", Models: []string{"m"}, Scaling: &desired.Scaling{
		Min: 1, Max: 20, StartupTime: 4 * time.Second, SpotPriceRatio: 0.22, ZonePrices: map[string]float64{"a": 1, "b": 0.85, "c": 1.2},
	}}}}
	w.tables.Duties.Settings = settings.Duties{Address: "api", Scaling: true, CallsPerSecond: 50}
	r.HeadsKnown = true
	for _, name := range []string{feedServers, feedCoordination} {
		f, _ := r.Feeds.Upsert(name)
		f.CaughtUp, f.Since = true, time.Second
	}
	for _, zone := range []string{"a", "b", "c"} {
		w.addServers(zone, 3, false)
	}
	r.OrderLease.Held, r.OrderLease.Fence, r.OrderLease.ValidUntil = true, fence, time.Hour
}

// addServers adds servers until there are n.
func (w *orderWorld) addServers(zone string, n int, spot bool) {
	for i := range n {
		id := fmt.Sprint(zone, i, spot)
		if s, created := w.tables.Rollout.Servers.Upsert(id); created {
			*s = table.Server{Server: registry.Server{ID: id, Service: "s", Zone: zone, Slots: 6, Spot: spot}, Load: new(forward.Load)}
		}
	}
}

// demand makes a lot of 100 items known that is overdue, so that a quarter more servers are
// needed.
func (w *orderWorld) demand() {
	l, _ := w.tables.Rollout.Lots.Upsert("l")
	*l = table.Lot{Head: lot.Head{ID: "l", Model: "m", Total: 100}, SeenAt: w.now - 20*time.Second}
}

func (w *orderWorld) run(d time.Duration) {
	e := &executor.Scaling{Store: failingStore{w.store, w}, Now: func() time.Duration { return w.now }, Platform: func() executor.ScalingPlatform { return w }}
	for end := w.now + d; w.now < end; w.now += tick {
		in := w.queue
		w.queue = nil
		var out command.Outbox
		for _, s := range Systems() {
			s.Run(w.now, w.tables, in, &out)
		}
		for _, c := range out.Take() {
			switch c := c.(type) {
			case command.OrderServers:
				w.queue = append(w.queue, e.Order(context.Background(), c))
			case command.ReadOrders:
				w.queue = append(w.queue, e.Read(context.Background(), c))
			}
		}
	}
}

// OrderServers implements executor.ScalingPlatform.
func (w *orderWorld) OrderServers(ctx context.Context, fence uint64, service, zone string, n int, spot bool) error {
	call := pamoja.APICall{Fence: fence, Service: service, Zone: zone, TargetGroups: n, Spot: spot}
	stored, _, err := scaling.Read(ctx, w.store)
	require.NoError(w.t, err)
	require.Contains(w.t, fmt.Sprint(stored), fmt.Sprintf("{%s %s %t %d %d", service, zone, spot, n, fence), "stored before it is sent")
	if !spot {
		require.GreaterOrEqual(w.t, n, 3, "an order below the servers present")
	}
	w.orders = append(w.orders, call)
	if w.brings {
		w.addServers(zone, n, spot)
	}
	return w.outcome(call)
}

// TestOrdersNeedCurrentState guards against orders that are not stored first, and against those
// on the basis of an old list, without demand, without the lease or while the store is down.
func TestOrdersNeedCurrentState(t *testing.T) {
	for name, spoil := range map[string]func(*orderWorld){
		"nothing":        func(*orderWorld) {},
		"no demand":      func(w *orderWorld) { w.tables.Rollout.Lots.Delete("l") },
		"servers feed":   func(w *orderWorld) { w.tables.Rollout.Feeds.Find(feedServers).Down = true },
		"feed just back": func(w *orderWorld) { w.tables.Rollout.Feeds.Find(feedServers).Since = w.now },
		"store down":     func(w *orderWorld) { w.down = true },
		"no lease":       func(w *orderWorld) { w.tables.Rollout.OrderLease.Held = false },
		"handover":       func(w *orderWorld) { w.tables.Rollout.OrderLease.OrdersFrom = w.now + time.Minute },
		"not its duty":   func(w *orderWorld) { w.tables.Duties.Settings.Scaling = false },
		"no bounds":      func(w *orderWorld) { w.tables.Rollout.Desired.Services = map[string]desired.Service{"s": {Name: "s"}} },
	} {
		w := newOrderWorld(t)
		w.demand()
		spoil(w)
		w.run(2 * time.Second)
		require.Equal(t, name == "nothing", len(w.orders) > 0, name)
		require.Zero(t, w.tables.Rollout.OrderLease.DutyCalls, name)
		if name == "store down" {
			w.down = false
			w.run(4 * time.Second)
			require.NotEmpty(t, w.orders, "ordered once the store takes the row")
		}
	}
}

// TestSuspendedBeforeOrder guards against an order that a process sends after it was suspended
// between the write of the row and the order, when another process may hold the lease.
func TestSuspendedBeforeOrder(t *testing.T) {
	w := newOrderWorld(t)
	w.tables.Rollout.OrderLease.ValidUntil = w.now + 2*time.Second
	w.stopped = 3 * time.Second
	w.demand()
	w.run(time.Second)
	require.Empty(t, w.orders)
	stored, _, err := scaling.Read(context.Background(), w.store)
	require.NoError(t, err)
	require.NotEmpty(t, stored)
}

// TestRefusedOrders guards against a lease that is released because no servers are available,
// against a platform that is called without a pause after a refusal, and against servers that
// are not ordered in another zone or not at all after refusals.
func TestRefusedOrders(t *testing.T) {
	for reason, most := range map[verdict.Reason]int{
		verdict.ReasonConflict: 2, verdict.ReasonRateLimited: 4, verdict.ReasonPlatformUnavailable: 4,
	} {
		for _, others := range []bool{false, true} {
			w := newOrderWorld(t)
			w.outcome = func(c pamoja.APICall) error {
				if c.Zone != "c" || !others {
					return verdict.New(verdict.NotRun, reason, "refused")
				}
				return nil
			}
			w.demand()
			w.run(5 * time.Second)
			calls, sum := make(map[string]int), 9
			for _, c := range w.orders {
				require.False(t, c.Spot, "items have a due time")
				calls[c.Zone]++
				if others && c.Zone == "c" {
					sum = max(sum, 6+c.TargetGroups)
				}
			}
			for _, zone := range []string{"a", "b"} {
				require.LessOrEqual(t, calls[zone], most, reason)
			}
			require.Positive(t, calls["b"], reason)
			require.False(t, w.tables.Rollout.OrderLease.Yielding, reason)
			if reason == verdict.ReasonConflict && others {
				require.Equal(t, 11, sum, "a quarter more than 9 servers, also if two zones have none: %v", w.orders)
				continue
			}
			w.outcome = func(pamoja.APICall) error { return nil }
			w.run(6 * time.Second)
			require.True(t, w.tables.Duties.Scaling.Orders.Find(scaling.Key("s", "b", false)).Ordered, "tried again: %s", reason)
		}
	}
}

// TestNextHolderContinues guards against a new holder that repeats the orders of the one before
// or, because it does not know them, orders other numbers.
func TestNextHolderContinues(t *testing.T) {
	w := newOrderWorld(t)
	w.brings = true
	w.demand()
	w.run(5 * time.Second)
	before := len(w.orders)
	require.NotZero(t, before)
	servers := w.tables.Rollout.Servers
	w.begin(8)
	w.tables.Rollout.Servers = servers
	w.demand()
	w.run(10 * time.Second)
	require.Len(t, w.orders, before)
	require.NotNil(t, w.tables.Rollout.Servers.Find("b3 false"), "ordered by the holder before")
	w.tables.Rollout.Servers.Delete("b3 false")
	w.run(2 * time.Second)
	require.Len(t, w.orders, before, "a live server writes its record again within two seconds")
	w.run(time.Second)
	require.Len(t, w.orders, before+1, "a server that is lost")
	require.EqualValues(t, 8, w.orders[before].Fence)
	require.Equal(t, "b", w.orders[before].Zone)
}

// TestUnansweredOrders guards against an order without an answer that is repeated before its
// servers can be present, or that is forgotten although it was carried out.
func TestUnansweredOrders(t *testing.T) {
	w := newOrderWorld(t)
	w.outcome = func(pamoja.APICall) error {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "no answer")
	}
	w.demand()
	w.run(5 * time.Second)
	last := make(map[string]int)
	for _, c := range w.orders {
		group := fmt.Sprint(c.Zone, c.Spot)
		require.Greater(t, c.TargetGroups, last[group], "%s: %v", group, w.orders)
		last[group] = c.TargetGroups
	}
	before := len(w.orders)
	w.run(3 * time.Second)
	require.Greater(t, len(w.orders), before, "the servers never came")
}

// TestRowOfAnotherProcess guards against an order on the basis of a row that another process has
// replaced, and against a holder that never orders again after that.
func TestRowOfAnotherProcess(t *testing.T) {
	w := newOrderWorld(t)
	w.run(time.Second)
	other := scaling.Stored{Service: "s", Zone: "b", Number: 12, Fence: 6}
	_, err := scaling.Write(context.Background(), w.store, other)
	require.NoError(t, err)
	w.demand()
	w.run(200 * time.Millisecond)
	for _, c := range w.orders {
		require.NotEqual(t, "b", c.Zone, "%v", w.orders)
	}
	w.run(2 * time.Second)
	o := w.tables.Duties.Scaling.Orders.Find(scaling.Key("s", "b", false))
	require.True(t, o.Ordered)
	require.Equal(t, 12, o.Number)
	w.run(6 * time.Second)
	require.Contains(t, fmt.Sprint(w.orders), "s b 12 false", "repeated, because the servers are missing")
}

// TestDemand guards against a lot that counts only with the items that are left when it is seen
// first, against a lot that ended long ago and counts, and against plain services whose load
// is not seen or counts for ever.
func TestDemand(t *testing.T) {
	w := newOrderWorld(t)
	r := &w.tables.Rollout
	r.OrderLease.Held = false // every host observes, so that it can take over
	r.Desired.Services["p"] = desired.Service{Name: "p", Scaling: r.Desired.Services["s"].Scaling}
	for id, load := range map[string]registry.Load{"p0": {Running: 5, Waiting: 4}, "p1": {Running: 1_000_000}} {
		s, _ := r.Servers.Upsert(id)
		*s = table.Server{Server: registry.Server{ID: id, Service: "p", Zone: "a", Slots: 6}, Load: new(forward.Load)}
		s.Load.Report(load, time.Now())
	}
	for id, head := range map[string]lot.Head{
		"open": {Model: "m", Total: 100, Listed: 60}, "ended": {Model: "m", Total: 500, Listed: 10, Ended: true}, "done": {Model: "m", Total: 500, Listed: 500},
	} {
		l, _ := r.Lots.Upsert(id)
		*l = table.Lot{Head: head, SeenAt: w.now}
	}
	w.run(time.Second)
	need := func(service string) float64 {
		return w.tables.Duties.Scaling.Services.Find(service).Demand.Need(w.now).Peak
	}
	require.EqualValues(t, 100, need("s"))
	require.EqualValues(t, 9+4*6, need("p"), "a false figure of one server counts little")
	r.Lots.Find("open").Head.Listed = 100
	w.run(30 * time.Second)
	require.Zero(t, need("s"))
	require.Zero(t, need("p"))
}

// TestStepsOfModels guards against steps whose times are not seen, against those of the services
// of other routes, and against a raise for one late step.
func TestStepsOfModels(t *testing.T) {
	w := newOrderWorld(t)
	r := &w.tables.Rollout
	r.Desired.Routes = []desired.Route{
		{Kind: desired.KindRollout, CompletionTarget: 8 * time.Second, Services: []desired.WeightedService{{Service: "s"}}},
		{Kind: desired.KindRollout, CompletionTarget: time.Second, Services: []desired.WeightedService{{Service: "other"}}},
	}
	step := func(id string, accepted int64, ready, listed int) {
		for _, before := range r.Lots.All() {
			before.Head.Ended = before.Head.ID != "6"
		}
		l, _ := r.Lots.Upsert(id)
		*l = table.Lot{Head: lot.Head{ID: id, Model: "m", Total: 100, Listed: listed, AcceptedUnixMS: accepted, ReadyMS: ready}, SeenAt: w.now}
		w.run(time.Second)
	}
	pressure := func() float64 { return w.tables.Duties.Scaling.Services.Find("s").Demand.Need(w.now).Pressure }
	step("1", 1, 4_000, 0)
	step("2", 2, 12_000, 0)
	require.InDelta(t, 0.5, pressure(), 0.01, "one late step")
	require.Empty(t, w.orders)
	step("old", 1, 30_000, 0)
	require.InDelta(t, 0.5, pressure(), 0.01, "of a lot before")
	step("3", 3, 10_000, 0)
	require.InDelta(t, 1.25, pressure(), 0.01)
	w.run(time.Second)
	require.NotEmpty(t, w.orders)
	step("4", 4, 4_000, 60)
	step("5", 5, 4_001, 60)
	r.Lots.Find("5").SeenAt = w.now - time.Minute
	w.run(time.Second)
	require.InDelta(t, 0.5, pressure(), 0.01, "a trainer does not wait for the last items")
	w.run(16 * time.Second)
	step("6", 6, 0, 0)
	r.Lots.Find("6").SeenAt = w.now - 9*time.Second
	step("7", 7, 0, 0)
	require.InDelta(t, 1.25, pressure(), 0.05, "the next lot was submitted before this one was ready")
	r.Lots.Find("6").SeenAt = w.now - time.Minute
	w.run(time.Second)
	require.Zero(t, pressure(), "given up")
}

// TestLoadLimitOfEngines guards against a limit that does not follow the versions named and the
// measured load time, and against one for services without models.
func TestLoadLimitOfEngines(t *testing.T) {
	w := newOrderWorld(t)
	r := &w.tables.Rollout
	limit := func() int { return loadLimit(r, w.tables.Duties.Scaling.Services.Find("s"), "s") }
	m, _ := r.Models.Upsert("m")
	for version := range 5 {
		m.NamedVersion, m.NamedAt = registry.Version(version+1), w.now
		w.run(4 * time.Second)
		if version == 0 {
			require.Zero(t, limit(), "the interval is unknown")
		}
	}
	require.Equal(t, 12, limit(), "9 engines, 2 loads at once of at most 1.3 s")
	r.LoadTimes = map[string]time.Duration{"s": 800 * time.Millisecond}
	require.Equal(t, 20, limit())
	m.NamedVersion, m.NamedAt = 7, w.now // two versions
	w.run(time.Second)
	require.Less(t, limit(), 20)
	r.Desired.Services["s"] = desired.Service{Name: "s", Scaling: r.Desired.Services["s"].Scaling}
	w.tables.Duties.Scaling.Services.Delete("s")
	w.run(time.Second)
	require.Zero(t, limit())
}
