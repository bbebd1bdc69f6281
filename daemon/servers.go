package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/telemetry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout bounds the shutdown of a server. Its requests have already ended, so
	// that only their last answers are still being written.
	shutdownTimeout = 2 * time.Second
)

// AddControl adds the control loop and the counting of reports that its full inbox drops.
func (b *Base) AddControl(g *run.Group, systems []system.Named) {
	loop := control.NewLoop(control.Options{
		Tables: table.New(b.Self), Systems: systems, Inbox: b.Inbox, Executor: b.Dispatcher,
		Clock: b.Clock, ObserveDuration: telemetry.ObserveTicks(b.Metrics.Scope),
	})
	g.Add(func() error { return loop.Run(b.Ctx) }, func(error) { b.Cancel() })
	g.Add(func() error { return telemetry.WatchInbox(b.Ctx, b.Metrics.Scope, b.Inbox) }, func(error) { b.Cancel() })
}

// NewEcho returns an HTTP router with the health checks and the metrics.
func (b *Base) NewEcho(ready func() error) *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = api.HandleError
	e.Use(api.CountErrors(func(reason verdict.Reason, v verdict.Verdict) {
		b.Count("http_errors", map[string]string{"reason": string(reason), "verdict": v.String()})
	}))
	api.RegisterHealth(e, ready)
	e.GET("/metrics", echo.WrapHandler(b.Metrics.Handler))
	return e
}

// AddHTTP adds the HTTP server.
func (b *Base) AddHTTP(g *run.Group, h http.Handler) error {
	listener, err := net.Listen("tcp", b.Settings.Listen.HTTP)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: h, MaxHeaderBytes: b.Settings.Limits.HeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
	}
	g.Add(func() error { return server.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return nil
}

// AddGRPC adds the gRPC server for the system's own processes.
func (b *Base) AddGRPC(g *run.Group, register func(*grpc.Server)) error {
	listener, err := net.Listen("tcp", b.Settings.Listen.GRPC)
	if err != nil {
		return err
	}
	server := grpc.NewServer(grpc.ChainUnaryInterceptor(
		peer.RecoverInterceptor(b.Log), peer.TokenInterceptor(b.Principals.CheckProcess),
	))
	register(server)
	g.Add(func() error { return server.Serve(listener) }, func(error) {
		timer := time.AfterFunc(shutdownTimeout, server.Stop)
		defer timer.Stop()
		server.GracefulStop()
	})
	return nil
}
