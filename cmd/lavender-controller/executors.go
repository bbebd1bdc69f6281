package main

import (
	"context"
	"net/http"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/handler"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/platform"
)

const (
	platformTimeout = 2 * time.Second
	// sampleLimit is the longest time of one sample: the samples of a step
	// complete within 32 minutes, and a lost one must be run again within that.
	sampleLimit = 10 * time.Minute
)

func (c *controller) registerExecutors() {
	hosts := platform.NewHostListClient(c.settings.Platform.Hosts, &http.Client{Timeout: platformTimeout})
	control.Handle(c.pool, 1, func(ctx context.Context, _ command.ReadHostList) event.Event {
		list, err := hosts.Hosts(ctx)
		return event.HostListRead{Hosts: list, Failure: event.FailureOf(err)}
	})
	generator := peer.Generator{Dialer: c.dialer, Limit: sampleLimit}
	control.Handle(c.pool, peer.MaxGenerating, generator.Run)
	control.HandleNow(c.pool, func(command.DrainFinished) { close(c.drained) })
	handler.RegisterAnswers(c.pool, c.waiters)
}
