package main

import (
	"context"
	"math/rand/v2"
	"strconv"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/leaving"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// maxConcurrentShares bounds the reports to all hosts that run at the same time. Each calls up
// to 32 hosts at once.
const maxConcurrentShares = 2

// newLeavingReporter returns the reporter of servers that leave.
func (h *host) newLeavingReporter() *leaving.Reporter {
	return &leaving.Reporter{
		Self:      h.settings.Host,
		Dial:      func(address string) leaving.Receiver { return &peer.LeavingClient{Dialer: h.dialer, Address: address} },
		OnFailure: func(_ string, err error) { h.count("server_leaving_report_failed", verdict.ReasonOf(err)) },
	}
}

// registerLeavingExecutors adds the executors for servers that leave.
func (h *host) registerLeavingExecutors() {
	control.HandleNow(h.dispatcher, func(c command.MarkLeaving) { c.Target.Load.RecordLeaving() })
	control.HandleNow(h.dispatcher, func(c command.AnswerLeaving) { h.waiters.Answer(c.RequestID, c) })
	control.Handle(h.dispatcher, maxConcurrentShares, func(ctx context.Context, c command.ShareLeaving) event.Event {
		h.leaving.Send(ctx, c.Starts)
		return nil
	})
	control.Handle(h.dispatcher, 1, func(ctx context.Context, _ command.AskLeaving) event.Event {
		return event.ServersLeaving{FromHost: true, Starts: h.leaving.Ask(ctx)}
	})
}

// serverSaidLeaving tells control of a server that said in an answer that it leaves. Requests
// do not wait for control, and the report must not be dropped, so it has a goroutine of its
// own: one for each start of a server.
func (h *host) serverSaidLeaving(to *forward.Target) {
	start := to.Start()
	go func() { _ = h.inbox.Deliver(h.ctx, event.ServersLeaving{Starts: []registry.Start{start}}) }() // fails only when the process ends
}

// localLeaving passes the reports of other hosts to control.
type localLeaving struct{ host *host }

// Share implements leaving.Receiver.
func (l localLeaving) Share(ctx context.Context, _ string, starts []registry.Start) ([]registry.Start, error) {
	if len(starts) > 0 {
		return nil, l.host.inbox.Deliver(ctx, event.ServersLeaving{FromHost: true, Starts: starts})
	}
	id := strconv.FormatUint(rand.Uint64(), 36)
	answer, err := l.host.waiters.Call(ctx, l.host.inbox, id, event.LeavingRequested{RequestID: id})
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, "request the servers that leave")
	}
	return answer.(command.AnswerLeaving).Starts, nil
}
