package duty

import (
	"maps"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/scaling"
	"github.com/lavenderstand/lavenderstand/table"
)

// demandInterval is the time between two observations of the demand. Lots are observed when
// their heads arrive, because trainers submit all at once.
const demandInterval = 250 * time.Millisecond

// maxLoadPerSlot bounds the requests per slot that a server can report, so that false figures
// of one server do not have the most servers ordered.
const maxLoadPerSlot = 4

// ordersServers reports whether servers are to be ordered in this deployment.
func ordersServers(t *table.Tables) bool {
	d := &t.Duties.Settings
	return d.Scaling && d.Address != "" && t.Rollout.Desired != nil
}

// Demand observes the demand for the services whose servers may be ordered. Every host does
// so, so that a new holder of the order lease knows the recent demand.
func Demand(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	if !ordersServers(t) {
		return
	}
	s, r := &t.Duties.Scaling, &t.Rollout
	for name := range s.Services.All() {
		if r.Desired.Services[name].Scaling == nil {
			s.Services.Delete(name)
		}
	}
	scaled := scaledServices(r.Desired)
	if len(scaled) == 0 {
		return
	}
	if due := s.ObservedAt + demandInterval; s.ObservedAt > 0 && now < due && !lotsRead(in) {
		out.WakeAt(due)
		return
	}
	loads := lotLoads(s.ObservedAt, t, scaled)
	out.WakeAt(now + demandInterval)
	for _, service := range scaled {
		row, _ := s.Services.Upsert(service.Name)
		observe(now, r, row, service.Name, loads[service.Name])
	}
	s.ObservedAt = now
}

// scaledServices returns the services whose servers may be ordered, sorted by name.
func scaledServices(d *desired.State) []desired.Service {
	var scaled []desired.Service
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		if service := d.Services[name]; service.Scaling != nil {
			service.Name = name
			scaled = append(scaled, service)
		}
	}
	return scaled
}

// lotsRead reports whether heads of lots arrived.
func lotsRead(in []event.Event) bool {
	return slices.ContainsFunc(in, func(e event.Event) bool {
		switch e.(type) {
		case event.HeadsRead, event.LotAccepted:
			return true
		}
		return false
	})
}

// observe records the load of a service. The load that its servers report includes the items
// that run, so that only what exceeds the open items is counted as requests.
func observe(now time.Duration, r *table.Rollout, row *table.ScaledService, service string, l scaling.Load) {
	reported, open := 0, 0.0
	var slots []int
	for _, s := range r.Servers.All() {
		if s.Service != service {
			continue
		}
		reported += min(s.Load.TakePeak(), maxLoadPerSlot*s.Slots)
		if !s.Leaving {
			slots = append(slots, s.Slots)
		}
	}
	if len(slots) > 0 { // the median, so that one odd record has no effect
		slices.Sort(slots)
		row.Slots = slots[len(slots)/2]
	}
	for _, n := range l.Open {
		open += n
	}
	l.Direct = max(0, float64(reported)-max(open, row.Open))
	row.Open = open
	row.Demand.Observe(now, l)
}

// lotLoads returns the items of open lots by service, and the largest lots that were seen first
// since the last observation.
func lotLoads(observedAt time.Duration, t *table.Tables, scaled []desired.Service) map[string]scaling.Load {
	loads := make(map[string]scaling.Load)
	for _, l := range t.Rollout.Lots.All() {
		open := l.Head.Total - l.Head.Listed
		if l.Head.Ended || open <= 0 {
			continue
		}
		service := serviceOfModel(t.Rollout.Desired, scaled, l.Head.Model)
		if service == "" {
			continue
		}
		load, ok := loads[service]
		if !ok {
			load = scaling.Load{Open: make(map[string]float64), Largest: make(map[string]float64)}
			loads[service] = load
		}
		load.Open[l.Head.Model] += float64(open)
		if l.SeenAt > observedAt || observedAt == 0 {
			load.Largest[l.Head.Model] = max(load.Largest[l.Head.Model], float64(l.Head.Total))
		}
	}
	return loads
}

// serviceOfModel returns the scaled service that runs the items of a model, empty if there is
// none. Items without a model run on a service of a rollout route that offers no models.
func serviceOfModel(d *desired.State, scaled []desired.Service, model string) string {
	for _, s := range scaled {
		if slices.Contains(s.Models, model) {
			return s.Name
		}
	}
	for _, route := range d.Routes {
		for _, share := range route.Services {
			for _, s := range scaled {
				if model == "" && route.Kind == desired.KindRollout && share.Service == s.Name && len(s.Models) == 0 {
					return s.Name
				}
			}
		}
	}
	return ""
}
