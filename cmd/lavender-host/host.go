package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lavenderstand/lavenderstand/clock"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/duty"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/front"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/system/rollout"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/telemetry"
	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// backendDial is the time for a new channel to a backend server: far above the
	// delay between zones, below the time in which another server can still answer.
	backendDial = 250 * time.Millisecond
	// backendIdle closes channels before the shortest idle time-out of servers seen.
	backendIdle = 15 * time.Second
	storeDial   = 400 * time.Millisecond
	storeIdle   = 20 * time.Second
	// maxTick is the longest time between two ticks; systems ask for earlier ones.
	maxTick = 500 * time.Millisecond
	// Commands that may be carried out at once.
	maxWrites = 32
	maxScores = 64
	maxOrders = 16
)

// host is the process with its parts.
type host struct {
	settings settings.Deployment
	owner    lot.Owner
	ctx      context.Context
	cancel   context.CancelFunc
	log      *zap.Logger
	output   *telemetry.AsyncWriter
	metrics  *telemetry.Metrics
	clock    *clock.Boot
	inbox    *control.Inbox
	pool     *control.Pool
	store    *platform.Store
	storeWeb *http.Client
	backends *platform.Backends
	keeper   *lot.Keeper
	service  *front.Service
	heads    *executor.Feed
	ended    chan struct{} // closed when a planned stop has nothing left to hand over
}

func serve(path string) error {
	d, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	h := newHost(d)
	defer h.close()
	h.log.Info("started", zap.String("store", d.Store), zap.String("front", d.Front), zap.Bool("first_start", d.FirstStart))
	var g run.Group
	h.addControl(&g)
	h.addFeeds(&g)
	if err := h.addServers(&g); err != nil {
		return err
	}
	h.addSignals(&g, path)
	err = g.Run()
	h.log.Info("stopped", zap.Uint64("log_lines_dropped", h.output.Dropped()))
	return err
}

func newHost(d settings.Deployment) *host {
	h := &host{
		settings: d, clock: clock.NewBoot(), inbox: control.NewInbox(control.InboxSize),
		output: telemetry.NewAsyncWriter(os.Stdout), ended: make(chan struct{}),
		owner: lot.Owner{Host: d.Host, Lifetime: strconv.FormatUint(rand.Uint64(), 36), Power: d.MilliCores},
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.log = telemetry.NewAsyncLogger(h.output, zapcore.InfoLevel).With(zap.String("host", d.Host))
	h.metrics = telemetry.NewMetrics(map[string]string{"host": d.Host}, func(err error) {
		h.log.Warn("metric could not be registered", zap.Error(err))
	})
	h.connect()
	h.register()
	return h
}

// connect builds the clients of the store and of backend servers.
func (h *host) connect() {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}
	h.storeWeb = transport.NewClientWith(transport.Options{DialTimeout: storeDial, IdleTimeout: storeIdle, KeepAlive: keepAlive})
	h.store = platform.NewStore(h.settings.Store, h.storeWeb)
	web := transport.NewClientWith(transport.Options{DialTimeout: backendDial, IdleTimeout: backendIdle, KeepAlive: keepAlive})
	h.backends = platform.NewBackends(web)
	h.keeper = &lot.Keeper{Store: h.store}
	forwarder := &forward.Forwarder{
		Plans: new(forward.Cell), Sender: h.backends, Log: h.log, Draw: rand.Float64, Count: h.count,
		Report: func(o forward.Outcome) { h.inbox.Post(event.ServerOutcome{Outcome: o}) },
	}
	h.service = &front.Service{
		Forwarder: forwarder, Keeper: h.keeper, View: front.NewView(), Owner: h.owner, Log: h.log, Now: h.clock.Now,
		Deliver: h.inbox.Deliver, ViewAge: func() time.Duration { return h.heads.Age() },
	}
}

func (h *host) count(name string, reason verdict.Reason) {
	h.metrics.Scope.Tagged(map[string]string{"reason": string(reason)}).Counter(name + "_total").Inc(1)
}

// register adds the executors of all commands that the systems give.
func (h *host) register() {
	h.pool = control.NewPool(h.ctx, h.inbox, func(c command.Command) {
		h.log.DPanic("command without executor", zap.String("command", c.Name()))
	})
	telemetry.Register(h.pool, h.metrics.Scope, h.log)
	control.HandleNow(h.pool, func(c command.PublishRouting) { h.service.Plans.Publish(c.Plan) })
	control.HandleNow(h.pool, h.service.View.Publish)
	control.HandleNow(h.pool, h.service.Runners.Publish)
	control.HandleNow(h.pool, func(command.HandedOver) { close(h.ended) })
	runs := &executor.Runs{Ctx: h.ctx, Sender: h.backends, Deliver: h.inbox.Deliver, SetUrgency: platform.SetUrgency}
	control.HandleNow(h.pool, runs.Start)
	control.HandleNow(h.pool, runs.Stop)
	control.Handle(h.pool, maxScores, func(ctx context.Context, c command.ScoreItem) event.Event {
		return executor.Score(ctx, h.service.Forwarder, c)
	})
	control.Handle(h.pool, maxWrites, func(ctx context.Context, c command.WriteLot) event.Event {
		return executor.WriteLot(ctx, h.keeper, c)
	})
	control.Handle(h.pool, maxWrites, func(ctx context.Context, c command.AdoptLot) event.Event {
		return executor.AdoptLot(ctx, h.keeper, c)
	})
	lease := &duty.Keeper{Store: h.store, Owner: h.owner, Now: h.clock.Now}
	control.Handle(h.pool, 1, func(ctx context.Context, c command.WriteDuty) event.Event {
		return executor.WriteDuty(ctx, lease, c)
	})
	orders := &executor.Orders{Engines: h.backends, Holder: h.settings.Host, Now: h.clock.Now}
	control.Handle(h.pool, maxOrders, orders.Send)
}

func (h *host) addControl(g *run.Group) {
	tables := table.New(table.Self{Host: h.settings.Host, Zone: h.settings.Zone})
	tables.Rollout.Owner, tables.Rollout.Zone, tables.Rollout.Lease = h.owner, h.settings.Zone, h.settings.Bounds.Lease
	loop := control.NewLoop(control.Options{
		Tables: tables, Systems: rollout.Systems(), Inbox: h.inbox, Executor: h.pool,
		Clock: h.clock.Now, Observe: telemetry.ObserveTicks(h.metrics.Scope), MaxTick: maxTick,
	})
	g.Add(func() error { return loop.Run(h.ctx) }, func(error) { h.cancel() })
}

func (h *host) addFeeds(g *run.Group) {
	h.heads = h.feed("coordination", lot.TableCoordination, 50*time.Millisecond, executor.DecodeCoordination)
	feeds := []*executor.Feed{
		h.heads,
		h.feed("operators", platform.TableOperators, 0, h.decodeOperators),
		h.feed("servers", platform.TableServers, 250*time.Millisecond, decodeServers),
	}
	for _, f := range feeds {
		g.Add(func() error { return f.Run(h.ctx) }, func(error) { h.cancel() })
	}
}

func (h *host) close() {
	h.cancel()
	_ = h.metrics.Close() // the last values have no reader
	h.output.Close()
}

// listen opens a TCP address of the settings.
func listen(name, address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	return l, nil
}
