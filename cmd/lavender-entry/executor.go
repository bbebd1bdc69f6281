package main

import (
	"context"
	"net/http"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/platform"
)

// platformTimeout bounds one call of the platform.
const platformTimeout = 2 * time.Second

func (p *process) newExecutor() *control.Pool {
	pool := control.NewPool(p.ctx, p.inbox, func(command.Command) {})
	p.handlePlatform(pool)
	p.handleOwnState(pool)
	return pool
}

func (p *process) handlePlatform(pool *control.Pool) {
	hosts := platform.NewHostListClient(p.settings.Platform.Hosts, &http.Client{Timeout: platformTimeout})
	control.Handle(pool, 1, func(ctx context.Context, _ command.ReadHostList) event.Event {
		list, err := hosts.Hosts(ctx)
		return event.HostListRead{Hosts: list, Failure: event.FailureOf(err)}
	})
}

// handleOwnState handles commands that change this process only.
func (p *process) handleOwnState(pool *control.Pool) {
	refusing := false
	control.HandleNow(pool, func(c command.PublishPlan) {
		p.plans.Publish(c.Plan)
		if c.Plan.Draining && !refusing {
			refusing = true
			close(p.refusing)
		}
	})
	control.HandleNow(pool, func(c command.SetReady) { p.unready.Store(!c.Ready) })
}
