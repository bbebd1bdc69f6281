// Package daemon provides the parts that lavender-entry and lavender-controller share:
// clients, log, metrics, identities, the control loop, the HTTP and gRPC servers and the
// graceful shutdown.
package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/handler"
	"github.com/lavenderstand/lavenderstand/identity"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/telemetry"
)

// platformTimeout bounds one call to the platform, in addition to its context.
const platformTimeout = 5 * time.Second

// Base holds the components that every process has.
type Base struct {
	Settings   settings.Process
	Self       table.Self
	Ctx        context.Context // canceled when the process stops
	Cancel     context.CancelFunc
	Inbox      *control.Inbox
	Waiters    *control.Waiters
	Dispatcher *control.Dispatcher
	Log        *zap.Logger
	Metrics    *telemetry.Metrics
	Counters   *telemetry.Counters
	Dialer     *peer.Dialer
	Principals *identity.Principals
	Tables     tablestore.Tables
	Objects    tablestore.Objects
	Hosts      tablestore.HostList
	Engines    *engine.Client
	NewOpID    func() string
	Platform   handler.PlatformDeps

	start      time.Time
	rowRemoval *hostRowRemoval
}

// New opens the log and the metrics, reads the secrets and creates the clients.
func New(s settings.Process, self table.Self) (*Base, error) {
	log, err := telemetry.NewLogger(s.Log)
	if err != nil {
		return nil, err
	}
	principals, err := identity.Load(s.Identity.PrincipalsFile)
	if err != nil {
		return nil, err
	}
	token, err := identity.ReadSecret(s.Identity.ProcessTokenFile)
	if err != nil {
		return nil, err
	}
	orderToken, err := optionalSecret(s.Identity.OrderTokenFile)
	if err != nil {
		return nil, err
	}
	b := &Base{
		Settings: s, Self: self, Log: log, Principals: principals, start: time.Now(),
		Inbox: control.NewInbox(control.InboxSize), Waiters: control.NewWaiters(),
		Dialer: peer.NewDialer(token), Engines: engine.NewClient(orderToken),
		NewOpID: tablestore.OpIDs(rand.Uint64), rowRemoval: newHostRowRemoval(),
	}
	b.Ctx, b.Cancel = context.WithCancel(context.Background())
	b.Metrics = telemetry.NewMetrics(map[string]string{"host": self.Host, "role": string(self.Role)},
		func(err error) { log.Warn("metric could not be registered", zap.Error(err)) })
	b.Counters = telemetry.NewCounters(b.Metrics.Scope)
	if err := b.connectPlatform(); err != nil {
		return nil, err
	}
	b.newDispatcher()
	return b, nil
}

// connectPlatform creates the clients of the platform.
func (b *Base) connectPlatform() error {
	p := b.Settings.Platform
	token, err := optionalSecret(p.TokenFile)
	if err != nil {
		return err
	}
	client := tablestore.NewHTTPClient(token, platformTimeout)
	b.Tables = tablestore.NewTablesClient(p.Tables, client)
	b.Objects = tablestore.NewObjectsClient(p.Objects, client)
	b.Hosts = tablestore.NewHostListClient(p.Hosts, client)
	return nil
}

// optionalSecret reads a secret from a file. It returns an empty secret if path is empty.
func optionalSecret(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	return identity.ReadSecret(path)
}

// newDispatcher creates the dispatcher and registers the executors that both programs use.
func (b *Base) newDispatcher() {
	b.Dispatcher = control.NewDispatcher(b.Ctx, b.Inbox, func(c command.Command) {
		b.Log.DPanic("command without executor", zap.String("command", c.Name()))
	})
	telemetry.Register(b.Dispatcher, b.Metrics.Scope, b.Log)
	b.Platform = handler.PlatformDeps{
		Tables: b.Tables, Objects: b.Objects, Hosts: b.Hosts,
		Clock: b.Clock, NewOpID: b.NewOpID, Random: rand.Float64, Count: b.Count,
	}
	handler.RegisterPlatform(b.Dispatcher, b.Platform)
	handler.RegisterBackends(b.Dispatcher, handler.BackendDeps{Client: b.Engines, Objects: b.Objects, Clock: b.Clock})
	handler.RegisterConfigCalls(b.Dispatcher, b.Dialer, b.Self.Host)
	handler.RegisterConfigAnswers(b.Dispatcher, b.Waiters)
	handler.RegisterAnswers(b.Dispatcher, b.Waiters)
	control.HandleNow(b.Dispatcher, func(command.HostRowDeleted) { b.rowRemoval.markDone() })
}

// Clock returns the monotonic time since the start of the process.
func (b *Base) Clock() time.Duration { return time.Since(b.start) }

// Ask delivers an event to the control loop and waits for the answer to the request ID.
func (b *Base) Ask(ctx context.Context, id string, e event.Event) (command.Command, error) {
	return b.Waiters.Call(ctx, b.Inbox, id, e)
}

// Count adds 1 to a counter.
func (b *Base) Count(counter string, tags map[string]string) {
	b.Metrics.Scope.Tagged(tags).Counter(counter + "_total").Inc(1)
}

// Close cancels Ctx and closes the connections to peers, the metrics and the log.
func (b *Base) Close() {
	b.Cancel()
	b.Dialer.Close()
	_ = b.Metrics.Close()
	_ = b.Log.Sync()
}

// Seconds converts a setting in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
