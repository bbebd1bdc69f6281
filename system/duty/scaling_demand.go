package duty

import (
	"maps"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/scaling"
	"github.com/lavenderstand/lavenderstand/system/rollout"
	"github.com/lavenderstand/lavenderstand/table"
)

// demandInterval is the time between two observations of the demand. Lots are observed when
// their heads arrive, because trainers submit all at once.
const demandInterval = 250 * time.Millisecond

// maxLoadPerSlot bounds the requests per slot that a server can report, so that false figures
// of one server do not have the most servers ordered.
const maxLoadPerSlot = 4

// lateOpenShare is the share of its items that an overdue lot must have open. A trainer does not
// wait for the last groups of a lot.
const lateOpenShare = 0.5

// maxLateSteps is the age of an overdue lot, in completion targets, from which it does not count:
// its trainer may have given it up.
const maxLateSteps = 3

// intervalSmoothing is the weight of the newest interval between two versions of a model.
const intervalSmoothing = 0.3

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
	observeSteps(now, t, scaled, loads)
	out.WakeAt(now + demandInterval)
	for _, service := range scaled {
		row, _ := s.Services.Upsert(service.Name)
		observe(now, r, row, service.Name, loads[service.Name])
		observeNamed(r, row, service.Models)
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
	reported, open, ordinary, spot := 0, 0.0, 0, 0
	var slots []int
	for _, s := range r.Servers.All() {
		if s.Service != service {
			continue
		}
		reported += min(s.Load.TakePeak(), maxLoadPerSlot*s.Slots)
		if !s.Leaving {
			slots = append(slots, s.Slots)
			if s.Spot {
				spot++
			} else {
				ordinary++
			}
		}
	}
	if listCurrent(now, r) {
		row.Level.Observe(now, ordinary, spot)
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
			load = newLoad()
			loads[service] = load
		}
		load.Open[l.Head.Model] += float64(open)
		if l.SeenAt > observedAt || observedAt == 0 {
			load.Largest[l.Head.Model] = max(load.Largest[l.Head.Model], float64(l.Head.Total))
		}
	}
	return loads
}

func newLoad() scaling.Load {
	return scaling.Load{
		Open: make(map[string]float64), Largest: make(map[string]float64),
		Steps: make(map[string]scaling.Step), Late: make(map[string]scaling.Step),
	}
}

// observeSteps records the last step of each model that was ready, and the one that is overdue
// for the longest time. Trainers may submit the next lot before the last one is ready.
func observeSteps(now time.Duration, t *table.Tables, scaled []desired.Service, loads map[string]scaling.Load) {
	published := make(map[string]*table.Lot)
	for _, l := range t.Rollout.Lots.All() {
		p := published[l.Head.Model]
		if l.Head.ReadyMS > 0 && (p == nil || p.Head.AcceptedUnixMS < l.Head.AcceptedUnixMS) {
			published[l.Head.Model] = l
		}
	}
	for model, l := range published {
		service := serviceOfModel(t.Rollout.Desired, scaled, model)
		if service == "" {
			continue
		}
		load, ok := loads[service]
		if !ok {
			load = newLoad()
			loads[service] = load
		}
		load.Steps[model] = scaling.Step{
			Took: time.Duration(l.Head.ReadyMS) * time.Millisecond, Target: completionTarget(t.Rollout.Desired, service),
		}
	}
	for _, l := range t.Rollout.Lots.All() {
		service := serviceOfModel(t.Rollout.Desired, scaled, l.Head.Model)
		load, ok := loads[service]
		if !ok || !l.Head.Open() {
			continue
		}
		target := completionTarget(t.Rollout.Desired, service)
		age, open := now-l.SeenAt, float64(l.Head.Total-l.Head.Listed)
		if age > max(target, load.Late[l.Head.Model].Took) && age <= maxLateSteps*target && open > lateOpenShare*float64(l.Head.Total) {
			load.Late[l.Head.Model] = scaling.Step{Took: age, Target: target}
		}
	}
}

// completionTarget returns the shortest time in which lots on a service are due.
func completionTarget(d *desired.State, service string) time.Duration {
	shortest := time.Duration(0)
	for i := range d.Routes {
		route := &d.Routes[i]
		offers := slices.ContainsFunc(route.Services, func(s desired.WeightedService) bool { return s.Service == service })
		if target := rollout.CompletionTarget(route); route.Kind == desired.KindRollout && offers && (shortest == 0 || target < shortest) {
			shortest = target
		}
	}
	if shortest == 0 {
		return rollout.CompletionTarget(nil)
	}
	return shortest
}

// observeNamed records the intervals between the versions of a service's models.
func observeNamed(r *table.Rollout, row *table.ScaledService, models []string) {
	if row.Named == nil {
		row.Named = make(map[string]table.NamedVersions)
	}
	for _, model := range models {
		m, seen := r.Models.Find(model), row.Named[model]
		if m == nil || m.NamedVersion <= seen.Version {
			continue
		}
		if seen.Version > 0 {
			interval := float64(m.NamedAt-seen.At) / float64(m.NamedVersion-seen.Version)
			if seen.Interval > 0 {
				interval = float64(seen.Interval) + intervalSmoothing*(interval-float64(seen.Interval))
			}
			seen.Interval = time.Duration(interval)
		}
		seen.Version, seen.At = m.NamedVersion, m.NamedAt
		row.Named[model] = seen
	}
}

// loadLimit returns the number of engines of a service that can load each version, 0 if there
// is no limit. The load time is known for the loads at once that the engines at the start need;
// it is not known whether more of them would slow each other down.
func loadLimit(r *table.Rollout, row *table.ScaledService, service string) int {
	perSecond, models := 0.0, 0 // versions of all models
	for _, n := range row.Named {
		models++
		if n.Interval > 0 {
			perSecond += 1 / n.Interval.Seconds()
		}
	}
	if perSecond == 0 {
		return 0
	}
	interval := time.Duration(float64(models) / perSecond * float64(time.Second))
	return scaling.LoadLimit(rollout.LoadsAtOnce(row.Level.Start), interval, rollout.ExpectedLoad(r, service))
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
