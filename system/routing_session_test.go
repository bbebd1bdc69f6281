package system_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const ms = time.Millisecond

func newSession(systems ...system.System) *control.Session {
	var named []system.Named
	for _, s := range systems {
		named = append(named, system.Named{Run: s})
	}
	return control.NewSession(table.New(table.Self{ID: "entry-1", Host: "entry-1", Zone: "a"}), named...)
}

func listed(state string, names ...string) event.HostListRead {
	var read event.HostListRead
	for _, name := range names {
		read.Hosts = append(read.Hosts, tablestore.ListedHost{
			Name: name, Kind: "engine", Model: "match", Address: name + ":1", Zone: "a", State: state})
	}
	return read
}

func reported(backend, boot string, running int, ageMS int64) event.StateReported {
	return event.StateReported{Backend: backend, State: engine.State{
		Name: backend, BootID: boot, Active: 3, Loaded: []ledger.Version{3}, Running: running, Slots: 8, AgeMS: ageMS}}
}

func ended(backend string, reason verdict.Reason) event.AttemptEnded {
	v := verdict.Ran
	if reason != "" {
		v = verdict.MayHaveRun
	}
	return event.AttemptEnded{Backend: backend, Verdict: v, Reason: reason}
}

// TestLoadSession guards against polls that are all sent at once, a changed boot id
// or a leaving server that goes unnoticed, requests that are counted twice when a
// report lags, and a server that stops reporting but keeps the load of its last
// report.
func TestLoadSession(t *testing.T) {
	s := newSession(system.Membership(time.Hour), system.LoadReports(500*ms))
	control.Watch(s, "backends", &s.Tables.Backends)
	s.Step(0, listed("live", "m1", "m2"))
	s.Step(500 * ms)
	s.Tables.Backends.Find("m1").Counters.Sent.Store(5)
	s.Step(600*ms, reported("m1", "boot1", 2, 0), event.StateReported{Backend: "m2", Failure: &event.Failure{Reason: verdict.ReasonConnectFailed}})
	s.Step(1100 * ms)
	s.Tables.Backends.Find("m1").Counters.Sent.Store(9)
	lagging := reported("m1", "boot2", 0, 200)
	lagging.State.Leaving = true
	s.Step(1200*ms, lagging)
	s.Step(3200 * ms)
	s.Step(3800 * ms)
	goldie.New(t).Assert(t, "load", s.Bytes())
	require.Equal(t, uint64(5), s.Tables.Backends.Find("m1").SentAtReport, "the lagging report does not include the 4 later requests")
	require.True(t, s.Tables.Backends.Find("m1").ReportStale)
}

// TestDepartureSession guards against new work for a server that any of the three
// sources reports as leaving, and against its return on outdated information.
func TestDepartureSession(t *testing.T) {
	s := newSession(system.Membership(time.Hour), system.LoadReports(time.Hour), system.Departure(), system.Routing(system.RoutingOptions{}))
	control.Watch(s, "backends", &s.Tables.Backends)
	routable := func() bool { return s.Tables.Backends.Find("m1").Routable() }
	s.Step(0, listed("live", "m1"), reported("m1", "boot1", 0, 0))
	require.True(t, routable())
	s.Step(1000*ms, ended("m1", verdict.ReasonBackendLeaving))
	require.False(t, routable())
	s.Step(2000*ms, listed("live", "m1"), reported("m1", "boot1", 0, 1500))
	require.False(t, routable(), "the report describes the state before the refusal")
	s.Step(3000*ms, reported("m1", "boot1", 0, 100))
	require.True(t, routable())
	leaving := reported("m1", "boot1", 0, 0)
	leaving.State.Leaving = true
	s.Step(4000*ms, leaving)
	require.False(t, routable())
	s.Step(5000*ms, reported("m1", "boot1", 0, 0), listed("leaving", "m1"))
	require.False(t, routable())
	s.Step(6000*ms, event.HostListRead{Failure: &event.Failure{Reason: verdict.ReasonConnectFailed}})
	require.False(t, routable())
	s.Step(7000*ms, listed("live", "m1"))
	require.True(t, routable())
	goldie.New(t).Assert(t, "departure", s.Bytes())
}

