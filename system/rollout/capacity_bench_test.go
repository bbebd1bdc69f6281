package rollout

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/permit"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

// benchWorld returns a world with servers and with lots owned by another process.
func benchWorld(b *testing.B, servers, lots int) *world {
	w := newWorld(&testing.T{})
	var in []event.Event
	for i := range servers {
		in = append(in, w.server(fmt.Sprintf("s%05d", i), func(s *registry.Server) { s.Slots = 8 }))
	}
	for i := range lots {
		in = append(in, headsRead(w.head(fmt.Sprintf("l%d", i), otherProcess, 1, 8)))
	}
	w.step(in...)
	b.ReportAllocs()
	return w
}

// BenchmarkIdleTick measures a tick of a host that owns no lot.
func BenchmarkIdleTick(b *testing.B) {
	for _, servers := range []int{12, 100, 1000, 5100} {
		b.Run(fmt.Sprintf("servers-%d", servers), func(b *testing.B) {
			w := benchWorld(b, servers, 30)
			for b.Loop() {
				w.now += time.Millisecond / 10 // too short for an adoption to become due
				var out command.Outbox
				for _, s := range Systems() {
					s.Run(w.now, w.tables, nil, &out)
				}
			}
		})
	}
}

// BenchmarkServerEvent measures the Servers system with one renewed server record.
func BenchmarkServerEvent(b *testing.B) {
	for _, servers := range []int{12, 1000, 5100} {
		b.Run(fmt.Sprintf("servers-%d", servers), func(b *testing.B) {
			w := benchWorld(b, servers, 30)
			for b.Loop() {
				e := w.server("s00001", func(s *registry.Server) { s.Slots = 8 })
				var out command.Outbox
				Servers(w.now, w.tables, []event.Event{e}, &out)
			}
		})
	}
}

// BenchmarkLot measures the tick in which a lot is accepted and all runs are started for
// which the servers have room.
func BenchmarkLot(b *testing.B) {
	for _, size := range []struct{ servers, items int }{{3, 48}, {12, 192}, {1275, 8192}} {
		b.Run(fmt.Sprintf("servers-%d-items-%d", size.servers, size.items), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				w := benchWorld(b, size.servers, 0)
				s := submission(size.items)
				b.StartTimer()
				w.accept(s)
			}
		})
	}
}

// BenchmarkGrantPermit measures the grant of a permit with buckets for 1,000 servers.
func BenchmarkGrantPermit(b *testing.B) {
	t := table.New(table.Self{Host: "a"})
	r := &t.Rollout
	request := permit.Request{PermitRequest: forward.PermitRequest{Limit: 4, MaxWait: time.Second}, Share: 1}
	for i := range 1000 {
		request.Server = strconv.Itoa(i)
		grantPermit(0, r, request)
	}
	for b.Loop() {
		grantPermit(0, r, request)
	}
}

// BenchmarkStreamBegan measures a tick in which one stream begins at a host that has forwarded
// others, of a service with one software version and with two.
func BenchmarkStreamBegan(b *testing.B) {
	for _, versions := range [][]registry.Software{{"v1"}, {"v1", "v2"}} {
		b.Run(fmt.Sprintf("versions-%d", len(versions)), func(b *testing.B) {
			w := newStreamWorld(&testing.T{}, versions...)
			for i := range 800 {
				w.step(event.StreamBegan{Stream: streamOf(strconv.Itoa(i)), Software: "v1"})
			}
			b.ReportAllocs()
			for b.Loop() {
				w.now += time.Microsecond
				var out command.Outbox
				StreamOrigins(w.now, w.tables, []event.Event{event.StreamBegan{Stream: streamOf("0"), Software: "v1"}}, &out)
			}
		})
	}
}
