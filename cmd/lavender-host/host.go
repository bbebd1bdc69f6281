package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lavenderstand/lavenderstand/clock"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/frontend"
	"github.com/lavenderstand/lavenderstand/leaving"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/memory"
	"github.com/lavenderstand/lavenderstand/orderlease"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/permit"
	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/presence"
	"github.com/lavenderstand/lavenderstand/quarantine"
	"github.com/lavenderstand/lavenderstand/readbudget"
	"github.com/lavenderstand/lavenderstand/relay"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/system/duty"
	"github.com/lavenderstand/lavenderstand/system/rollout"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/telemetry"
	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// backendDialTimeout bounds the dial of a connection to a backend server. It is far above
	// the network delay between zones, and short enough for another server to answer
	// the request after a failed dial.
	backendDialTimeout = 250 * time.Millisecond
	// backendIdleTimeout is the time after which idle connections to backend servers are
	// closed. It is below the shortest idle timeout of a backend server that was seen.
	backendIdleTimeout = 15 * time.Second
	// storeDialTimeout and storeIdleTimeout apply to connections to the store.
	storeDialTimeout = 400 * time.Millisecond
	storeIdleTimeout = 20 * time.Second
	// maxTickInterval is the longest time between two ticks of the control loop. Systems
	// can request earlier ticks.
	maxTickInterval = 500 * time.Millisecond
	// feedLongPollWait is the time for which the store holds a read of a feed while there are
	// no changes. coordinationLongPollWait is shorter, so that the state of lots on this host
	// is never older than its readers allow.
	feedLongPollWait         = time.Second
	coordinationLongPollWait = 500 * time.Millisecond
	// operatorsLongPollWait applies to the operators' table while callers are identified by keys.
	// It lets a read that fails end before the desired state is older than
	// Bounds.Configuration.
	operatorsLongPollWait = 500 * time.Millisecond
	// Maximum numbers of commands of one kind that run at the same time.
	maxConcurrentWrites  = 32
	maxConcurrentScores  = 64
	maxConcurrentOrders  = 16
	maxConcurrentReports = 16
)

// host holds the components of a lavender-host process.
type host struct {
	settings         settings.Deployment                 // as read at the start of the process
	reloaded         atomic.Pointer[settings.Deployment] // as read last; nil before the first reload
	self             lot.Process
	ctx              context.Context
	cancel           context.CancelFunc
	log              *zap.Logger
	logOutput        *telemetry.AsyncWriter
	metrics          *telemetry.Metrics
	clock            *clock.Boottime
	inbox            *control.Inbox
	waiters          *control.Waiters
	dispatcher       *control.Dispatcher
	directStore      *platform.StoreClient
	store            *relay.Client
	dialer           *peer.Dialer
	storeHTTP        *http.Client
	backends         *platform.BackendClient
	permits          *permit.Client
	memory           *memory.Budget // of all requests
	connBounds       frontend.ConnBounds
	reporter         *quarantine.Reporter
	leaving          *leaving.Reporter
	repository       *lot.Repository
	service          *frontend.Service
	coordinationFeed *executor.Feed
	operatorsFeed    *executor.Feed
	serversFeed      *executor.Feed
	handoverDone     chan struct{}             // closed when a graceful shutdown has handed over all lots
	stopBy           atomic.Pointer[time.Time] // by when a graceful shutdown must have completed the requests in flight
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
	// Actors are interrupted in this order: control and feeds go on while requests in flight
	// are completed, because these need a current plan and permits.
	if err := h.addServers(&g); err != nil {
		return err
	}
	h.addUsageFlush(&g)
	if err := h.addPeers(&g); err != nil {
		return err
	}
	h.addFeeds(&g)
	h.addControl(&g)
	h.addSignals(&g, path)
	err = g.Run()
	h.log.Info("stopped", zap.Uint64("log_lines_dropped", h.logOutput.Dropped()))
	return err
}

