package duty

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/scaling"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// scalingInterval is the time between two considerations of all orders.
	scalingInterval = 250 * time.Millisecond
	// maxOrdersUnderWay bounds the orders under way, so that a slow platform takes no more than
	// a part of the calls at once.
	maxOrdersUnderWay = 4
	// maxOrderRetry bounds the wait after failed orders and failed reads of the stored ones.
	maxOrderRetry = 4 * time.Second
	// serversSettleTime is the time after an outage of the store in which the list of servers
	// may be incomplete. Live servers write an expired record again within two seconds.
	serversSettleTime = 2500 * time.Millisecond
)

// Names of the feeds of the store from which the decision is made.
const (
	feedServers      = "servers"
	feedCoordination = "coordination"
)

// Scaling orders servers from the platform while this process holds the order lease. Each
// order is stored before it is sent.
func Scaling(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	s, lease := &t.Duties.Scaling, &t.Rollout.OrderLease
	changed := false
	for _, e := range in {
		switch e := e.(type) {
		case event.OrdersRead:
			applyOrdersRead(now, s, e, out)
		case event.ServersOrdered:
			lease.DutyCalls--
			applyOrdered(now, t, e, out)
			changed = true
		case event.ServersRead:
			changed = true // a server may leave
		}
	}
	if !ordersServers(t) || t.Rollout.Draining || !lease.MayAct(now) || !listCurrent(now, &t.Rollout) {
		return
	}
	if s.Fence != lease.Fence {
		*s = table.Scaling{Services: s.Services, ObservedAt: s.ObservedAt, Fence: lease.Fence, Calls: s.Calls}
	}
	if !s.Read {
		readOrders(now, s, out)
		return
	}
	if !changed && s.ObservedAt < s.CheckedAt && now < s.CheckedAt+scalingInterval {
		out.WakeAt(s.CheckedAt + scalingInterval)
		return
	}
	s.CheckedAt = now
	out.WakeAt(now + scalingInterval)
	for _, name := range slices.Sorted(maps.Keys(t.Rollout.Desired.Services)) {
		bounds := t.Rollout.Desired.Services[name].Scaling
		row := s.Services.Find(name)
		if bounds != nil && row != nil && row.Slots > 0 {
			scaleService(now, t, name, bounds, row, out)
		}
	}
}

// listCurrent reports whether the lists of servers and lots are complete and current.
func listCurrent(now time.Duration, r *table.Rollout) bool {
	servers, lots := r.Feeds.Find(feedServers), r.Feeds.Find(feedCoordination)
	return servers != nil && !servers.Down && servers.CaughtUp && now >= servers.Since+serversSettleTime &&
		lots != nil && !lots.Down && lots.CaughtUp && r.HeadsKnown
}

// readOrders has the stored orders read.
func readOrders(now time.Duration, s *table.Scaling, out *command.Outbox) {
	if s.Reading || s.Calls > 0 {
		return
	}
	if now < s.NextRead {
		out.WakeAt(s.NextRead)
		return
	}
	s.Reading = true
	out.Add(command.ReadOrders{Fence: s.Fence})
}

// applyOrdersRead records the stored orders. What this process ordered itself is known better
// from the answers, so only the version of such a row is used.
func applyOrdersRead(now time.Duration, s *table.Scaling, e event.OrdersRead, out *command.Outbox) {
	if e.Fence != s.Fence {
		return
	}
	s.Reading = false
	if e.Failure != nil {
		s.Failures++
		s.NextRead = now + backoff(minRetry, maxOrderRetry, s.Failures)
		count(out, "scaling_store_failed", "reason", string(e.Failure.Reason), 1)
		return
	}
	s.Read, s.Failures = true, 0
	if e.Unreadable > 0 {
		out.Add(command.LogChange{Message: "stored orders of servers cannot be decoded", Fields: []command.Field{field("rows", number(int64(e.Unreadable)))}})
	}
	for _, stored := range e.Orders {
		o, _ := s.Orders.Upsert(scaling.Key(stored.Service, stored.Zone, stored.Spot))
		o.Service, o.Zone, o.Spot, o.Version = stored.Service, stored.Zone, stored.Spot, stored.Version
		if stored.Valid && stored.Fence != s.Fence {
			o.Ordered, o.Number, o.At = true, stored.Number, now
			if row := s.Services.Find(stored.Service); row != nil {
				row.Level.Continue = true
			}
		}
	}
}

// scaleService gives the orders for a service that are due.
func scaleService(now time.Duration, t *table.Tables, service string, bounds *desired.Scaling, row *table.ScaledService, out *command.Outbox) {
	s := &t.Duties.Scaling
	view := viewService(now, t, service, bounds, row)
	need := view.Need
	d := scaling.Decide(now, view)
	if d.Wake > 0 {
		out.WakeAt(d.Wake)
	}
	figures := []command.Field{
		field("peak_slots", strconv.Itoa(int(need.Peak))), field("direct_slots", strconv.Itoa(int(need.Direct))),
		field("step_percent_of_target", strconv.Itoa(int(100*need.Pressure))), field("load_limit", strconv.Itoa(view.Limit)),
		field("slots_per_server", strconv.Itoa(row.Slots)), field("servers_needed", strconv.Itoa(d.Needed)),
		field("servers_present", strconv.Itoa(d.Present)), field("servers_wanted", strconv.Itoa(d.Wanted)),
	}
	logShort(row, service, &d, figures, out)
	for _, due := range d.Orders {
		if s.Calls >= maxOrdersUnderWay {
			return
		}
		if ok, next := t.Duties.Budget.Take(now, t.Duties.Settings.CallsPerSecond); !ok {
			out.WakeAt(next)
			return
		}
		order(now, t, due, figures, out)
	}
}

