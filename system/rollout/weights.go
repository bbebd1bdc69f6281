package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/registry"
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
)

// Weights moves the engines of each model to the version that its trainer named.
// Engines are shared among the models of their service, so that a version is loaded
// only where its model is served.
func Weights(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		if o, ok := e.(event.OrderEnded); ok {
			orderEnded(now, r, o, out)
		}
	}
	d := &r.Duty
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
		orderService(now, r, name, r.Desired.Services[name].Models, out)
	}
}

func orderService(now time.Duration, r *table.Rollout, service string, models []string, out *command.Outbox) {
	servers := engines(r, service)
	loading := 0
	for _, s := range servers {
		if s.Order.Pending || (now < s.Order.Until && s.Models[s.Order.Model] < s.Order.Version) {
			loading++
		}
	}
	atOnce := max(minLoads, len(servers)/serversPerLoad)
	for i, model := range share(r, servers, models) {
		s := servers[i]
		named := namedVersion(r, model)
		if s.Models[model] >= named {
			continue
		}
		if s.Order.Pending || now < s.Order.Until {
			out.WakeAt(s.Order.Until)
			continue
		}
		if loading >= atOnce {
			continue // an engine that ends its load wakes the loop
		}
		loading++
		s.Order = table.Order{Model: model, Version: named, SentAt: now, Pending: true}
		out.Add(command.SendOrder{
			Target: target(s), Model: model, Version: named, Fence: r.Duty.Fence,
			Lifetime: s.Lifetime, ValidUntil: r.Duty.ValidUntil,
		})
	}
}

// engines returns the servers of a service that may take orders, in the order of
// their ids.
func engines(r *table.Rollout, service string) []*table.Server {
	var servers []*table.Server
	for _, s := range r.Servers.All() {
		if s.Service == service && !s.Leaving && s.MissingSince == 0 && s.SuspectUntil == 0 {
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b *table.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return servers
}

func namedVersion(r *table.Rollout, model string) registry.Version {
	if m := r.Models.Find(model); m != nil {
		return m.Named
	}
	return 0
}

// share assigns a model to each server. A server stays with the model whose newest
// version it is closest to; what is left fills the models that lack servers. The
// result depends only on published versions, so that a new holder of the lease
// continues where the last one ended.
func share(r *table.Rollout, servers []*table.Server, models []string) []string {
	assigned := make([]string, len(servers))
	count := make(map[string]int, len(models))
	quota := (len(servers) + len(models) - 1) / len(models)
	for i, s := range servers {
		if home := closest(r, s, models); home != "" && count[home] < quota {
			assigned[i] = home
			count[home]++
		}
	}
	for i := range servers {
		if assigned[i] != "" {
			continue
		}
		least := models[0]
		for _, m := range models {
			if count[m] < count[least] {
				least = m
			}
		}
		assigned[i] = least
		count[least]++
	}
	return assigned
}

// closest returns the model whose named version the server is closest to, empty if
// several are equally close.
func closest(r *table.Rollout, s *table.Server, models []string) string {
	best, bestLag, tie := "", registry.Version(0), false
	for _, m := range models {
		lag := namedVersion(r, m) - s.Models[m]
		switch {
		case best == "" || lag < bestLag:
			best, bestLag, tie = m, lag, false
		case lag == bestLag:
			tie = true
		}
	}
	if tie {
		return ""
	}
	return best
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
		s.Order.Until = now + loadTime
	case e.Failure.Verdict == verdict.MayHaveRun:
		s.Order.Until, reason = now+orderUnknown, string(e.Failure.Reason)
	default:
		s.Order.Until, reason = now+orderRetry, string(e.Failure.Reason)
	}
	out.WakeAt(s.Order.Until)
	out.Add(command.LogChange{Message: "order to engine ended", Fields: []command.Field{
		field("server", e.Server), field("model", e.Model), field("version", itoa(int(e.Version))), field("reason", reason),
	}})
}
