package main

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/oklog/run"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/daemon"
	"github.com/lavenderstand/lavenderstand/handler"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/traffic"
	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// entry holds the components of a lavender-entry process.
type entry struct {
	*daemon.Base
	plans    *plan.AtomicPlan
	status   *status.AtomicSnapshot
	inFlight *traffic.InFlightTracker
	router   *traffic.Router

	unready  atomic.Bool   // a graceful shutdown has begun, or the configuration is not confirmed
	refusing chan struct{} // closed when the published plan refuses new requests
}

func serve(s settings.Process) error {
	base, err := daemon.New(s, table.Self{
		ID: s.Host.Name + "-entry", Host: s.Host.Name, Zone: s.Host.Zone,
		Role: table.RoleEntry, Address: s.Listen.GRPC,
	})
	if err != nil {
		return err
	}
	defer base.Close()
	e := &entry{
		Base: base, plans: new(plan.AtomicPlan), status: new(status.AtomicSnapshot),
		inFlight: traffic.NewInFlightTracker(), refusing: make(chan struct{}),
	}
	e.router = e.newRouter()
	e.registerExecutors()
	return e.run()
}

func (e *entry) run() error {
	var g run.Group
	if err := e.AddHTTP(&g, e.newEcho()); err != nil {
		return err
	}
	if err := e.AddGRPC(&g, e.registerGRPC); err != nil {
		return err
	}
	e.AddControl(&g, e.systems())
	e.AddStop(&g, e.refusing, e.finish)
	return g.Run()
}

func (e *entry) newRouter() *traffic.Router {
	return traffic.NewRouter(traffic.Options{
		Plans:          e.plans,
		Clock:          e.Clock,
		Zone:           e.Self.Zone,
		Sender:         &traffic.Sender{Client: transport.NewClient(), MaxAnswerBytes: maxAnswerBytes},
		Engines:        e.Engines,
		Claims:         e.newClaims(),
		Reports:        e.Inbox,
		Metrics:        e.Counters,
		InFlight:       e.inFlight,
		DefaultTimeout: daemon.Seconds(e.Settings.Limits.RequestSeconds),
	})
}

func (e *entry) registerExecutors() {
	handler.RegisterOperators(e.Dispatcher, e.Waiters, e.status)
	control.HandleNow(e.Dispatcher, func(c command.SetReady) { e.unready.Store(!c.Ready) })
	refusing := false
	control.HandleNow(e.Dispatcher, func(c command.PublishPlan) {
		e.plans.Publish(c.Plan)
		if c.Plan.Draining && !refusing {
			refusing = true
			close(e.refusing)
		}
	})
}

// ready returns an error while the load balancer should send no new requests.
func (e *entry) ready() error {
	p := e.plans.Load()
	switch {
	case e.unready.Load():
		return verdict.New(verdict.NotRun, verdict.ReasonDraining, "a graceful shutdown has begun, or the configuration is not confirmed")
	case p == nil || e.Clock() > p.ValidUntil:
		return verdict.New(verdict.NotRun, verdict.ReasonConfigUnconfirmed, "the configuration is not confirmed")
	default:
		return nil
	}
}

// finish waits until new requests are refused and every request in flight has
// ended.
func (e *entry) finish(ctx context.Context) error {
	select {
	case <-e.refusing:
	case <-ctx.Done():
		return ctx.Err()
	}
	e.inFlight.Close()
	if cut := e.inFlight.Wait(ctx); cut > 0 {
		e.Metrics.Scope.Counter("requests_cut_off_total").Inc(int64(cut))
		return fmt.Errorf("drain limit reached: %d requests in flight cut off", cut)
	}
	return nil
}
