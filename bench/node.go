package bench

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Polling intervals of a process, as in its default settings.
const (
	hostListInterval = time.Second            // between two reads of the host list
	stateInterval    = 500 * time.Millisecond // between two reads of a server's state
)

// node is a process with its own tables and control loop: an entry host or the
// controller.
type node struct {
	sim      *simulation
	zone     int
	tables   *table.Tables
	loop     *control.Loop
	inbox    []event.Event
	lastTick time.Duration
	nextTick time.Duration              // -1 if no tick is scheduled
	execute  func(command.Command) bool // runs commands of this role; returns false for others
}

func (sim *simulation) newNode(id string, zone int, role table.Role, systems []system.Named) *node {
	n := &node{sim: sim, zone: zone, nextTick: -1}
	n.tables = table.New(table.Self{ID: id, Host: id, Zone: zoneName(zone), Role: role, Address: id})
	n.tables.Config.Version, n.tables.Config.Confirmed = 1, true
	n.tables.Config.Body = sim.config()
	n.loop = control.NewLoop(control.Options{Tables: n.tables, Systems: systems})
	return n
}

// post delivers an event. The next tick runs as soon as control.MinTickInterval has passed
// since the last one.
func (n *node) post(e event.Event) {
	n.inbox = append(n.inbox, e)
	n.scheduleTick(max(n.sim.now, n.lastTick+control.MinTickInterval))
}

// scheduleTick schedules a tick, unless an earlier one is scheduled.
func (n *node) scheduleTick(t time.Duration) {
	if n.nextTick >= 0 && n.nextTick <= t {
		return
	}
	n.nextTick = t
	n.sim.at(t, func() {
		if n.nextTick == t {
			n.tick()
		}
	})
}

func (n *node) tick() {
	in := n.inbox
	n.inbox, n.lastTick, n.nextTick = nil, n.sim.now, -1
	commands, next := n.loop.Step(n.sim.now, in)
	for _, c := range commands {
		if !n.execute(c) {
			n.executeCommon(c)
		}
	}
	n.scheduleTick(next)
}

// executeCommon runs the commands that both roles issue.
func (n *node) executeCommon(c command.Command) {
	sim := n.sim
	switch c := c.(type) {
	case command.Count:
		sim.result.recordCount(sim, c)
	case command.ReadHostList:
		sim.after(2*time.Millisecond, func() { n.post(event.HostListRead{Hosts: sim.hostList.visible(sim.now)}) })
	case command.ReadState:
		s := sim.servers[c.Backend]
		sim.after(2*sim.zoneDelay(n.zone, s.zone), func() { n.readState(s) })
	case command.ReadCacheEvents:
		s := sim.servers[c.Backend]
		sim.after(2*sim.zoneDelay(n.zone, s.zone), func() { n.readCache(s, c.After) })
	}
}

func (n *node) readState(s *server) {
	if s.down {
		n.post(event.StateReported{Backend: s.name, Failure: unreachable})
		return
	}
	state := s.reported
	state.AgeMS = (n.sim.now - s.reportedAt).Milliseconds()
	n.post(event.StateReported{Backend: s.name, State: state})
}

func (n *node) readCache(s *server, after uint64) {
	read := event.CacheReported{Backend: s.name}
	if s.down {
		read.Failure = unreachable
	} else if len(s.cacheVisible) > 0 {
		for _, e := range s.cache.after(after, s.cacheVisible[0]) {
			if n.sim.random.Float64() >= cacheEventLossShare {
				read.Events.Events = append(read.Events.Events, e)
			}
		}
	}
	n.post(read)
}

var unreachable = &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed}

// host is an entry host.
type host struct {
	*node
	id     string
	plan   *plan.Plan    // newest published plan
	policy requestPolicy // retry budgets
}

func (sim *simulation) newHost(i int) *host {
	id := "e" + string(rune('1'+i))
	h := &host{id: id}
	h.node = sim.newNode(id, i%sim.setup.Deployment.Zones, table.RoleEntry, []system.Named{
		{Name: "membership", Run: system.Membership(hostListInterval)},
		{Name: "load", Run: system.LoadReports(stateInterval)},
		{Name: "departure", Run: system.Departure()},
		{Name: "ejection", Run: system.Ejection()},
		{Name: "classes", Run: system.Classes()},
		{Name: "prefixes", Run: system.Prefixes()},
		{Name: "routing", Run: system.Routing(system.RoutingOptions{})},
	})
	h.execute = func(c command.Command) bool {
		published, ok := c.(command.PublishPlan)
		if ok {
			h.plan = published.Plan
		}
		return ok
	}
	return h
}