func newHost(d settings.Deployment) *host {
	h := &host{
		settings: d, clock: clock.NewBoottime(), inbox: control.NewInbox(control.InboxSize), waiters: control.NewWaiters(),
		logOutput: telemetry.NewAsyncWriter(os.Stdout), handoverDone: make(chan struct{}),
		self: lot.Process{Host: d.Host, BootID: strconv.FormatUint(rand.Uint64(), 36), CPUMillicores: d.MilliCores},
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.log = telemetry.NewAsyncLogger(h.logOutput, zapcore.InfoLevel).With(zap.String("host", d.Host))
	h.metrics = telemetry.NewMetrics(map[string]string{"host": d.Host}, func(err error) {
		h.log.Warn("metric could not be registered", zap.Error(err))
	})
	h.memory = limitMemory(d.MemoryMB)
	h.connBounds = frontend.NewConnBounds(memoryBytes(d.MemoryMB), d.Descriptors)
	h.buildClients()
	h.registerExecutors()
	return h
}

// buildClients creates the clients of the store and of backend servers.
func (h *host) buildClients() {
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}
	h.storeHTTP = transport.NewClientWith(transport.Options{DialTimeout: storeDialTimeout, IdleTimeout: storeIdleTimeout, KeepAlive: keepAlive, ResetOnClose: true})
	h.directStore = platform.NewStoreClient(h.settings.Store, h.storeHTTP)
	h.directStore.OnRefused = func(reason verdict.Reason) { h.count("store_calls_refused", reason) }
	h.dialer = peer.NewDialer("") // the platform provides no secret for calls between hosts
	h.store = &relay.Client{
		Client: h.directStore, Probe: h.probeStore, OnDirectChange: h.logDirectChange,
		Dial: func(address string) relay.PeerStore { return &peer.StoreClient{Dialer: h.dialer, Address: address} },
	}
	backendOptions := transport.Options{DialTimeout: backendDialTimeout, IdleTimeout: backendIdleTimeout, KeepAlive: keepAlive, ResetOnClose: true}
	orderOptions := backendOptions
	orderOptions.SingleUse = true
	h.backends = &platform.BackendClient{
		HTTP: transport.NewClientWith(backendOptions), Orders: transport.NewClientWith(orderOptions),
		OnResend:  func() { h.metrics.Scope.Counter("requests_resent_total").Inc(1) },
		OnLeaving: h.serverSaidLeaving,
	}
	h.repository = &lot.Repository{Store: h.store, Cache: new(lot.ResultCache)}
	h.permits = &permit.Client{
		Self: h.settings.Host, Local: localPermits{h},
		Dial: func(address string) permit.Granter { return &peer.PermitClient{Dialer: h.dialer, Address: address} },
		OnFailure: func(host string, err error) {
			h.log.Warn("host does not grant permits", zap.String("peer", host), zap.String("error", verdict.Message(err)))
			h.count("permit_host_failed", verdict.ReasonOf(err))
		},
	}
	h.leaving = h.newLeavingReporter()
	h.reporter = &quarantine.Reporter{
		Self: h.settings.Host,
		Dial: func(address string) quarantine.Receiver {
			return &peer.QuarantineClient{Dialer: h.dialer, Address: address}
		},
		OnFailure: func(host string, err error) { h.count("suspect_report_failed", verdict.ReasonOf(err)) },
	}
	forwarder := &forward.Forwarder{
		Plans: new(forward.AtomicPlan), Sender: h.backends, Permits: h.permits, Memory: h.memory, ServerEnded: h.backends.Ended, Log: h.log, Rand: rand.Float64, Count: h.count,
		Origins: localOrigins{h}, KeysOverdue: func() bool { return h.operatorsFeed.Overdue(h.currentSettings().Bounds.Configuration) },
		Report: func(o forward.Outcome) { h.inbox.Post(event.ServerOutcome{Outcome: o}) },
		Began:  h.recordBegan, Now: h.clock.Now,
	}
	h.service = &frontend.Service{
		Forwarder: forwarder, Repository: h.repository, Lots: frontend.NewLots(), Self: h.self, Log: h.log, Now: h.clock.Now,
		Deliver: h.inbox.Deliver, LotsAge: func() time.Duration { return h.coordinationFeed.Age() },
		PeerReader: func(address string) lot.Reader { return &peer.StoreClient{Dialer: h.dialer, Address: address} },
	}
}

// probeStore reads from several partitions and fails if no read succeeds. One success shows
// that the store serves this host: single partitions may be unavailable to all hosts.
func (h *host) probeStore(ctx context.Context) error {
	h.storeHTTP.CloseIdleConnections() // some of them may have stopped responding
	keys := []store.Key{
		{Table: platform.TableOperators}, {Table: platform.TableServers}, {Table: lot.TableCoordination},
		lot.HeadKey("probe", 0), lot.HeadKey("probe", 1),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(keys))
	for _, k := range keys {
		go func() {
			_, err := h.directStore.Read(ctx, k.Table, k.Part, "", 1)
			results <- err
		}()
	}
	var err error
	for range keys {
		if err = <-results; err == nil {
			return nil
		}
	}
	return err
}

