package main

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/traffic"
)

// process holds what the concerns of an entry host share.
type process struct {
	settings settings.Process
	ctx      context.Context // ends when the process stops
	cancel   context.CancelFunc
	clock    func() time.Duration
	inbox    *control.Inbox
	plans    *plan.Cell
	flights  *traffic.Flights
	unready  atomic.Bool   // a planned stop has begun
	refusing chan struct{} // closed when the plan refuses new requests
}

func newProcess(s settings.Process) *process {
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	return &process{
		settings: s, ctx: ctx, cancel: cancel,
		clock:    func() time.Duration { return time.Since(start) },
		inbox:    control.NewInbox(control.InboxSize),
		plans:    new(plan.Cell),
		flights:  traffic.NewFlights(),
		refusing: make(chan struct{}),
	}
}

// addControl adds the control loop.
func (p *process) addControl(g *run.Group) {
	host := p.settings.Host
	loop := control.NewLoop(control.Options{
		Tables:   table.New(table.Self{ID: host.Name, Host: host.Name, Zone: host.Zone, Role: table.RoleEntry}),
		Systems:  systems(p.settings.Timing),
		Inbox:    p.inbox,
		Executor: p.newExecutor(),
		Clock:    p.clock,
	})
	g.Add(func() error { return loop.Run(p.ctx) }, func(error) { p.cancel() })
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
