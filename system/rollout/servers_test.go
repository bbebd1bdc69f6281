package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// lastPlan returns the last routing plan that was published, nil if there is none.
func lastPlan(commands []command.Command) *forward.Plan {
	plans := commandsOf[command.PublishRouting](commands)
	if len(plans) == 0 {
		return nil
	}
	return plans[len(plans)-1].Plan
}

// TestLeavingServerGetsNothingNew guards against requests that are sent to a server after
// it announced that it is leaving, or after its record was removed in normal operation.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	w := newWorld(t)
	require.Len(t, lastPlan(w.step(w.server("s1", nil), w.server("s2", nil))).Services["engines"], 2)
	plan := lastPlan(w.step(w.server("s1", func(s *registry.Server) { s.Leaving = true })))
	require.Len(t, plan.Services["engines"], 1)
	w.advance(missingGracePeriod) // records may return within this time after the feed came up
	require.Empty(t, lastPlan(w.step(w.removed("s2"))).Services["engines"])
	require.Empty(t, commandsOf[command.StartRun](w.accept(submission(1))))
}

// TestRecordsExpiredDuringOutage guards against servers that are deleted only because
// the store was unavailable, and against one that is never deleted.
func TestRecordsExpiredDuringOutage(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil), w.server("s2", nil))
	w.step(event.FeedChanged{Table: feedServers, Down: true})
	w.advance(5 * time.Second)
	w.step(event.FeedChanged{Table: feedServers})
	w.step(event.ServersRead{Full: true})
	w.advance(time.Second)
	require.Equal(t, 2, w.tables.Rollout.Servers.Len())
	w.step(w.server("s1", nil))
	w.advance(missingGracePeriod)
	require.NotNil(t, w.tables.Rollout.Servers.Find("s1"))
	require.Nil(t, w.tables.Rollout.Servers.Find("s2"))
}

// TestOnlyThisHostWasCutOff guards against a host that was cut off, while the store served the
// others, and that keeps sending requests to servers whose records were removed meanwhile.
func TestOnlyThisHostWasCutOff(t *testing.T) {
	cutOff := func(w *world) {
		w.step(w.server("s1", nil), w.server("s2", nil))
		for _, feed := range []string{feedServers, feedCoordination} {
			w.step(event.FeedChanged{Table: feed}, event.FeedCaughtUp{Table: feed})
		}
		for _, feed := range []string{feedServers, feedCoordination} {
			w.step(event.FeedChanged{Table: feed, Down: true})
		}
		w.advance(9 * time.Second)
		w.step(event.FeedChanged{Table: feedServers}, w.removed("s2"), event.FeedCaughtUp{Table: feedServers}, event.FeedChanged{Table: feedCoordination})
	}
	served := func(w *world, d time.Duration) event.Event {
		return event.OrderLeaseRead{Holder: otherProcess, StoreUpFor: d, Version: w.version()}
	}

	w := newWorld(t)
	cutOff(w)
	w.step(served(w, time.Minute))
	require.NotNil(t, w.tables.Rollout.Servers.Find("s2"), "the row may be from before an outage of the store")
	w.step(event.FeedCaughtUp{Table: feedCoordination})
	w.step(served(w, time.Minute))
	w.step()
	require.Nil(t, w.tables.Rollout.Servers.Find("s2"))
	require.NotNil(t, w.tables.Rollout.Servers.Find("s1"))

	w = newWorld(t)
	cutOff(w)
	w.step(event.FeedCaughtUp{Table: feedCoordination})
	back := w.now
	w.step(served(w, time.Second))
	w.advance(missingGracePeriod - time.Second - 100*time.Millisecond)
	require.NotNil(t, w.tables.Rollout.Servers.Find("s2"), "the store was away for all, the record may come back")
	w.advance(200 * time.Millisecond)
	require.Nil(t, w.tables.Rollout.Servers.Find("s2"))
	require.Less(t, w.now, back+missingGracePeriod)
}

// TestRestartUnderTheSameID guards against a restarted server that inherits the state
// observed before its restart.
func TestRestartUnderTheSameID(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	w.tables.Rollout.Servers.Find("s1").Failures = 1
	w.step(w.server("s1", func(s *registry.Server) { s.StartedUnixMS = 2 }))
	require.Zero(t, w.tables.Rollout.Servers.Find("s1").Failures)
}

