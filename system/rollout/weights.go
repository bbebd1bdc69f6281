package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// loadTimeout bounds a load of weights. It covers the time that a load takes when few
	// engines load at once. An engine that has not published the version by then is sent
	// another order.
	loadTimeout = 1300 * time.Millisecond
	// orderRetryDelay is the wait after a refused order.
	orderRetryDelay = 250 * time.Millisecond
	// unknownOrderDelay is the wait after an order without an answer. The engine may have
	// accepted it or may still carry it out. The next order is conditional on the number
	// of orders that the engine has accepted.
	unknownOrderDelay = 700 * time.Millisecond
	// enginesPerLoad limits concurrent loads: one in enginesPerLoad of the engines that a
	// service needs may load at a time. More concurrent loads slow each other down.
	enginesPerLoad = 5
	// minConcurrentLoads is the number of engines of a service that may always load at
	// the same time.
	minConcurrentLoads = 2
	// slotsPerItem is the number of slots that a model's engines provide for each item of
	// its largest lot. It is 2 because two lots may be open at a time; engines beyond that
	// would be loaded without need.
	slotsPerItem = 2
	// modelEnginesPerLoad limits concurrent loads of one model: one in modelEnginesPerLoad
	// of its engines, rounded up, may load at a time. The others run the lot that is
	// submitted when the version is named.
	modelEnginesPerLoad = 3
)

// Weights orders the engines of each model to load the version that its trainer named.
func Weights(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		if o, ok := e.(event.OrderEnded); ok {
			orderEnded(now, r, o, out)
		}
	}
	lease := &r.OrderLease
	if lease.Held && now < lease.OrdersFrom {
		out.WakeAt(lease.OrdersFrom)
	}
	if !lease.MayAct(now) || r.Draining || r.Desired == nil {
		return
	}
	names := make([]string, 0, len(r.Desired.Services))
	for name, service := range r.Desired.Services {
		if len(service.Models) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		orderService(now, r, name, out)
	}
}

// orderService sends orders to the engines of a service that lag behind the named version
// of their model, within the limits of concurrent loads.
func orderService(now time.Duration, r *table.Rollout, service string, out *command.Outbox) {
	servers := neededEngines(r, engines(r, service))
	loading := 0
	for _, s := range servers {
		if isLoading(now, s) {
			loading++
		}
	}
	limit := LoadsAtOnce(len(servers))
	byModel := loadsByModel(now, servers)
	for _, s := range servers {
		model := s.PreferredModel
		named := namedVersion(r, model)
		if model == "" || s.SuspectUntil != 0 || s.Models[model] >= named {
			continue
		}
		if s.Order.Pending || now < s.Order.NextOrderAt {
			out.WakeAt(s.Order.NextOrderAt)
			continue
		}
		if loading >= limit || byModel[model].loading >= byModel[model].maxLoads() {
			continue // the end of a load triggers the next tick
		}
		loading++
		byModel[model].loading++
		s.Order = table.Order{Model: model, Version: named, SentAt: now, Pending: true}
		r.OrderLease.LastOrderAt = now
		out.Add(command.SendOrder{
			Target: target(s), Model: model, Version: named, Fence: r.OrderLease.Fence,
			ValidUntil: r.OrderLease.ValidUntil,
		})
	}
}

// expectLoads has each engine that lags behind the named version of its model tested by one
// run before it gets more. An engine that loads weights refuses all runs, and the items of a
// lot that is submitted when the version is named would all be sent to the first engines
// that load.
func expectLoads(r *table.Rollout, model string) {
	for _, s := range r.Servers.All() {
		if s.PreferredModel == model && s.Models[model] < namedVersion(r, model) {
			s.Refusals = max(1, s.Refusals)
		}
	}
}

// neededEngines returns the engines that the lots of each model need. Engines with the
// newest versions come first, so that the same ones are loaded each time.
func neededEngines(r *table.Rollout, servers []*table.Server) []*table.Server {
	items := largestLots(r)
	ordered := slices.Clone(servers)
	slices.SortStableFunc(ordered, func(a, b *table.Server) int {
		return cmp.Compare(b.Models[b.PreferredModel], a.Models[a.PreferredModel])
	})
	slots := make(map[string]int)
	return slices.DeleteFunc(ordered, func(s *table.Server) bool {
		enough := items[s.PreferredModel] > 0 && slots[s.PreferredModel] >= slotsPerItem*items[s.PreferredModel]
		if !enough && s.SuspectUntil == 0 {
			slots[s.PreferredModel] += s.Slots
		}
		return enough
	})
}

// largestLots returns the number of items of the largest known lot of each model.
func largestLots(r *table.Rollout) map[string]int {
	items := make(map[string]int)
	for _, l := range r.Lots.All() {
		items[l.Head.Model] = max(items[l.Head.Model], l.Head.Total)
	}
	return items
}

// LoadsAtOnce returns the number of engines of a service that may load weights at the same
// time if its lots need the given number.
func LoadsAtOnce(engines int) int { return max(minConcurrentLoads, engines/enginesPerLoad) }

// ExpectedLoad returns the expected time of a load of weights on an engine of a service. One
// that has not been measured counts as long as it may take.
func ExpectedLoad(r *table.Rollout, service string) time.Duration {
	if took := r.LoadTimes[service]; took > 0 {
		return took
	}
	return loadTimeout
}

// isLoading reports whether a server may still be loading the version of its newest
// order.
func isLoading(now time.Duration, s *table.Server) bool {
	return s.Order.Pending || (now < s.Order.NextOrderAt && s.Models[s.Order.Model] < s.Order.Version)
}

// modelLoads counts the engines of a model and those of them that load weights.
type modelLoads struct{ servers, loading int }

// maxLoads returns the number of the model's engines that may load at the same time.
func (m *modelLoads) maxLoads() int {
	return (m.servers + modelEnginesPerLoad - 1) / modelEnginesPerLoad
}

// loadsByModel returns the modelLoads of each model.
func loadsByModel(now time.Duration, servers []*table.Server) map[string]*modelLoads {
	loads := make(map[string]*modelLoads)
	for _, s := range servers {
		if loads[s.PreferredModel] == nil {
			loads[s.PreferredModel] = &modelLoads{}
		}
		loads[s.PreferredModel].servers++
		if isLoading(now, s) {
			loads[s.PreferredModel].loading++
		}
	}
	return loads
}

// orderEnded applies the outcome of an order and sets the time of the next one.
func orderEnded(now time.Duration, r *table.Rollout, e event.OrderEnded, out *command.Outbox) {
	s := r.Servers.Find(e.Server)
	if s == nil {
		return
	}
	s.Order.Pending = false
	if e.Report != nil {
		for model, v := range e.Report.Models {
			if s.Models[model] != v {
				setModelVersion(s, model, v)
			}
		}
	}
	reason := ""
	switch {
	case e.Failure == nil:
		s.Order.NextOrderAt = now + loadTimeout
	case e.Failure.Verdict == verdict.MayHaveRun:
		s.Order.NextOrderAt, reason = now+unknownOrderDelay, string(e.Failure.Reason)
	default:
		s.Order.NextOrderAt, reason = now+orderRetryDelay, string(e.Failure.Reason)
	}
	out.WakeAt(s.Order.NextOrderAt)
	out.Add(command.LogChange{Message: "order to engine ended", Fields: []command.Field{
		field("server", e.Server), field("model", e.Model), field("version", itoa(int(e.Version))), field("reason", reason),
	}})
}
