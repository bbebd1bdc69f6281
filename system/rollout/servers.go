package rollout

import (
	"maps"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// missingGracePeriod is the time after an outage of the store for which servers with a
	// missing record are kept. A live server writes a record that expired during the outage
	// again within two seconds.
	missingGracePeriod = 2200 * time.Millisecond
	// suspectThreshold is the number of consecutive failures at which a server becomes
	// suspect and is used only if no other is left. A single failure may be just a lost
	// answer.
	suspectThreshold = 2
	// minSuspectPeriod is the time for which a server is first suspect. It doubles with
	// each further failure up to maxSuspectPeriod. After it, the server is tried again.
	minSuspectPeriod = 500 * time.Millisecond
	maxSuspectPeriod = 4 * time.Second
	// suspectRetryDelay is the wait between two runs on a suspect server if no other server
	// is left.
	suspectRetryDelay = 100 * time.Millisecond
	// minBusyPause is the time for which a server that refused an item is sent no other,
	// about the time in which one of eight running items ends. It doubles with each
	// further refusal up to maxBusyPause, because a server that loads weights refuses
	// items for about a second.
	minBusyPause = 40 * time.Millisecond
	maxBusyPause = 160 * time.Millisecond
	// earlyTryRatio is the share of the expected time of a load after which an engine that
	// refused an item is tried again.
	earlyTryRatio = 0.8
	// loadTimeSmoothing is the weight, from 0 to 1, of a new measurement in the expected time
	// of a load.
	loadTimeSmoothing = 0.3
)

// Servers maintains the table of backend servers from their published records.
func Servers(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		switch e := e.(type) {
		case event.ServersRead:
			for _, c := range e.Changes {
				applyServer(now, r, c, out)
			}
			if e.Full {
				removeUnlisted(now, r, e.Changes, out)
			}
		case event.ServersLeaving:
			applyLeaving(now, r, e, out)
		case event.LeavingRequested:
			answerLeaving(r, e.RequestID, out)
		}
	}
	askLeaving(r, out)
	expireLeaving(now, r)
	expireMissing(now, r, out)
}

// applyServer applies a changed record. A server that restarted or has a new address
// starts with an empty row.
func applyServer(now time.Duration, r *table.Rollout, c registry.Change, out *command.Outbox) {
	if c.Server == nil {
		if c.Reason == registry.ReasonUnreadable {
			out.Add(command.Count{Counter: "server_record_unreadable", Delta: 1})
		}
		if s := r.Servers.Find(c.ID); s != nil {
			markMissing(now, r, s, out)
		}
		return
	}
	s, created := r.Servers.Upsert(c.ID)
	if !created && c.RowVersion < s.RowVersion {
		return
	}
	if created || c.Server.StartedUnixMS != s.StartedUnixMS || c.Server.Address != s.Address {
		*s = table.Server{Load: new(forward.Load)}
		r.PlanChanged = true
		logServer("backend server joined", c.Server, out)
	}
	if s.MissingSince != 0 {
		r.PlanChanged = true
	}
	recordNotice(now, s, c.Server)
	changed := s.Software != c.Server.Software
	if !maps.Equal(s.Models, c.Server.Models) {
		r.PlanChanged = true
	}
	known := s.Leaving
	s.Server, s.RowVersion, s.MissingSince = *c.Server, c.RowVersion, 0
	recordLeaving(now, r, s, known, out)
	if changed {
		r.PlanChanged = true
		stopRunsOnOtherSoftware(r, s, out)
	}
}

func logServer(message string, s *registry.Server, out *command.Outbox, more ...command.Field) {
	out.Add(command.LogChange{Message: message, Fields: append([]command.Field{
		field("server", s.ID), field("service", s.Service), field("address", s.Address), field("zone", s.Zone),
		field("software", string(s.Software)),
	}, more...)})
}

// removeUnlisted marks the servers as missing whose records are absent from a full read.
func removeUnlisted(now time.Duration, r *table.Rollout, changes []registry.Change, out *command.Outbox) {
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.ID] = true
	}
	for id, s := range r.Servers.All() {
		if !listed[id] {
			markMissing(now, r, s, out)
		}
	}
}

// markMissing notes that the record of a server is gone. expireMissing then deletes the
// server: at once in normal operation, after missingGracePeriod if the record may have
// expired because the store was unavailable.
func markMissing(now time.Duration, r *table.Rollout, s *table.Server, out *command.Outbox) {
	if s.MissingSince == 0 {
		s.MissingSince, r.PlanChanged = now, true
	}
	out.WakeAt(now + missingGracePeriod)
}

// expireMissing deletes the servers whose records are missing.
func expireMissing(now time.Duration, r *table.Rollout, out *command.Outbox) {
	feed := r.Feeds.Find(feedServers)
	for id, s := range r.Servers.All() {
		if s.MissingSince == 0 {
			continue
		}
		if feed != nil && (feed.Down || (feed.Since > 0 && now-feed.ServedSince < missingGracePeriod)) {
			continue
		}
		logServer("backend server is gone", &s.Server, out)
		r.Servers.Delete(id)
		r.PlanChanged = true
	}
}