// TestEjectionSession guards against a failing server that is not ejected, the
// ejection of more than half of a model's servers, readmission without a probe, and
// ejection periods that do not grow.
func TestEjectionSession(t *testing.T) {
	s := newSession(system.Membership(time.Hour), system.Ejection(), system.Routing(system.RoutingOptions{}))
	control.Watch(s, "backends", &s.Tables.Backends)
	lost := verdict.ReasonConnectionLost
	s.Step(0, listed("live", "m1", "m2", "m3", "m4"))
	s.Step(100*ms, ended("m1", lost), ended("m1", ""), ended("m1", lost), ended("m1", lost))
	s.Step(200*ms, ended("m1", lost), ended("m2", lost), ended("m2", lost), ended("m2", lost))
	s.Step(300*ms, ended("m3", lost), ended("m3", lost), ended("m3", lost), ended("m4", verdict.ReasonBackendRefused))
	s.Step(1200 * ms)
	s.Step(1250*ms, ended("m4", lost), ended("m4", lost), ended("m4", lost)) // two servers are being probed
	s.Step(1300*ms, ended("m1", lost), ended("m2", ""))
	s.Step(3200 * ms)
	s.Step(3300*ms, ended("m1", lost), ended("m3", lost))
	s.Step(3400*ms, listed("live", "m1", "m3"))
	s.Step(3500*ms, listed("live", "m1"))
	goldie.New(t).Assert(t, "ejection", s.Bytes())
}

// TestClassesSession guards against a live class that misses its target while
// training keeps its share, and against training that never regains its share.
func TestClassesSession(t *testing.T) {
	s := newSession(system.Classes())
	control.Watch(s, "classes", &s.Tables.Classes)
	s.Tables.Config.Body.Classes = map[string]plan.ClassConfig{
		"rollout": {StalenessBound: 4}, "check": {LatencyMS: 2000, OnTimeShare: 0.9}, "live": {LatencyMS: 200, OnTimeShare: 0.9},
	}
	s.Step(0)
	now := time.Duration(0)
	for range 11 {
		now += 2 * time.Second
		s.Step(now, event.RequestEnded{Class: "live", Verdict: verdict.Ran, Latency: 300 * ms},
			event.RequestEnded{Class: "live", Verdict: verdict.NotRun, Reason: verdict.ReasonOverload},
			event.RequestEnded{Class: "live", Verdict: verdict.NotRun, Reason: verdict.ReasonBadRequest},
			event.RequestEnded{Class: "rollout", Verdict: verdict.Ran, Latency: time.Minute})
	}
	require.Zero(t, s.Tables.Classes.Find("rollout").Share)
	require.Zero(t, s.Tables.Classes.Find("check").Share)
	require.Equal(t, 1.0, s.Tables.Classes.Find("live").Share)
	onTime := event.RequestEnded{Class: "live", Verdict: verdict.Ran, Latency: 100 * ms}
	now += 2 * time.Second
	s.Step(now, onTime)
	require.Zero(t, s.Tables.Classes.Find("check").Share, "one answer on time does not make up for the late ones")
	for range 2 {
		now += 2 * time.Second
		s.Step(now, slices.Repeat([]event.Event{onTime}, 35)...)
	}
	require.InDelta(t, 0.1, s.Tables.Classes.Find("check").Share, 1e-9)
	require.Zero(t, s.Tables.Classes.Find("rollout").Share, "the higher class regains its share first")
	delete(s.Tables.Config.Body.Classes, "check")
	s.Step(now + 100*ms)
	goldie.New(t).Assert(t, "classes", s.Bytes())
}

