package handler

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/standin"
)

// wire counts the bytes of all connections that a listener accepts, with their
// headers and without those of TCP and IP.
type wire struct {
	net.Listener
	in, out atomic.Int64 // as the server sees them
}

func listenWire(b *testing.B) *wire {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	return &wire{Listener: l}
}

func (w *wire) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	return &wireConn{conn, w}, err
}

type wireConn struct {
	net.Conn
	w *wire
}

func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.w.in.Add(int64(n))
	return n, err
}

func (c *wireConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.w.out.Add(int64(n))
	return n, err
}

// wireWorld is a platform and an engine behind counted connections.
type wireWorld struct {
	*Platform
	Backends
	services *standin.Platform
	platform *wire
	engine   *wire
	address  string // of the engine
}

func newWireWorld(b *testing.B) *wireWorld {
	w := &wireWorld{services: standin.NewPlatform(1, standin.PlatformRates{}), platform: listenWire(b), engine: listenWire(b)}
	serveWire(b, w.platform, w.services.Echo(""))
	e := standin.NewEngine(standin.EngineOptions{Name: "engine-00001", Model: "matching", Version: 4711})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = e.Run(ctx) }()
	b.Cleanup(func() { cancel(); <-ended })
	server := echo.New()
	e.Register(server)
	serveWire(b, w.engine, server)
	w.address = w.engine.Addr().String()
	base, client := "http://"+w.platform.Addr().String(), &http.Client{Transport: &platform.BearerTransport{Token: strings.Repeat("t", 32)}}
	start := time.Now()
	w.Platform = &Platform{
		Tables: platform.NewTablesClient(base, client), Objects: platform.NewObjectsClient(base, client),
		Hosts: platform.NewHostListClient(base, client), Clock: func() time.Duration { return time.Since(start) },
		NewOp: platform.OpIDs(rand.Uint64), Random: rand.Float64,
	}
	w.Backends = Backends{Client: engine.NewClient(strings.Repeat("t", 32)), Clock: w.Platform.Clock}
	return w
}

func serveWire(b *testing.B, w *wire, h http.Handler) {
	server := &httptest.Server{Listener: w, Config: &http.Server{Handler: h, ReadHeaderTimeout: time.Second}}
	server.Start()
	b.Cleanup(server.Close)
}

func (w *wireWorld) fill(prefix string, rows int, value func(i int) any) {
	for i := range rows {
		raw, _ := json.Marshal(value(i))
		w.services.Tables.Store.Apply(platform.Txn{Op: "0123456789abcdef0123456789abcdef",
			Put: []platform.Put{{Key: fmt.Sprintf("%s%05d", prefix, i), Value: raw}}})
	}
}

func hostRowAt(i int) event.HostRow {
	return event.HostRow{
		ID: fmt.Sprintf("entry-%05d-1889f0c2b1a4e3d7", i), Host: fmt.Sprintf("entry-%05d", i), Zone: "region-1-zone-a",
		Role: "entry", Address: "10.120.130.140:8081",
	}
}

// configOf is a configuration of 12 classes, the given routes and 4 trainers.
func configOf(routes int) plan.Config {
	c := plan.Config{Classes: map[string]plan.ClassConfig{}, Routes: map[string]plan.RouteConfig{}, Trainers: map[string]plan.TrainerConfig{}}
	for i := range 12 {
		c.Classes[fmt.Sprint("class-", i)] = plan.ClassConfig{LatencyMS: 250, OnTimeShare: 0.99}
	}
	for i := range routes {
		c.Routes[fmt.Sprint("route-", i)] = plan.RouteConfig{Service: fmt.Sprint("service-", i), Class: "class-1"}
	}
	for i := range 4 {
		c.Trainers[fmt.Sprint("trainer-", i)] = plan.TrainerConfig{Model: "matching", Class: "class-11"}
	}
	return c
}

func sampleAt(i int) ledger.SampleRecord {
	return ledger.SampleRecord{
		Group: fmt.Sprintf("step-00042-group-%04d", i/16), Index: i % 16, Attempt: 1, Tokens: 1500,
		Ranges:    []ledger.Range{{From: 0, To: 900, Version: 4711}, {From: 900, To: 1500, Version: 4712}},
		ObjectKey: fmt.Sprintf("samples/trainer-1/step-00042-group-%04d/%d/0123456789abcdef", i/16, i%16),
		Backend:   fmt.Sprintf("engine-%05d", i), FinishedUnixMS: 1796371200000,
	}
}

func lotOf(samples int) *ledger.LotRecord {
	lot := &ledger.LotRecord{Trainer: "trainer-1", Step: 42, Attempt: 1, CheckedVersion: 4712}
	for i := range samples {
		lot.Samples = append(lot.Samples, ledger.LotSample{SampleRecord: sampleAt(i), Score: 0.123456, StalenessBound: 2})
		if i%16 == 0 {
			lot.Groups = append(lot.Groups, sampleAt(i).Group)
		}
	}
	return lot
}