// ServerHealth applies the outcomes of callers' requests to the servers that handled
// them, and clears the suspect state of servers whose suspect period has passed.
func ServerHealth(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	for _, e := range in {
		o, ok := e.(event.ServerOutcome)
		if !ok {
			continue
		}
		s := t.Rollout.Servers.Find(o.Server)
		if s != nil {
			recordRequestLimit(now, s, o.Limit, out)
			logServerEnded(s, o, out)
		}
		switch {
		case s == nil || o.Refused:
		case o.Failed:
			recordFailure(now, &t.Rollout, s, out)
		case o.Answered:
			recordSuccess(&t.Rollout, s)
		}
	}
	for _, s := range t.Rollout.Servers.All() {
		if s.SuspectUntil != 0 && s.SuspectUntil <= now {
			s.SuspectUntil = 0 // the next request tries the server again
			t.Rollout.PlanChanged = true
		} else if s.SuspectUntil != 0 {
			out.WakeAt(s.SuspectUntil)
		}
	}
}

// logServerEnded reports a server that ended while it had a request.
func logServerEnded(s *table.Server, o event.ServerOutcome, out *command.Outbox) {
	if o.Ended {
		logServer("backend server ended under a request", &s.Server, out)
		out.Add(command.Count{Counter: "server_ended_under_request", Delta: 1})
	}
}

// recordRequestLimit records the number of requests per second that a server takes from all
// hosts together, 0 if it names no limit.
func recordRequestLimit(now time.Duration, s *table.Server, limit float64, out *command.Outbox) {
	if limit > 0 {
		s.LimitSeenAt = now
	}
	if limit == s.RequestLimit {
		return
	}
	if (limit > 0) != (s.RequestLimit > 0) {
		out.Add(command.LogChange{Message: "request limit of backend server changed", Fields: []command.Field{
			field("server", s.ID), field("service", s.Service), field("limit_per_s", strconv.FormatFloat(limit, 'g', 4, 64)),
		}})
		out.Add(command.Count{Counter: "server_limit_changed", Delta: 1})
	}
	s.RequestLimit = limit
}

// recordFailure counts a failure of a server and makes it suspect at the threshold.
func recordFailure(now time.Duration, r *table.Rollout, s *table.Server, out *command.Outbox) {
	s.Failures++
	if s.Failures < suspectThreshold {
		return
	}
	pause := min(maxSuspectPeriod, minSuspectPeriod<<min(4, s.Failures-suspectThreshold))
	if s.SuspectUntil == 0 {
		logServer("backend server is suspect", &s.Server, out)
		out.Add(command.Count{Counter: "server_suspected", Delta: 1})
	}
	s.SuspectUntil, r.PlanChanged = now+pause, true
}

// recordSuccess resets the failure count of a server and clears its suspect state.
func recordSuccess(r *table.Rollout, s *table.Server) {
	s.Failures = 0
	if s.SuspectUntil != 0 {
		s.SuspectUntil, r.PlanChanged = 0, true
	}
}

// recordRefusal leaves a server alone after it refused an item. An engine that lags behind
// the named version of its model loads weights: it is tried again shortly before the load is
// expected to end.
func recordRefusal(now time.Duration, r *table.Rollout, s *table.Server) {
	if s.RefusedSince == 0 {
		s.RefusedSince = now
	}
	s.BusyUntil = now + min(maxBusyPause, minBusyPause<<min(s.Refusals, 4))
	if s.Models[s.PreferredModel] < namedVersion(r, s.PreferredModel) {
		expected := time.Duration(earlyTryRatio * float64(r.LoadTimes[s.Service]))
		s.BusyUntil = max(s.BusyUntil, s.RefusedSince+expected)
	}
	s.Refusals++
}

// recordLoadEnd records how long a server refused items until now, when it accepted one. A
// time longer than a load can take is not recorded: the server was not tried earlier because
// no item waited.
func recordLoadEnd(now time.Duration, r *table.Rollout, s *table.Server) {
	took := now - s.RefusedSince
	if s.RefusedSince == 0 || took > loadTimeout {
		return
	}
	if r.LoadTimes == nil {
		r.LoadTimes = make(map[string]time.Duration)
	}
	if old := r.LoadTimes[s.Service]; old > 0 {
		took = smooth(old, took, loadTimeSmoothing)
	}
	r.LoadTimes[s.Service] = took
}

// routingPlan builds the immutable plan that request goroutines use. It leaves out
// servers that are leaving. Servers with a missing record are included until
// expireMissing deletes them, because their record may return after an outage.
func routingPlan(now time.Duration, r *table.Rollout) *forward.Plan {
	p := &forward.Plan{
		Desired: r.Desired, Zone: r.Zone, Services: make(map[string][]*forward.Target), Keys: r.Organisations.Keys,
		Leaving: make(map[string][]*forward.Target), At: now,
	}
	for _, s := range r.Servers.All() {
		if s.Leaving {
			p.Leaving[s.Service] = append(p.Leaving[s.Service], target(s))
		} else {
			to := target(s)
			to.AvoidNewStreams, to.HoldNewStreams = avoidNewStreams(now, r, s), holdNewStreams(now, r, s)
			p.Services[s.Service] = append(p.Services[s.Service], to)
		}
	}
	return p
}

func target(s *table.Server) *forward.Target {
	return &forward.Target{
		ID: s.ID, Address: s.Address, StartedUnixMS: s.StartedUnixMS, Zone: s.Zone, Slots: s.Slots, Software: s.Software, Suspect: s.SuspectUntil != 0, Load: s.Load,
		Missing: s.MissingSince != 0, Models: s.Models,
	}
}