// logDirectChange records that direct access to the store was lost or restored.
func (h *host) logDirectChange(down bool, cause error) {
	if down {
		h.log.Warn("store does not serve this host, calls go through others", zap.String("reason", string(verdict.ReasonOf(cause))),
			zap.String("error", verdict.Message(cause)))
		h.count("store_direct_lost", verdict.ReasonOf(cause))
		return
	}
	h.log.Info("store serves this host again")
}

// peerAddress returns the address at which other hosts call this one.
func (h *host) peerAddress() string {
	return net.JoinHostPort(h.settings.IP, strconv.Itoa(h.settings.PeerPorts[0]))
}

// count adds 1 to a counter with the given reason.
func (h *host) count(name string, reason verdict.Reason) {
	h.metrics.Scope.Tagged(map[string]string{"reason": string(reason)}).Counter(name + "_total").Inc(1)
}

// registerExecutors adds an executor for every command that the systems issue.
func (h *host) registerExecutors() {
	h.dispatcher = control.NewDispatcher(h.ctx, h.inbox, func(c command.Command) {
		h.log.DPanic("command without executor", zap.String("command", c.Name()))
	})
	telemetry.Register(h.dispatcher, h.metrics.Scope, h.log)
	control.HandleNow(h.dispatcher, func(c command.PublishRouting) { h.service.Plans.Publish(c.Plan) })
	control.HandleNow(h.dispatcher, executor.PublishEstimate)
	control.HandleNow(h.dispatcher, h.service.Lots.Publish)
	control.HandleNow(h.dispatcher, h.service.Runners.Publish)
	control.HandleNow(h.dispatcher, func(command.HandoverFinished) { close(h.handoverDone) })
	control.HandleNow(h.dispatcher, func(c command.PublishQuarantine) { h.service.Quarantine.Publish(c.Contents) })
	control.Handle(h.dispatcher, maxConcurrentReports, func(ctx context.Context, c command.ReportSuspect) event.Event {
		h.reporter.Send(ctx, c.Report)
		return nil
	})
	control.Handle(h.dispatcher, maxConcurrentWrites, func(ctx context.Context, c command.WriteQuarantine) event.Event {
		err := quarantine.Write(ctx, h.store, c.Content, c.Version, c.Remove)
		return event.QuarantineWritten{Content: c.Content, Failure: event.FailureOf(err)}
	})
	h.registerOriginExecutors()
	h.registerLeavingExecutors()
	h.registerDutyExecutors()
	control.Handle(h.dispatcher, 1, h.shareNotes)
	control.HandleNow(h.dispatcher, func(c command.AnswerNotes) { h.waiters.Answer(c.RequestID, c) })
	control.HandleNow(h.dispatcher, func(c command.AnswerPermit) { h.waiters.Answer(c.RequestID, c) })
	control.HandleNow(h.dispatcher, func(c command.AnswerHostView) { h.waiters.Answer(c.RequestID, c) })
	control.HandleNow(h.dispatcher, func(c command.AnswerExplain) { h.waiters.Answer(c.RequestID, c) })
	runs := &executor.Runs{Ctx: h.ctx, Sender: h.backends, Permits: h.permits, Memory: h.memory, Deliver: h.inbox.Deliver, SetUrgency: platform.SetUrgency}
	control.HandleNow(h.dispatcher, runs.Start)
	control.HandleNow(h.dispatcher, runs.Stop)
	scores := executor.NewScores(h.ctx, h.service.Forwarder, h.inbox.Deliver, maxConcurrentScores)
	control.HandleNow(h.dispatcher, scores.Start)
	control.HandleNow(h.dispatcher, scores.Stop)
	control.Handle(h.dispatcher, maxConcurrentWrites, func(ctx context.Context, c command.WriteLot) event.Event {
		return executor.WriteLot(ctx, h.repository, c)
	})
	control.Handle(h.dispatcher, maxConcurrentWrites, func(ctx context.Context, c command.AdoptLot) event.Event {
		return executor.AdoptLot(ctx, h.repository, c)
	})
	control.Handle(h.dispatcher, maxConcurrentWrites, func(ctx context.Context, c command.CheckHead) event.Event {
		return executor.CheckHead(ctx, h.repository, c)
	})
	control.HandleNow(h.dispatcher, func(c command.PublishPeers) {
		h.store.SetPeers(slices.Collect(maps.Values(c.Addresses)))
		h.service.Peers.Publish(c)
		h.permits.SetPeers(c.Addresses)
		h.reporter.SetPeers(c.Addresses)
		h.leaving.SetPeers(c.Addresses)
	})
	control.Handle(h.dispatcher, 1, func(ctx context.Context, c command.WritePresence) event.Event {
		rec := presence.Record{Address: h.peerAddress(), BootID: h.self.BootID, WriteID: rand.Uint64(), LimitedEngines: c.LimitedEngines}
		version, err := presence.Write(ctx, h.store, h.settings.Host, rec, c.Version, c.Remove)
		return event.PresenceWritten{Version: version, Failure: event.FailureOf(err)}
	})
	control.Handle(h.dispatcher, 1, func(ctx context.Context, c command.DeleteLot) event.Event {
		return executor.DeleteLot(ctx, h.repository, c)
	})
	lease := &orderlease.Writer{Store: h.store, Self: h.self, Now: h.clock.Now}
	control.Handle(h.dispatcher, 1, func(ctx context.Context, c command.WriteOrderLease) event.Event {
		return executor.WriteOrderLease(ctx, lease, c)
	})
	orders := &executor.Orders{Engines: h.backends, Holder: h.settings.Host, Now: h.clock.Now}
	control.Handle(h.dispatcher, maxConcurrentOrders, orders.Send)
}