// TestFailingServerIsAvoided guards against a server that keeps receiving requests
// while it fails them, and against one that is never tried again.
func TestFailingServerIsAvoided(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil), w.server("s2", nil))
	fail := event.ServerOutcome{Outcome: forward.Outcome{Server: "s1", Failed: true}}
	w.step(fail)
	plan := lastPlan(w.step(fail))
	for _, s := range plan.Services["engines"] {
		require.Equal(t, s.ID == "s1", s.Suspect)
	}
	plan = lastPlan(w.advance(minSuspectPeriod + 100*time.Millisecond))
	require.False(t, plan.Services["engines"][0].Suspect || plan.Services["engines"][1].Suspect)
}

// TestRefusingServerIsTriedByOneItem guards against all waiting items being sent again
// and again to a server that loads weights. Such items once were half of all arrivals
// in a simulated day.
func TestRefusingServerIsTriedByOneItem(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", func(s *registry.Server) { s.Slots = 4 }))
	runs := commandsOf[command.StartRun](w.accept(submission(4)))
	require.Len(t, runs, 4)
	var refused []event.Event
	for _, c := range runs {
		e := endedRun(c)
		e.Failure = &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonBackendRefused}
		refused = append(refused, e)
	}
	w.step(refused...)
	tries := commandsOf[command.StartRun](w.advance(maxBusyPause + 30*time.Millisecond))
	require.Len(t, tries, 1)
	require.Len(t, commandsOf[command.StartRun](w.step(event.RunStarted{Server: "s1", Model: model, Version: 1})), 3)
}

// TestItemsTestEnginesThatMayLoad guards against the items of a lot that are sent to
// engines that load the version named just before. In a simulated day, 16% of the runs
// were refused by an engine.
func TestItemsTestEnginesThatMayLoad(t *testing.T) {
	w := newWorld(t)
	four := func(s *registry.Server) { s.Slots = 4 }
	w.step(w.server("s1", four), w.server("s2", four))
	w.advance(assignInterval)
	w.step(event.VersionNamed{Model: model, Version: 2})
	runs := commandsOf[command.StartRun](w.accept(submission(8)))
	require.Len(t, runs, 2, "one run tests each engine")
	refused := endedRun(runs[0])
	refused.Versions, refused.Version = nil, 0
	refused.Failure = &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonBackendRefused}
	more := commandsOf[command.StartRun](w.step(refused, event.RunStarted{Server: runs[1].Target.ID, Model: model, Version: 1}))
	require.Len(t, more, 3)
	for _, c := range more {
		require.Equal(t, runs[1].Target.ID, c.Target.ID, "the other engine loads")
	}
}

// TestLoadingEngineIsTriedNearItsEnd guards against items that are sent to an engine again
// and again while it loads weights. In a simulated day, each load refused seven.
func TestLoadingEngineIsTriedNearItsEnd(t *testing.T) {
	const load = 900 * time.Millisecond
	w := newWorld(t)
	w.step(w.server("s1", nil))
	w.advance(assignInterval)
	tries := 0
	loadOnce := func(version registry.Version, id string) {
		tries = 0
		commands := w.step(event.VersionNamed{Model: model, Version: version})
		s := submission(1)
		s.ID = id
		commands = append(commands, w.accept(s)...)
		for end := w.now + load; ; {
			var in []event.Event
			for _, c := range commandsOf[command.StartRun](commands) {
				tries++
				if w.now > end {
					w.step(event.RunStarted{Server: "s1", Model: model, Version: version})
					done := endedRun(c, "x")
					done.Version = version
					w.step(done)
					return
				}
				e := endedRun(c)
				e.Versions, e.Version = nil, 0
				e.Failure = &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonBackendRefused}
				in = append(in, e)
			}
			commands = w.step(in...)
		}
	}
	loadOnce(2, "l1")
	require.Greater(t, tries, 3, "the time of a load is not known yet")
	loadOnce(3, "l2")
	require.LessOrEqual(t, tries, 4, "one try at the start, few near the end")
	loadOnce(4, "l3")
	require.LessOrEqual(t, tries, 4)
}

