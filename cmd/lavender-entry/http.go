package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/traffic"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	readHeaderTimeout = 5 * time.Second
	// shutdownLimit bounds what remains when no request is in flight: the last
	// answers being written.
	shutdownLimit  = 2 * time.Second
	maxAnswerBytes = 8 << 20
)

// addHTTP adds the HTTP server.
func (p *process) addHTTP(g *run.Group) error {
	listener, err := net.Listen("tcp", p.settings.Listen.HTTP)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: p.newEcho(), MaxHeaderBytes: p.settings.Limits.HeaderBytes, ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return server.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return nil
}

func (p *process) newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = api.HandleError
	api.RegisterHealth(e, p.ready)
	limits := p.settings.Limits
	(&api.Callers{
		Router: p.newRouter(), MaxBody: limits.BodyBytes, Longest: seconds(limits.RequestSeconds),
	}).Register(e)
	return e
}

func (p *process) newRouter() *traffic.Router {
	return traffic.NewRouter(traffic.Options{
		Plans:   p.plans,
		Clock:   p.clock,
		Zone:    p.settings.Host.Zone,
		Sender:  &traffic.Sender{Client: &http.Client{Transport: traffic.NewTransport()}, MaxAnswerBytes: maxAnswerBytes},
		Reports: p.inbox,
		Flights: p.flights,
		Longest: seconds(p.settings.Limits.RequestSeconds),
	})
}

// ready fails while the load balancer should send no new requests.
func (p *process) ready() error {
	plan := p.plans.Load()
	switch {
	case p.unready.Load():
		return verdict.New(verdict.NotRun, verdict.ReasonDraining, "a planned stop has begun")
	case plan == nil || p.clock() > plan.ValidUntil:
		return verdict.New(verdict.NotRun, verdict.ReasonConfigUnconfirmed, "the configuration is not confirmed")
	default:
		return nil
	}
}
