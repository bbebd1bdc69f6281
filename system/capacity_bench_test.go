package system_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lavenderstand/lavenderstand/bench"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// backendCounts are the numbers of backend servers with which the systems of an
// entry host are measured.
var backendCounts = []int{10, 100, 1_000, 10_000}

func backendName(i int) string { return fmt.Sprintf("engine-%05d", i) }

func listOf(n int) event.HostListRead {
	read := event.HostListRead{Hosts: make([]tablestore.ListedHost, n)}
	for i := range n {
		read.Hosts[i] = tablestore.ListedHost{
			Name: backendName(i), Kind: "engine", Model: "match", Address: "127.0.0.1:9000", Zone: "a", State: "live",
		}
	}
	return read
}

// entryWorld is an entry host whose backend servers have all reported once.
type entryWorld struct {
	systems []system.Named
	tables  *table.Tables
	out     command.Outbox
	now     time.Duration
}

func newEntryWorld(backends int) *entryWorld {
	w := &entryWorld{
		tables: table.New(table.Self{ID: "entry-1", Host: "entry-1", Zone: "a", Role: table.RoleEntry}),
		systems: []system.Named{
			{Name: "membership", Run: system.Membership(time.Hour)},
			{Name: "load", Run: system.LoadReports(time.Hour)},
			{Name: "departure", Run: system.Departure()},
			{Name: "ejection", Run: system.Ejection()},
			{Name: "classes", Run: system.Classes()},
			{Name: "prefixes", Run: system.Prefixes()},
			{Name: "drain", Run: system.Drain(time.Second)},
			{Name: "routing", Run: system.Routing(system.RoutingOptions{})},
		},
	}
	in := []event.Event{listOf(backends)}
	for i := range backends {
		in = append(in, reported(backendName(i), "boot-1", i%64, 200))
	}
	w.tick(in)
	w.now += time.Minute // the polls of the first interval are in flight
	w.tick(nil)
	return w
}

func (w *entryWorld) tick(in []event.Event) {
	for _, s := range w.systems {
		s.Run(w.now, w.tables, in, &w.out)
	}
	w.out.Take()
}

// BenchmarkEntryTickIdle measures a tick without events that follows the previous
// one too soon for a plan build, which is the cost of waking the loop.
func BenchmarkEntryTickIdle(b *testing.B) {
	for _, n := range backendCounts {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			w := newEntryWorld(n)
			b.ReportAllocs()
			for b.Loop() {
				w.tick(nil)
			}
		})
	}
}

// steadyReport returns the load report of a server in normal operation.
func steadyReport(backend string, polls int) event.Event {
	return reported(backend, "boot-1", polls%64, 200)
}

// BenchmarkEntrySecond measures one second of an entry host's control loop. Every
// command is answered in the next tick, and ticks follow each other at the minimum
// interval while there is work. core-ms/s is the processor time per second.
func BenchmarkEntrySecond(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 5_100, 10_000} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			loop := bench.NewEntryLoop(listOf(n), steadyReport)
			loop.Run(5 * time.Second)
			loop.Polls, loop.Ticks = 0, 0
			for b.Loop() {
				loop.Run(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/1000/float64(b.N), "core-ms/s")
			b.ReportMetric(float64(loop.Polls)/float64(b.N), "polls/s")
			b.ReportMetric(float64(loop.Ticks)/float64(b.N), "ticks/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkEntryEvent measures the cost of one event of each frequent kind, without
// the cost of the tick itself. Events arrive in batches of 1,000 with 5,000 backend
// servers.
func BenchmarkEntryEvent(b *testing.B) {
	const batch = 1000
	kinds := map[string]func(i int) event.Event{
		"state_report":  func(i int) event.Event { return reported(backendName(i%5000), "boot-1", i%64, 200) },
		"attempt_ended": func(i int) event.Event { return ended(backendName(i%5000), "") },
		"request_ended": func(int) event.Event { return event.RequestEnded{Class: "live", Latency: time.Millisecond} },
		"prefix_sent": func(i int) event.Event {
			return event.PrefixSent{Backend: backendName(i % 5000), Hashes: []uint64{uint64(i), 2, 3, 4}}
		},
	}
	for name, make := range kinds {
		b.Run(name, func(b *testing.B) {
			w := newEntryWorld(5000)
			in := []event.Event{}
			for i := range batch {
				in = append(in, make(i))
			}
			var idle time.Duration
			for b.Loop() {
				w.tick(in)
				before := time.Now()
				w.tick(nil)
				idle += time.Since(before)
			}
			b.ReportMetric(float64(b.Elapsed()-2*idle)/float64(b.N*batch), "ns/event")
		})
	}
}

// BenchmarkPlanBuild measures the build of a plan and its comparison with the
// previous one after one report has changed. The allocated bytes are those of the
// new plan.
func BenchmarkPlanBuild(b *testing.B) {
	for _, n := range backendCounts {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			w := newEntryWorld(n)
			routing := w.systems[len(w.systems)-1]
			in := []event.Event{reported(backendName(0), "boot-1", 1, 0)}
			b.ReportAllocs()
			for b.Loop() {
				w.now += 100 * time.Millisecond
				w.tables.Backends.Find(backendName(0)).Report.Running++
				routing.Run(w.now, w.tables, in, &w.out)
				w.out.Take()
			}
		})
	}
}

