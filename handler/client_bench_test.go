package handler

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/bench"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// startCannedServer starts a server that answers each request with a copy of the
// response that url returns at the start. It neither parses requests nor builds
// responses, so that the client uses nearly all of the benchmark's CPU time.
func startCannedServer(b *testing.B, url string) string {
	resp, err := http.Get(url)
	require.NoError(b, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request := make([]byte, 1<<10) // each request fits and arrives in one read
				for {
					if _, err := conn.Read(request); err != nil {
						return
					}
					if _, err := conn.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// cpuTime returns the CPU time that the process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkClient reports the CPU time that a periodic read costs the reading
// process, including the decoding.
func BenchmarkClient(b *testing.B) {
	ctx := context.Background()
	w := newWireFixture(b)
	w.fill("host/", 720, func(i int) any { h := bench.TargetHostRow(i); return hostValue{h.Host, h.Zone, h.Role, h.Address} })
	list := make([]tablestore.ListedHost, 5100)
	for i := range list {
		list[i] = tablestore.ListedHost{Name: fmt.Sprintf("engine-%05d", i), Kind: "engine", Model: "matching", Address: "10.120.130.140:9001", Zone: "region-1-zone-a", State: tablestore.StateLive}
	}
	w.services.Hosts.Set(list)
	base := "http://" + w.platform.Addr().String()
	engineAddress := startCannedServer(b, "http://"+w.address+"/v1/state")
	hosts := PlatformDeps{Hosts: tablestore.NewHostListClient("http://"+startCannedServer(b, base+"/v1/hosts"), &http.Client{})}
	rows := PlatformDeps{Tables: tablestore.NewTablesClient("http://"+startCannedServer(b, base+"/v1/rows?prefix=host/&limit=1000"), &http.Client{})}
	backends := BackendDeps{Client: engine.NewClient(strings.Repeat("t", 32))}
	for _, x := range []struct {
		name string
		run  func() error
	}{
		{"state_report", func() error {
			return failureOf(backends.readState(ctx, command.ReadState{Backend: "engine-00001", Address: engineAddress}).(event.StateReported).Failure)
		}},
		{"host_list_of_5100", func() error {
			return failureOf(hosts.readHostList(ctx, command.ReadHostList{}).(event.HostListRead).Failure)
		}},
		{"host_rows_of_720", func() error {
			return failureOf(rows.readHostRows(ctx, command.ReadHostRows{}).(event.HostRowsRead).Failure)
		}},
	} {
		b.Run(x.name, func(b *testing.B) {
			require.NoError(b, x.run())
			start := cpuTime()
			for b.Loop() {
				require.NoError(b, x.run())
			}
			b.ReportMetric(float64((cpuTime()-start).Nanoseconds())/1000/float64(b.N), "core-us/op")
		})
	}
}

// BenchmarkIdleConnection reports the memory of an idle connection to a server,
// including goroutine stacks. The figure also includes the goroutine of the
// canned server.
func BenchmarkIdleConnection(b *testing.B) {
	const servers = 200
	w := newWireFixture(b)
	addresses := make([]string, servers)
	for i := range addresses {
		addresses[i] = startCannedServer(b, "http://"+w.address+"/v1/state")
	}
	for b.Loop() {
		client := engine.NewClient("")
		before := memoryInUse()
		for _, address := range addresses {
			_, err := client.State(context.Background(), address)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(memoryInUse()-before)/servers, "bytes/connection")
		client.CloseIdle()
	}
}

// memoryInUse returns the bytes of heap objects and goroutine stacks after a garbage
// collection.
func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