// TestIdleTimeIsNoLoadTime guards against engines that are left alone for seconds after each
// refusal, because the time between two lots was taken for the time of a load.
func TestIdleTimeIsNoLoadTime(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	s := w.tables.Rollout.Servers.Find("s1")
	recordRefusal(w.now, &w.tables.Rollout, s)
	w.now += 10 * time.Second
	w.step(event.RunStarted{Server: "s1", Model: model, Version: 1})
	require.Zero(t, w.tables.Rollout.LoadTimes["engines"])
	recordRefusal(w.now, &w.tables.Rollout, s)
	w.now += loadTimeout / 2
	w.step(event.RunStarted{Server: "s1", Model: model, Version: 1})
	require.InDelta(t, loadTimeout/2, w.tables.Rollout.LoadTimes["engines"], float64(20*time.Millisecond))
}

// TestWeightsOlderThanTheLotAllows guards against items that are generated with weights
// older than the minimum version of their lot.
func TestWeightsOlderThanTheLotAllows(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil), w.server("s2", func(s *registry.Server) { s.Models = map[string]registry.Version{model: 2} }))
	s := submission(1)
	s.MinimumVersion = 2
	runs := commandsOf[command.StartRun](w.accept(s))
	require.Len(t, runs, 1)
	require.Equal(t, "s2", runs[0].Target.ID)
	require.EqualValues(t, 2, runs[0].MinVersion)
}

// TestOnlyLeaseHolderSendsOrders guards against orders without a lease, orders after its
// end and orders with the fencing token of another holder.
func TestOnlyLeaseHolderSendsOrders(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil), event.VersionNamed{Model: model, Version: 2})
	commands := w.advance(500 * time.Millisecond)
	require.Empty(t, commandsOf[command.SendOrder](commands))
	require.Len(t, commandsOf[command.WriteOrderLease](commands), 1)
	commands = w.step(event.OrderLeaseWritten{SentAt: w.now, Version: 41, Acquired: true})
	orders := commandsOf[command.SendOrder](append(commands, w.advance(300*time.Millisecond)...))
	require.Len(t, orders, 1)
	require.EqualValues(t, 41, orders[0].Fence)
	require.Equal(t, w.tables.Rollout.OrderLease.ValidUntil, orders[0].ValidUntil)

	w.step(event.OrderEnded{Server: "s1", Model: model, Version: 2, Failure: &event.Failure{Verdict: verdict.NotRun}})
	w.step(event.OrderLeaseWritten{Failure: &event.Failure{Verdict: verdict.MayHaveRun}})
	w.now = w.tables.Rollout.OrderLease.ValidUntil
	require.Empty(t, commandsOf[command.SendOrder](w.advance(100*time.Millisecond)), "no order is sent after the end of the lease")
}

// TestOnlyNeededEnginesAreLoaded guards against a version that is loaded on every engine
// of a large deployment. In a simulated day with 100 hosts, 3,032 orders were sent where a
// tenth would have been enough.
func TestOnlyNeededEnginesAreLoaded(t *testing.T) {
	w := newWorld(t)
	servers := make([]event.Event, 40)
	for i := range servers {
		servers[i] = w.server(fmt.Sprintf("s%02d", i), nil)
	}
	w.step(servers...)
	w.step(headsRead(w.head("l", otherProcess, 0, 8)), event.VersionNamed{Model: model, Version: 2})
	acquires := commandsOf[command.WriteOrderLease](w.advance(500 * time.Millisecond))
	require.Len(t, acquires, 1)
	commands := w.step(event.OrderLeaseWritten{SentAt: w.now, Version: 41, Acquired: true})
	loaded := make(map[string]bool)
	for range 100 {
		in := []event.Event{event.OrderLeaseWritten{SentAt: w.now, Version: w.tables.Rollout.OrderLease.Version + 1}}
		for _, o := range commandsOf[command.SendOrder](commands) {
			loaded[o.Target.ID] = true
			in = append(in, event.OrderEnded{Server: o.Target.ID, Model: model, Version: 2},
				w.server(o.Target.ID, func(s *registry.Server) { s.Models = map[string]registry.Version{model: 2} }))
		}
		commands = append(w.step(in...), w.advance(50*time.Millisecond)...)
	}
	require.Len(t, loaded, slotsPerItem*8/2, "each server has two slots")
	commands = w.step(w.removed("s00"))
	require.Len(t, commandsOf[command.SendOrder](append(commands, w.advance(100*time.Millisecond)...)), 1, "another engine replaces one that is gone")
}