// addControl adds the control loop.
func (h *host) addControl(g *run.Group) {
	tables := table.New(table.Self{Host: h.settings.Host, Zone: h.settings.Zone})
	tables.Rollout.Self, tables.Rollout.Zone, tables.Rollout.OrderHandoverDelay = h.self, h.settings.Zone, h.settings.Bounds.OrderHandoverDelay
	tables.Rollout.StoreReadsPerSecond, tables.Rollout.ResultRetention = h.settings.StoreReads, h.settings.Bounds.ResultRetention
	tables.Rollout.BackendDrainPeriod = h.settings.Bounds.BackendDrainPeriod
	tables.Rollout.Presence.Address = h.peerAddress()
	tables.Duties = h.dutyTables()
	loop := control.NewLoop(control.Options{
		Tables: tables, Systems: append(rollout.Systems(), duty.Systems()...), Inbox: h.inbox, Executor: h.dispatcher,
		Clock: h.clock.Now, ObserveDuration: telemetry.ObserveTicks(h.metrics.Scope), MaxTickInterval: maxTickInterval,
	})
	g.Add(func() error { return loop.Run(h.ctx) }, func(error) { h.cancel() })
}

// addFeeds adds the feeds of the store's tables.
func (h *host) addFeeds(g *run.Group) {
	h.coordinationFeed = h.newFeed("coordination", lot.TableCoordination, lot.CoordinationParts(), readbudget.CoordinationShare, 50*time.Millisecond, executor.DecodeCoordination)
	h.coordinationFeed.LongPollWait = coordinationLongPollWait
	singlePart := []string{""} // these tables have one partition
	h.operatorsFeed = h.newFeed("operators", platform.TableOperators, singlePart, readbudget.OperatorsShare, 0, h.decodeOperators)
	h.serversFeed = h.newFeed("servers", platform.TableServers, singlePart, readbudget.ServersShare, 250*time.Millisecond, decodeServers)
	feeds := []*executor.Feed{h.coordinationFeed, h.operatorsFeed, h.serversFeed}
	for _, f := range feeds {
		g.Add(func() error { return f.Run(h.ctx) }, func(error) { h.cancel() })
	}
}

// close closes what newHost opened.
func (h *host) close() {
	h.cancel()
	h.dialer.Close()
	_ = h.metrics.Close() // the HTTP server is closed, so the last values are not read
	h.logOutput.Close()
}

// listen listens on a TCP address. buffer is the size of the socket buffers of its
// connections. An error includes the name.
func listen(name, address string, buffer int) (net.Listener, error) {
	l, err := frontend.Listen(address, buffer)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	return l, nil
}
