package system

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/table"
)

// minPlanInterval is the minimum time between builds of the routing plan. It
// bounds the cost when many load reports arrive, and it is shorter than the 100 ms
// within which a leaving backend must be removed from the plan.
const minPlanInterval = 50 * time.Millisecond

// RoutingOptions configures Routing.
type RoutingOptions struct {
	// ConfirmWithin is the time for which a confirmation of the configuration is
	// valid. If it is 0, plans never expire, which is meant for processes that do
	// not run the Configuration system.
	ConfirmWithin time.Duration
}

// Routing builds the routing plan for traffic from the tables and publishes it if
// it differs from the last published one.
func Routing(o RoutingOptions) System {
	r := &router{options: o, positions: make(map[string]*atomic.Uint64)}
	return r.run
}

// router holds the last published plan and the state for building the next one.
type router struct {
	options   RoutingOptions
	positions map[string]*atomic.Uint64 // round-robin position by pool
	last      *plan.Plan
	builtAt   time.Duration
	dirty     bool // events arrived since the last build
}

func (r *router) run(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r.dirty = r.dirty || len(in) > 0
	if r.last != nil {
		if now < r.builtAt+minPlanInterval {
			if r.dirty {
				out.WakeAt(r.builtAt + minPlanInterval)
			}
			return
		}
	}
	r.builtAt, r.dirty = now, false
	p := r.build(t)
	if r.last != nil && samePlan(r.last, p) {
		return
	}
	p.Sequence = 1
	if r.last != nil {
		p.Sequence = r.last.Sequence + 1
	}
	r.last = p
	out.Add(command.PublishPlan{Plan: p})
}

func (r *router) build(t *table.Tables) *plan.Plan {
	p := &plan.Plan{
		ConfigVersion: t.Config.Version,
		ValidUntil:    r.validUntil(t),
		Draining:      t.Self.Refusing,
		Routing:       t.Config.Body.Policy.Routing,
		Routes:        t.Config.Body.Routes,
		Classes:       buildClasses(t),
		Models:        make(map[string]*plan.Pool),
		Services:      make(map[string]*plan.Pool),
	}
	p.Hosts, p.Entries = buildEntries(t)
	for _, b := range t.Backends.All() {
		if !b.Routable() {
			continue
		}
		pools, prefix := p.Services, "service/"
		if b.Kind == table.KindEngine {
			pools, prefix = p.Models, "model/"
		}
		pool := pools[b.Model]
		if pool == nil {
			pool = &plan.Pool{
				Next:     r.position(prefix + b.Model),
				Backends: make([]plan.Backend, 0, r.lastPoolSize(b)),
			}
			pools[b.Model] = pool
		}
		pool.Backends = append(pool.Backends, planBackend(b))
	}
	for _, pool := range p.Models {
		markSlow(pool.Backends)
	}
	return p
}

// lastPoolSize returns the size of the backend's pool in the last plan, which is
// the likely size in the new plan.
func (r *router) lastPoolSize(b *table.Backend) int {
	if r.last == nil {
		return 0
	}
	pools := r.last.Services
	if b.Kind == table.KindEngine {
		pools = r.last.Models
	}
	if pool := pools[b.Model]; pool != nil {
		return len(pool.Backends)
	}
	return 0
}

func (r *router) validUntil(t *table.Tables) time.Duration {
	switch {
	case r.options.ConfirmWithin == 0:
		return math.MaxInt64
	case !t.Config.Confirmed:
		return 0
	default:
		return t.Config.ConfirmedAt + r.options.ConfirmWithin
	}
}

func (r *router) position(key string) *atomic.Uint64 {
	if r.positions[key] == nil {
		r.positions[key] = new(atomic.Uint64)
	}
	return r.positions[key]
}

func buildClasses(t *table.Tables) map[string]plan.Class {
	classes := make(map[string]plan.Class, t.Classes.Len())
	for name, c := range t.Classes.All() {
		classes[name] = plan.Class{Name: name, Target: c.Target, Priority: c.Priority, Share: c.Share}
	}
	return classes
}

// buildEntries returns the live entry hosts and their number. The number is at
// least 1, because this process may not have read its own row yet.
func buildEntries(t *table.Tables) (hosts int, entries []plan.EntryHost) {
	for _, h := range t.Hosts.All() {
		if h.Role == table.RoleEntry {
			entries = append(entries, plan.EntryHost{ID: h.ID, Zone: h.Zone, Address: h.Address})
		}
	}
	return max(1, len(entries)), entries
}

func planBackend(b *table.Backend) plan.Backend {
	return plan.Backend{
		Name: b.Name, Address: b.Address, Zone: b.Zone, BootID: b.BootID,
		Version: b.Active, Report: b.Report, SentAtReport: b.SentAtReport,
		Probe: b.Probing, Stale: b.ReportStale || b.ReportSeen == 0,
		RoundingOffset: b.RoundingOffset,
		Counters:       b.Counters, Prefixes: b.Hints.Set,
	}
}

func samePlan(a, b *plan.Plan) bool {
	return a.ConfigVersion == b.ConfigVersion && a.ValidUntil == b.ValidUntil && a.Draining == b.Draining &&
		a.Hosts == b.Hosts && a.Routing == b.Routing && slices.Equal(a.Entries, b.Entries) &&
		sameMap(a.Classes, b.Classes) && sameMap(a.Routes, b.Routes) &&
		samePools(a.Models, b.Models) && samePools(a.Services, b.Services)
}

func sameMap[V comparable](a, b map[string]V) bool {
	if len(a) != len(b) {
		return false
	}
	for key, value := range a {
		if other, ok := b[key]; !ok || other != value {
			return false
		}
	}
	return true
}

func samePools(a, b map[string]*plan.Pool) bool {
	if len(a) != len(b) {
		return false
	}
	for name, pool := range a {
		if b[name] == nil || !slices.Equal(pool.Backends, b[name].Backends) {
			return false
		}
	}
	return true
}
