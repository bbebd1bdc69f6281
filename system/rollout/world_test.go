package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

// world holds the tables of one host and runs its systems on a fake clock.
type world struct {
	t        *testing.T
	now      time.Duration
	tables   *table.Tables
	versions uint64
}

const model = "m"

func newWorld(t *testing.T) *world {
	w := &world{t: t, now: time.Second, tables: table.New(table.Self{Host: "a"})}
	r := &w.tables.Rollout
	r.Self, r.Zone, r.OrderHandoverDelay = lot.Process{Host: "a", BootID: "1", CPUMillicores: 800}, "z", 3*time.Second
	w.step(
		event.FeedChanged{Table: feedCoordination}, event.FeedChanged{Table: feedServers},
		event.DesiredRead{State: state(1)}, event.HeadsRead{Full: true},
	)
	return w
}

// state returns a desired state with a route for lots and one for scoring requests.
func state(version uint64) *desired.State {
	return &desired.State{
		Version: version,
		Routes: []desired.Route{
			{Name: "lots", Host: "h", Prefix: "/p/", Kind: desired.KindRollout, MaxAttempts: 3, ItemTimeout: 40 * time.Second,
				Services: []desired.WeightedService{{Service: "engines", Weight: 1}}},
			{Name: "scores", Host: "h", Prefix: "/s/", Kind: desired.KindIdempotent, MaxAttempts: 4,
				Services: []desired.WeightedService{{Service: "app", Weight: 1}}},
		},
		Services: map[string]desired.Service{"engines": {Name: "engines", Models: []string{model}}, "app": {Name: "app"}},
	}
}

// step runs one tick 10 ms later and returns its commands.
func (w *world) step(in ...event.Event) []command.Command {
	w.now += 10 * time.Millisecond
	var out command.Outbox
	for _, s := range Systems() {
		s.Run(w.now, w.tables, in, &out)
	}
	return out.Take()
}

// advance runs ticks for d and returns all commands.
func (w *world) advance(d time.Duration) []command.Command {
	var all []command.Command
	for end := w.now + d; w.now < end; {
		all = append(all, w.step()...)
	}
	return all
}

// version returns the next row version of the store.
func (w *world) version() uint64 {
	w.versions++
	return w.versions
}

// server returns a read of a server's record, modified by change if it is not nil.
func (w *world) server(id string, change func(*registry.Server)) event.Event {
	s := &registry.Server{
		ID: id, Service: "engines", Address: id + ":1", Zone: "z", Slots: 2, StartedUnixMS: 1, Software: "v1",
		Models: map[string]registry.Version{model: 1},
	}
	if change != nil {
		change(s)
	}
	return event.ServersRead{Changes: []registry.Change{{ID: id, RowVersion: w.version(), Server: s}}}
}

// removed returns a read in which a server's record was removed.
func (w *world) removed(id string) event.Event {
	return event.ServersRead{Changes: []registry.Change{{ID: id, RowVersion: w.version(), Reason: registry.ReasonRemoved}}}
}

// submission returns a submission of a number of items.
func submission(items int) *lot.Submission {
	s := &lot.Submission{ID: "l", Host: "h", Path: "/p/", Model: model, MinimumVersion: 1}
	for i := range items {
		s.Items = append(s.Items, lot.Item{ID: fmt.Sprintf("i%d", i), Path: "/p/x", EstimatedTokens: 10 * (i + 1)})
	}
	return s
}

// head returns the row of a new lot's head.
func (w *world) head(id string, owner lot.Process, listed, total int) event.HeadRow {
	return event.HeadRow{ID: id, Version: w.version(), Head: lot.Head{
		ID: id, Model: model, Owner: owner, Listed: listed, Total: total, WriteID: fmt.Sprintf("w%d", w.versions),
	}}
}

// rewritten returns the row of a head after another write, as lot.Repository stores it.
func (w *world) rewritten(h lot.Head, version uint64, write string) event.HeadRow {
	h.CreatedVersion, h.WriteID = h.CreationVersion(version), write
	return event.HeadRow{ID: h.ID, Version: w.version(), Head: h}
}

// accept runs a tick in which this process has accepted a submission.
func (w *world) accept(s *lot.Submission) []command.Command {
	h := w.head(s.ID, w.tables.Rollout.Self, 0, len(s.Items))
	return w.step(event.LotAccepted{Submission: s, Head: h.Head, Version: h.Version}, headsRead(h))
}

// lotWritten returns the outcome of a successful WriteLot.
func (w *world) lotWritten(c command.WriteLot) event.Event {
	h := c.Head
	h.CreatedVersion = h.CreationVersion(c.Version)
	return event.LotWritten{ID: h.ID, WriteID: h.WriteID, Head: h, Version: w.version()}
}

// endedRun returns the outcome of a run that ended without a failure.
func endedRun(c command.StartRun, events ...string) event.RunEnded {
	return event.RunEnded{
		Key: c.Key, Run: c.Run, Server: c.Target.ID, Model: c.Model, Events: events, Versions: []registry.Version{1}, Version: 1,
	}
}

// commandsOf returns the commands of type C.
func commandsOf[C command.Command](commands []command.Command) []C {
	var found []C
	for _, c := range commands {
		if c, ok := c.(C); ok {
			found = append(found, c)
		}
	}
	return found
}