// TestPrefixSession guards against hints that remain after an eviction, a gap in
// the events, a restart or their maximum age, and against unbounded growth.
func TestPrefixSession(t *testing.T) {
	s := newSession(system.Membership(time.Hour), system.LoadReports(time.Hour), system.Prefixes())
	control.Watch(s, "backends", &s.Tables.Backends)
	page := func(events ...engine.CacheEvent) event.CacheReported {
		return event.CacheReported{Backend: "m1", Events: engine.CacheEvents{Events: events}}
	}
	s.Step(0, listed("live", "m1"), reported("m1", "boot1", 0, 0))
	s.Step(2000*ms, event.PrefixSent{Backend: "m1", Hashes: []uint64{11, 12}})
	s.Step(4000*ms, page(engine.CacheEvent{Seq: 5, Hash: 13, Op: "add"}, engine.CacheEvent{Seq: 6, Hash: 11, Op: "evict"}))
	s.Step(4100*ms, page(engine.CacheEvent{Seq: 6, Hash: 11, Op: "add"}))
	s.Step(7000*ms, page(engine.CacheEvent{Seq: 9, Hash: 14, Op: "add"}))
	s.Step(10*time.Second, reported("m1", "boot2", 0, 0), event.PrefixSent{Backend: "m1", Hashes: []uint64{15}})
	s.Step(11*time.Minute, event.PrefixSent{Backend: "m1", Hashes: []uint64{16}})
	goldie.New(t).Assert(t, "prefix", s.Bytes())
	hints := &s.Tables.Backends.Find("m1").Hints
	for i := range uint64(5 * table.MaxHints) {
		hints.Add(i, 12*time.Minute+time.Duration(i))
	}
	require.Equal(t, table.MaxHints, hints.Len())
}

// TestDrainSession guards against a drain that refuses requests before the load
// balancer has noticed it, and against a second request that restarts the delay.
func TestDrainSession(t *testing.T) {
	s := newSession(system.Drain(5*time.Second), system.Routing(system.RoutingOptions{}))
	s.Step(0)
	s.Step(1000*ms, event.DrainRequested{})
	s.Step(3000*ms, event.DrainRequested{})
	s.Step(5900 * ms)
	require.False(t, s.Tables.Self.Refusing)
	s.Step(6000 * ms)
	require.True(t, s.Tables.Self.Refusing)
	goldie.New(t).Assert(t, "drain", s.Bytes())
}

// TestRoutingSession guards against the publication of an unchanged plan and
// against a plan that is valid for longer than the confirmation of its
// configuration.
func TestRoutingSession(t *testing.T) {
	s := newSession(system.Membership(time.Hour), system.LoadReports(time.Hour), system.Classes(),
		system.Routing(system.RoutingOptions{ConfirmWithin: 8 * time.Second}))
	s.Step(0)
	s.Step(100*ms, listed("live", "m1"), reported("m1", "boot1", 1, 0))
	s.Step(200*ms, reported("m1", "boot1", 1, 0))
	s.Step(300*ms, reported("m1", "boot1", 2, 0))
	s.Tables.Config = table.Config{Version: 2, Confirmed: true, ConfirmedAt: 350 * ms, Body: plan.Config{
		Classes: map[string]plan.ClassConfig{"live": {LatencyMS: 200}},
		Routes:  map[string]plan.RouteConfig{"claims": {Service: "listing", Class: "live"}},
	}}
	host, _ := s.Tables.Hosts.Upsert("entry-2")
	*host = table.Host{ID: "entry-2", Role: table.RoleEntry, Zone: "b", Address: "127.0.0.1:9"}
	s.Step(400 * ms)
	s.Step(500 * ms)
	s.Tables.Config.ConfirmedAt = 2350 * ms
	s.Step(2400 * ms)
	s.Tables.Config.Confirmed = false
	s.Step(2500 * ms)
	goldie.New(t).Assert(t, "routing", s.Bytes())
}

func BenchmarkRoutingTick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			systems := []system.System{system.Membership(time.Hour), system.LoadReports(500 * ms), system.Departure(),
				system.Ejection(), system.Classes(), system.Prefixes(), system.Drain(time.Second), system.Routing(system.RoutingOptions{})}
			tables, out := table.New(table.Self{Host: "entry-1"}), new(command.Outbox)
			read := listed("live")
			for i := range n {
				read.Hosts = append(read.Hosts, listed("live", fmt.Sprintf("m%d", i)).Hosts...)
			}
			in, now, at := []event.Event{read}, time.Duration(0), 0
			b.ReportAllocs()
			for b.Loop() {
				for _, run := range systems {
					run(now, tables, in, out)
				}
				out.Take()
				now += 100 * ms
				in = in[:0]
				for range max(1, n/5) { // a report per backend and period of 500 ms
					in = append(in, reported(fmt.Sprintf("m%d", at%n), "boot1", at, 0))
					at++
				}
			}
		})
	}
}