// BenchmarkHostListApply measures the application of a host list of n servers.
func BenchmarkHostListApply(b *testing.B) {
	for _, n := range backendCounts {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			w, membership := newEntryWorld(n), system.Membership(time.Hour)
			in := []event.Event{listOf(n)}
			b.ReportAllocs()
			for b.Loop() {
				membership(w.now, w.tables, in, &w.out)
				w.out.Take()
			}
		})
	}
}

// BenchmarkHostRowsApply measures the application of a read of all host rows.
func BenchmarkHostRowsApply(b *testing.B) {
	for _, n := range []int{20, 720} {
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			tables, hosts := table.New(table.Self{ID: "entry-1", Role: table.RoleEntry}), system.Hosts(15*time.Second)
			var out command.Outbox
			read := event.HostRowsRead{}
			for i := range n {
				read.Rows = append(read.Rows, event.HostRow{ID: fmt.Sprint("host-", i), Host: fmt.Sprint(i), Zone: "a", Role: "entry", RowVersion: 1})
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += 5 * time.Second
				for i := range read.Rows {
					read.Rows[i].RowVersion++ // renewed
				}
				hosts(now, tables, []event.Event{read, event.HostRowWritten{}}, &out)
				out.Take()
			}
		})
	}
}

// BenchmarkTableMemory measures the memory per row including its key and index, for
// rows as the systems fill them. The prefix hints of a backend are full.
func BenchmarkTableMemory(b *testing.B) {
	const rows = 10_000
	fills := map[string]func() any{
		"backend": func() any { return newEntryWorld(rows) },
		"prefix_hint": func() any {
			hints := make([]table.PrefixHints, rows/table.MaxHints+1)
			for i := range rows {
				hints[i/table.MaxHints].Add(uint64(i), time.Duration(i))
			}
			for i := range hints {
				hints[i].Build(0)
			}
			return hints
		},
		"backend_with_hints": func() any {
			w := newEntryWorld(rows)
			for _, row := range w.tables.Backends.All() {
				for i := range table.MaxHints { // more than the limit
					row.Hints.Add(uint64(i), time.Duration(i))
				}
				row.Hints.Build(0)
			}
			return w
		},
		"host": func() any {
			var hosts table.Table[table.Host]
			for i := range rows {
				id := fmt.Sprintf("entry-%05d-1764837000000000000", i)
				h, _ := hosts.Upsert(id)
				*h = table.Host{ID: id, Host: fmt.Sprintf("entry-%05d", i), Zone: "a", Address: "127.0.0.1:9000"}
			}
			return &hosts
		},
		"partition": func() any {
			var partitions table.Table[table.Partition]
			for i := range rows {
				p, _ := partitions.Upsert(table.PartitionKey(i))
				*p = table.Partition{Number: i}
			}
			return &partitions
		},
		"sampler_rollout": func() any {
			w := table.Weights{Engines: make(map[string]*table.EngineUpdate)}
			for i := range rows {
				w.Engines[backendName(i)] = &table.EngineUpdate{BootID: "boot-1"}
			}
			return &w
		},
		"plan_backend": func() any {
			p := plan.Pool{Backends: make([]plan.Backend, rows)}
			return &p
		},
	}
	for name, fill := range fills {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				kept := fill()
				b.ReportMetric(float64(heapBytes()-before)/rows, "bytes/row")
				runtime.KeepAlive(kept)
			}
		})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
