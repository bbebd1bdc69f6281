package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/usage"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// dutyDialTimeout bounds the dial of a connection to the platform's API.
	dutyDialTimeout = 400 * time.Millisecond
	// maxConcurrentUsageCalls bounds the calls to the platform and the writes of usage windows.
	// The systems issue at most two calls at a time.
	maxConcurrentUsageCalls = 4
	// usageFlushTimeout bounds the last report of the counts of a process that ends. It is below
	// stopMargin.
	usageFlushTimeout = 400 * time.Millisecond
)

// registerDutyExecutors adds the executors for the duties to the platform.
func (h *host) registerDutyExecutors() {
	client := transport.NewClientWith(transport.Options{DialTimeout: dutyDialTimeout, ResetOnClose: true, SingleUse: true})
	reports := &executor.UsageReports{
		Now:  h.clock.Now,
		Dial: func(address string) usage.Receiver { return &peer.UsageClient{Dialer: h.dialer, Address: address} },
	}
	control.Handle(h.dispatcher, 1, reports.Send)
	control.HandleNow(h.dispatcher, func(c command.AnswerUsageFlush) { h.waiters.Answer(c.RequestID, c) })
	control.HandleNow(h.dispatcher, func(c command.AnswerUsageReport) { h.waiters.Answer(c.RequestID, c) })
	duty := &executor.Usage{
		Store: h.store, Now: h.clock.Now,
		Platform: func() executor.UsagePlatform {
			return &platform.DutyClient{HTTP: client, Address: h.currentSettings().Duties.Address, Holder: h.settings.Host}
		},
	}
	control.Handle(h.dispatcher, maxConcurrentUsageCalls, duty.Send)
	control.Handle(h.dispatcher, maxConcurrentUsageCalls, duty.Fix)
	control.Handle(h.dispatcher, 1, duty.Mark)
	control.Handle(h.dispatcher, 1, duty.Read)
	control.Handle(h.dispatcher, 1, duty.WriteHolder)
	control.Handle(h.dispatcher, 1, duty.Remove)
	servers := &executor.Scaling{
		Store: h.store, Now: h.clock.Now,
		Platform: func() executor.ScalingPlatform {
			return &platform.DutyClient{HTTP: client, Address: h.currentSettings().Duties.Address, Holder: h.settings.Host}
		},
	}
	control.Handle(h.dispatcher, maxConcurrentUsageCalls, servers.Order)
	control.Handle(h.dispatcher, 1, servers.Read)
}

// dutyTables returns the initial state of the duties. The time of day is read only here, because
// it may jump later.
func (h *host) dutyTables() table.Duties {
	d := table.Duties{Settings: h.settings.Duties}
	d.Usage.Window, d.Usage.Due = h.settings.Bounds.UsageWindow, h.settings.Bounds.UsageDue
	d.Usage.Clock.Base = time.Duration(time.Now().UnixNano()) - h.clock.Now()
	return d
}

// recordBegan counts a request that a server began to run. If the queue of events is full, the
// count is lost and counted as such: control is then 16,384 events behind, and requests must not
// wait for it.
func (h *host) recordBegan(organisation string, at time.Duration, delta int64) {
	if !h.inbox.Post(event.RequestBegan{Organisation: organisation, At: at, Delta: delta}) {
		h.count("usage_counts_lost", verdict.ReasonOverload)
	}
}

// addUsageFlush adds an actor that reports the remaining counts of this host when the process
// ends. It must be added after the servers for callers, whose requests are complete then.
func (h *host) addUsageFlush(g *run.Group) {
	flushed := make(chan struct{})
	g.Add(func() error { <-flushed; return nil }, func(error) {
		defer close(flushed)
		ctx, cancel := context.WithTimeout(h.ctx, usageFlushTimeout)
		defer cancel()
		id := strconv.FormatUint(rand.Uint64(), 36)
		if _, err := h.waiters.Call(ctx, h.inbox, id, event.UsageFlushRequested{RequestID: id}); err != nil {
			h.log.Warn("counts of usage were not reported before the end", zap.Error(err))
		}
	})
}

// localUsage passes the counts of other hosts to control.
type localUsage struct{ host *host }

// Report implements usage.Receiver.
func (l localUsage) Report(ctx context.Context, r usage.Report) (usage.Answer, error) {
	id := strconv.FormatUint(rand.Uint64(), 36)
	answer, err := l.host.waiters.Call(ctx, l.host.inbox, id, event.UsageReported{RequestID: id, ReceivedAt: l.host.clock.Now(), Report: r})
	if err != nil {
		return usage.Answer{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, "report usage")
	}
	return answer.(command.AnswerUsageReport).Answer, nil
}