// TestNewHolderWaits guards against orders of two successive holders that are less than
// OrderHandoverDelay apart.
func TestNewHolderWaits(t *testing.T) {
	w := newWorld(t)
	seen := w.now
	w.step(w.server("s1", nil), event.VersionNamed{Model: model, Version: 2}, event.OrderLeaseRead{Holder: otherProcess, Version: 9})
	require.Empty(t, commandsOf[command.WriteOrderLease](w.advance(orderLeaseTakeoverTimeout-100*time.Millisecond)), "the holder has not timed out yet")
	acquires := commandsOf[command.WriteOrderLease](w.advance(time.Second))
	require.Len(t, acquires, 1)
	require.EqualValues(t, 9, acquires[0].Version)
	w.step(event.SettingsRead{OrderHandoverDelay: 4 * time.Second})
	w.step(event.OrderLeaseWritten{SentAt: w.now, Version: 10, Acquired: true})
	for w.now < seen+orderLeaseValidity+4*time.Second {
		for _, c := range w.step() {
			require.NotEqual(t, "send_order", c.Name())
			if c, ok := c.(command.WriteOrderLease); ok && !c.Acquire {
				w.step(event.OrderLeaseWritten{SentAt: w.now, Version: w.tables.Rollout.OrderLease.Version + 1})
			}
		}
	}
}

// TestEnginesStayWithTheirModel guards against engines that are assigned to another model
// when a version is named. In a simulated day, up to 32 of 36 engines were.
func TestEnginesStayWithTheirModel(t *testing.T) {
	w := newWorld(t)
	s := state(2)
	service := s.Services["engines"]
	service.Models = []string{"m", "n", "o"}
	s.Services["engines"] = service
	w.step(event.DesiredRead{State: s})
	versions := func(v registry.Version) func(*registry.Server) {
		return func(s *registry.Server) { s.Models = map[string]registry.Version{"m": v, "n": v, "o": v} }
	}
	for _, id := range []string{"s1", "s2", "s3", "s4", "s5", "s6"} {
		w.step(w.server(id, versions(4)))
	}
	w.step(event.VersionNamed{Model: "m", Version: 4}, event.VersionNamed{Model: "n", Version: 4}, event.VersionNamed{Model: "o", Version: 4})
	w.advance(assignInterval)
	assigned := make(map[string]string)
	count := make(map[string]int)
	for id, s := range w.tables.Rollout.Servers.All() {
		assigned[id] = s.PreferredModel
		count[s.PreferredModel]++
	}
	require.Equal(t, map[string]int{"m": 2, "n": 2, "o": 2}, count)
	w.step(event.VersionNamed{Model: "m", Version: 5})
	w.advance(2 * assignInterval)
	for id, s := range w.tables.Rollout.Servers.All() {
		require.Equal(t, assigned[id], s.PreferredModel)
	}
}

// TestQuotasFollowDemand guards against lots that wait while engines of other models are
// idle.
func TestQuotasFollowDemand(t *testing.T) {
	all := computeQuotas(10, []string{"a", "b", "c"}, map[string]int{"a": 100, "b": 700})
	require.Equal(t, []quota{{"a", 1}, {"b", 6}, {"c", 3}}, all)
	for _, q := range computeQuotas(2, []string{"a", "b", "c"}, nil) {
		require.Equal(t, 1, q.servers)
	}
}

// TestDesiredStateNeverGoesBack guards against an older desired state that arrives late
// and replaces a newer one.
func TestDesiredStateNeverGoesBack(t *testing.T) {
	w := newWorld(t)
	w.step(event.DesiredRead{State: state(5)})
	require.Nil(t, lastPlan(w.step(event.DesiredRead{State: state(4)})))
	require.EqualValues(t, 5, w.tables.Rollout.Desired.Version)
}

// TestRunnerIsPublishedWithExpiry guards against lots that are assigned to a process that
// has stopped: a runner is published with the time until which it is considered alive.
func TestRunnerIsPublishedWithExpiry(t *testing.T) {
	w := newWorld(t)
	commands := w.step(headsRead(w.head("l", otherProcess, 0, 2)))
	runners := commandsOf[command.PublishRunners](commands)
	require.Len(t, runners, 1)
	require.Equal(t, otherProcess, runners[0].Runners[model].Owner)
	require.Equal(t, w.now+runnerTTL, runners[0].Runners[model].AliveUntil)
}
