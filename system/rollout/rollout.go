// Package rollout holds the systems of a host that serves callers and trainers on
// a platform with a shared store. They decide on routing, ownership of lots,
// dispatch of items, health of backend servers and orders to engines.
package rollout

import (
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// Systems returns the systems in the order in which they run each tick: those that
// apply reads of the store, those that apply the outcomes of earlier commands, and
// those that decide on the basis of both.
func Systems() []system.Named {
	return []system.Named{
		{Name: "feeds", Run: Feeds},
		{Name: "desired", Run: Desired},
		{Name: "presence", Run: Presence},
		{Name: "servers", Run: Servers},
		{Name: "permits", Run: Permits},
		{Name: "judgement", Run: ServerHealth},
		{Name: "estimates", Run: Estimates},
		{Name: "sharing", Run: ShareEstimates},
		{Name: "quarantine", Run: Quarantine},
		{Name: "origins", Run: StreamOrigins},
		{Name: "lots", Run: Lots},
		{Name: "runs", Run: Runs},
		{Name: "scores", Run: Scores},
		{Name: "drain", Run: Drain},
		{Name: "adoption", Run: Adoption},
		{Name: "share", Run: EngineAssignment},
		{Name: "dispatch", Run: Dispatch},
		{Name: "writes", Run: LotWrites},
		{Name: "duty", Run: OrderLease},
		{Name: "weights", Run: Weights},
		{Name: "retention", Run: Retention},
		{Name: "runners", Run: Runners},
		{Name: "publish", Run: Publish},
		{Name: "view", Run: HostView},
		{Name: "explain", Run: Explain},
	}
}

// Feeds records which feeds of the store are up, applies changed settings of the host
// and reports rows that cannot be decoded. While a feed is down, missing writes of
// another process do not mean that the process has stopped.
func Feeds(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	for _, e := range in {
		switch e := e.(type) {
		case event.FeedChanged:
			row, _ := t.Rollout.Feeds.Upsert(e.Table)
			*row = table.Feed{Down: e.Down, Since: now, ServedSince: now}
			logFeed(e, out)
		case event.FeedCaughtUp:
			row, _ := t.Rollout.Feeds.Upsert(e.Table)
			row.CaughtUp = !row.Down
		case event.SettingsRead:
			t.Rollout.OrderHandoverDelay, t.Rollout.StoreReadsPerSecond, t.Rollout.ResultRetention = e.OrderHandoverDelay, e.StoreReadsPerSecond, e.ResultRetention
			t.Rollout.BackendDrainPeriod = e.BackendDrainPeriod
		case event.RowUnreadable:
			out.Add(command.Count{Counter: "row_unreadable", Tags: map[string]string{"table": e.Table}, Delta: 1})
			out.Add(command.LogChange{Message: "store row cannot be decoded", Fields: []command.Field{
				field("table", e.Table), field("row", e.Row), field("row_version", strconv.FormatUint(e.Version, 10)),
				field("error", e.Message),
			}})
		}
	}
}

func logFeed(f event.FeedChanged, out *command.Outbox) {
	fields := []command.Field{field("table", f.Table)}
	if !f.Down {
		out.Add(command.LogChange{Message: "feed of the store regained", Fields: fields})
		return
	}
	if f.Failure != nil {
		fields = append(fields, field("reason", string(f.Failure.Reason)), field("error", f.Failure.Message))
	}
	out.Add(command.LogChange{Message: "feed of the store lost", Fields: fields})
	out.Add(command.Count{Counter: "feed_lost", Tags: map[string]string{"table": f.Table}, Delta: 1})
}

// Desired applies desired states and the weight versions named by trainers. While
// the process runs, neither is ever replaced by an older one.
func Desired(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		switch e := e.(type) {
		case event.DesiredRead:
			if r.Desired != nil && e.State.Version <= r.Desired.Version {
				continue
			}
			r.Desired, r.PlanChanged = applyOrganisations(r, applyScaling(r, e.State, out), out), true
			out.Add(command.LogChange{Message: "desired state in force", Fields: []command.Field{
				field("version", strconv.FormatUint(e.State.Version, 10)), field("routes", strconv.Itoa(len(e.State.Routes))),
				field("organisations", strconv.Itoa(len(r.Organisations.Keys.Names()))),
			}})
		case event.VersionNamed:
			m, _ := r.Models.Upsert(e.Model)
			if e.Version > m.NamedVersion {
				m.NamedVersion, m.NamedAt = e.Version, now
				expectLoads(r, e.Model)
				out.Add(command.LogChange{Message: "weight version named", Fields: []command.Field{
					field("model", e.Model), field("version", strconv.Itoa(int(e.Version))),
				}})
			}
		}
	}
}

// Publish passes the routing plan and the heads of lots to the request goroutines
// when they have changed.
func Publish(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
	r := &t.Rollout
	if r.PlanChanged {
		out.Add(command.PublishRouting{Plan: routingPlan(now, r)})
		r.PlanChanged = false
	}
	if !r.LotsChanged {
		return
	}
	lots := make(map[string]lot.StoredHead, r.Lots.Len())
	for id, l := range r.Lots.All() {
		if headConfirmed(r, l) {
			lots[id] = lot.StoredHead{Head: l.Head, Version: l.Version}
		}
	}
	out.Add(command.PublishLots{Lots: lots})
	r.LotsChanged = false
}

func field(key, value string) command.Field { return command.Field{Key: key, Value: value} }

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