// viewService returns what the decision for a service is made from.
func viewService(now time.Duration, t *table.Tables, service string, bounds *desired.Scaling, row *table.ScaledService) scaling.Service {
	s := &t.Duties.Scaling
	v := scaling.Service{Bounds: *bounds, Need: row.Demand.Need(now), Level: &row.Level, Slots: row.Slots, Limit: loadLimit(&t.Rollout, row, service)}
	var keys []string
	for _, zone := range slices.Sorted(maps.Keys(bounds.ZonePrices)) {
		for _, spot := range []bool{false, true} {
			key := scaling.Key(service, zone, spot)
			if o, created := s.Orders.Upsert(key); created {
				o.Service, o.Zone, o.Spot = service, zone, spot
			}
			keys = append(keys, key)
		}
	}
	index := make(map[string]int, len(keys))
	for i, key := range keys { // after the last insertion, which ends pointers to rows
		index[key] = i
		v.Groups = append(v.Groups, scaling.Group{Order: s.Orders.Find(key)})
	}
	for _, server := range t.Rollout.Servers.All() {
		if server.Service != service {
			continue
		}
		i, scaled := index[scaling.Key(service, server.Zone, server.Spot)]
		switch {
		case scaled && server.Leaving:
			v.Groups[i].LeavingSince = max(v.Groups[i].LeavingSince, server.LeavingSince)
		case server.Leaving:
		case scaled:
			v.Groups[i].Present++
		default:
			v.Others++
		}
	}
	return v
}

// logShort reports when the servers that can be ordered cease to suffice, and when
// they suffice again.
func logShort(row *table.ScaledService, service string, d *scaling.Decision, figures []command.Field, out *command.Outbox) {
	if short := d.Wanted < d.Needed; short == row.Short {
		return
	}
	row.Short = !row.Short
	message := "enough servers can be ordered again"
	if row.Short {
		message = "not enough servers can be ordered"
		out.Add(command.Count{Counter: "servers_short", Tags: map[string]string{"service": service}, Delta: 1})
	}
	out.Add(command.LogChange{Message: message, Fields: append([]command.Field{field("service", service)}, figures...)})
}

// order has an order stored and sent.
func order(now time.Duration, t *table.Tables, due scaling.Due, figures []command.Field, out *command.Outbox) {
	s, lease := &t.Duties.Scaling, &t.Rollout.OrderLease
	o := due.Group.Order
	out.Add(command.LogChange{Message: "ordering servers", Fields: append([]command.Field{
		field("service", o.Service), field("zone", o.Zone), field("kind", scaling.Kind(o.Spot)), field("servers", strconv.Itoa(due.Number)),
		field("before", strconv.Itoa(o.InForce(due.Group.Present))), field("present_in_zone", strconv.Itoa(due.Group.Present)), field("reason", due.Reason),
	}, figures...)})
	o.Begin(now, due.Number, due.Reason)
	s.Calls++
	lease.DutyCalls++
	lease.LastOrderAt = now
	key := scaling.Key(o.Service, o.Zone, o.Spot)
	last, _ := t.Duties.Last.Upsert(nameScaling)
	*last = table.DutyCall{Subject: key, At: now}
	out.Add(command.OrderServers{
		Key: key, ValidUntil: lease.ValidUntil,
		Order: scaling.Stored{Service: o.Service, Zone: o.Zone, Spot: o.Spot, Number: due.Number, Fence: lease.Fence, Version: o.Version},
	})
}

// applyOrdered records the outcome of an order. An order without an answer stays in force,
// because it may have been carried out or still be. A refusal for lack of servers never
// releases the lease: it cannot be told from one because of a newer token.
func applyOrdered(now time.Duration, t *table.Tables, e event.ServersOrdered, out *command.Outbox) {
	s, lease := &t.Duties.Scaling, &t.Rollout.OrderLease
	s.Calls--
	lease.LastOrderAt = max(lease.LastOrderAt, now) // the call may have been sent just before
	outcome := outcomeSent
	if e.Failure != nil {
		outcome = string(e.Failure.Reason)
	}
	last, _ := t.Duties.Last.Upsert(nameScaling)
	last.Outcome = outcome
	count(out, "servers_ordered", "outcome", outcome, 1)
	o := s.Orders.Find(e.Key)
	if e.Fence != s.Fence || o == nil {
		return
	}
	o.Pending, o.Outcome = false, outcome
	if e.Failure == nil {
		o.Version, o.Failures = e.Version, 0
		return
	}
	o.Failures++
	o.NextAt = max(o.NextAt, now+backoff(minRetry, maxOrderRetry, o.Failures), now+e.Failure.RetryAfter)
	out.Add(command.LogChange{Message: "order of servers not confirmed", Fields: []command.Field{
		field("order", e.Key), field("servers", strconv.Itoa(o.Number)), field("outcome", outcome),
	}})
	if e.Version == 0 { // not stored, so not sent
		s.Read = false
		s.NextRead = now + cmp.Or(e.Failure.RetryAfter, minRetry)
		o.Undo()
		return
	}
	o.Version = e.Version
	if e.Failure.Verdict != verdict.NotRun {
		return
	}
	o.Undo()
	switch e.Failure.Reason {
	case verdict.ReasonConflict:
		o.Refused(now)
	case verdict.ReasonRateLimited:
		o.NextAt = max(o.NextAt, now+rateLimitWait)
	}
}
