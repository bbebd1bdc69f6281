package handler

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/bench"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// wireFixture is a stand-in platform and a stand-in engine whose listeners count
// the bytes of their connections.
type wireFixture struct {
	*PlatformDeps
	BackendDeps
	services *standin.Platform
	platform *bench.CountingListener
	engine   *bench.CountingListener
	address  string // of the engine
}

func newWireFixture(b *testing.B) *wireFixture {
	w := &wireFixture{services: standin.NewPlatform(1, standin.PlatformRates{}), platform: listenCounting(b), engine: listenCounting(b)}
	serveCounting(b, w.platform, w.services.Echo(""))
	e := standin.NewEngine(standin.EngineOptions{Name: "engine-00001", Model: "matching", Version: 4711})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = e.Run(ctx) }()
	b.Cleanup(func() { cancel(); <-ended })
	server := echo.New()
	e.Register(server)
	serveCounting(b, w.engine, server)
	w.address = w.engine.Addr().String()
	base, client := "http://"+w.platform.Addr().String(), &http.Client{Transport: &tablestore.BearerTransport{Token: strings.Repeat("t", 32)}}
	start := time.Now()
	w.PlatformDeps = &PlatformDeps{
		Tables: tablestore.NewTablesClient(base, client), Objects: tablestore.NewObjectsClient(base, client),
		Hosts: tablestore.NewHostListClient(base, client), Clock: func() time.Duration { return time.Since(start) },
		NewOpID: tablestore.OpIDs(rand.Uint64), Random: rand.Float64,
	}
	w.BackendDeps = BackendDeps{Client: engine.NewClient(strings.Repeat("t", 32)), Clock: w.PlatformDeps.Clock}
	return w
}

func listenCounting(b *testing.B) *bench.CountingListener {
	w, err := bench.ListenCounting()
	require.NoError(b, err)
	return w
}

func serveCounting(b *testing.B, w *bench.CountingListener, h http.Handler) {
	server := &httptest.Server{Listener: w, Config: &http.Server{Handler: h, ReadHeaderTimeout: time.Second}}
	server.Start()
	b.Cleanup(server.Close)
}

func (w *wireFixture) fill(prefix string, rows int, value func(i int) any) {
	for i := range rows {
		raw, _ := json.Marshal(value(i))
		w.services.Tables.Store.Apply(tablestore.Txn{Op: "0123456789abcdef0123456789abcdef",
			Put: []tablestore.Put{{Key: fmt.Sprintf("%s%05d", prefix, i), Value: raw}}})
	}
}
