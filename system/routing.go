package system

import (
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/table"
)

// Routing builds the plan for traffic from the tables and publishes it each
// tick in which an event arrived.
func Routing() System {
	var sequence uint64
	positions := make(map[string]*atomic.Uint64) // round robin positions by pool
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		if len(in) == 0 && sequence > 0 {
			return
		}
		sequence++
		out.Add(command.PublishPlan{Plan: buildPlan(sequence, t, positions)})
	}
}

func buildPlan(sequence uint64, t *table.Tables, positions map[string]*atomic.Uint64) *plan.Plan {
	p := &plan.Plan{
		Sequence:      sequence,
		ConfigVersion: t.Config.Version,
		Draining:      t.Self.Draining,
		Routes:        t.Config.Body.Routes,
		Models:        make(map[string]*plan.Pool),
		Services:      make(map[string]*plan.Pool),
	}
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
			pool = &plan.Pool{Next: position(positions, prefix+b.Model)}
			pools[b.Model] = pool
		}
		pool.Backends = append(pool.Backends, planBackend(b))
	}
	return p
}

func position(positions map[string]*atomic.Uint64, key string) *atomic.Uint64 {
	if positions[key] == nil {
		positions[key] = new(atomic.Uint64)
	}
	return positions[key]
}

func planBackend(b *table.Backend) plan.Backend {
	return plan.Backend{
		Name: b.Name, Address: b.Address, Zone: b.Zone, BootID: b.BootID,
		Version: b.Active, Report: b.Report, Counters: b.Counters,
	}
}
