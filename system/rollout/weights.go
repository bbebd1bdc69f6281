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
	// loadTime is how long an engine takes for a load when few load at once. After
	// it the engine publishes the version, or it is asked again.
	loadTime = 1300 * time.Millisecond
	// orderRetry is the wait after an order that was refused.
	orderRetry = 250 * time.Millisecond
	// orderUnknown is the wait after an order without an answer: it may have been
	// accepted, or may be carried out late. The next order is conditional on the
	// number of orders that the engine has accepted.
	orderUnknown = 700 * time.Millisecond
	// leaseMargin keeps an order from being sent at the very end of the lease.
	leaseMargin = 250 * time.Millisecond
	// serversPerLoad is the number of servers for one load at a time: loads beyond
	// that slow each other down.
	serversPerLoad = 5
	minLoads       = 2
	// spareSlots is the number of slots of a model's engines for one item of its largest
	// lot. Two lots may be open at a time; engines beyond that would be loaded for nothing.
	spareSlots = 2
	// loadingShare is the number of servers of a model for one load at a time, so that
	// the others run the lot that is submitted when the version is named.
	loadingShare = 3
)

// Weights moves the engines of each model to the version that its trainer named.
func Weights(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		if o, ok := e.(event.OrderEnded); ok {
			orderEnded(now, r, o, out)
		}
	}
	d := &r.OrderLease
	if !d.Held || r.Draining || r.Desired == nil || now >= d.ValidUntil-leaseMargin {
		return
	}
	if now < d.OrdersFrom {
		out.WakeAt(d.OrdersFrom)
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

func orderService(now time.Duration, r *table.Rollout, service string, out *command.Outbox) {
	servers := neededEngines(r, engines(r, service))
	loading := 0
	for _, s := range servers {
		if isLoading(now, s) {
			loading++
		}
	}
	atOnce := max(minLoads, len(servers)/serversPerLoad)
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
		if loading >= atOnce || byModel[model].loading >= byModel[model].atOnce() {
			continue // an engine that ends its load wakes the loop
		}
		loading++
		byModel[model].loading++
		s.Order = table.Order{Model: model, Version: named, SentAt: now, Pending: true}
		out.Add(command.SendOrder{
			Target: target(s), Model: model, Version: named, Fence: r.OrderLease.Fence,
			ValidUntil: r.OrderLease.ValidUntil,
		})
	}
}

// neededEngines returns the engines that the lots of each model need. Those that are
// closest to the named version come first, so that the same ones are loaded each time.
func neededEngines(r *table.Rollout, servers []*table.Server) []*table.Server {
	items := largestLots(r)
	ordered := slices.Clone(servers)
	slices.SortStableFunc(ordered, func(a, b *table.Server) int {
		return cmp.Compare(b.Models[b.PreferredModel], a.Models[a.PreferredModel])
	})
	slots := make(map[string]int)
	return slices.DeleteFunc(ordered, func(s *table.Server) bool {
		enough := items[s.PreferredModel] > 0 && slots[s.PreferredModel] >= spareSlots*items[s.PreferredModel]
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

func isLoading(now time.Duration, s *table.Server) bool {
	return s.Order.Pending || (now < s.Order.NextOrderAt && s.Models[s.Order.Model] < s.Order.Version)
}

// modelLoads counts the engines of a model and those that load.
type modelLoads struct{ servers, loading int }

func (m *modelLoads) atOnce() int { return (m.servers + loadingShare - 1) / loadingShare }

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

func orderEnded(now time.Duration, r *table.Rollout, e event.OrderEnded, out *command.Outbox) {
	s := r.Servers.Find(e.Server)
	if s == nil {
		return
	}
	s.Order.Pending = false
	if e.Report != nil {
		for model, v := range e.Report.Models {
			if s.Models[model] != v {
				setVersion(s, model, v)
			}
		}
	}
	reason := ""
	switch {
	case e.Failure == nil:
		s.Order.NextOrderAt = now + loadTime
	case e.Failure.Verdict == verdict.MayHaveRun:
		s.Order.NextOrderAt, reason = now+orderUnknown, string(e.Failure.Reason)
	default:
		s.Order.NextOrderAt, reason = now+orderRetry, string(e.Failure.Reason)
	}
	out.WakeAt(s.Order.NextOrderAt)
	out.Add(command.LogChange{Message: "order to engine ended", Fields: []command.Field{
		field("server", e.Server), field("model", e.Model), field("version", itoa(int(e.Version))), field("reason", reason),
	}})
}
