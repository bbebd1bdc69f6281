package handler

import (
	"context"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/status"
)

// maxConcurrentConfigCalls bounds the concurrent calls of each kind. It is large
// enough to call a few hundred hosts within the timeouts of package peer.
const maxConcurrentConfigCalls = 64

// RegisterConfigCalls adds the executors of ContactHost, PrepareHost, WithdrawHost and
// AnnounceConfig. The parameter from is the name of this host.
func RegisterConfigCalls(dispatcher *control.Dispatcher, dialer *peer.Dialer, from string) {
	control.Handle(dispatcher, maxConcurrentConfigCalls, func(ctx context.Context, c command.ContactHost) event.Event {
		contact, err := peer.ContactHost(ctx, dialer, c, from)
		return event.ContactMade{HostID: c.HostID, Contact: contact, Failure: event.FailureOf(err)}
	})
	control.Handle(dispatcher, maxConcurrentConfigCalls, func(ctx context.Context, c command.PrepareHost) event.Event {
		err := peer.PrepareHost(ctx, dialer, c)
		return event.PrepareAnswered{RequestID: c.RequestID, HostID: c.HostID, Failure: event.FailureOf(err)}
	})
	control.Handle(dispatcher, maxConcurrentConfigCalls, func(ctx context.Context, c command.WithdrawHost) event.Event {
		// A peer that misses the withdrawal obtains the outcome from the store or
		// from another peer.
		_ = peer.WithdrawHost(ctx, dialer, c)
		return nil
	})
	control.Handle(dispatcher, maxConcurrentConfigCalls, func(ctx context.Context, c command.AnnounceConfig) event.Event {
		// A peer that misses the announcement reads the configuration row at its
		// next poll.
		_ = peer.AnnounceConfig(ctx, dialer, c)
		return nil
	})
}

// RegisterConfigAnswers adds the executors that deliver the control loop's
// answers to the waiting calls of peer.ConfigServer.
func RegisterConfigAnswers(dispatcher *control.Dispatcher, waiters *control.Waiters) {
	control.HandleNow(dispatcher, func(c command.AnswerContact) { waiters.Answer(c.RequestID, c) })
	control.HandleNow(dispatcher, func(c command.AnswerPrepare) { waiters.Answer(c.RequestID, c) })
}

// RegisterOperators adds the executors that serve api.OperatorHandlers: they
// deliver answers to configuration changes and publish status snapshots.
func RegisterOperators(dispatcher *control.Dispatcher, waiters *control.Waiters, snapshot *status.AtomicSnapshot) {
	control.HandleNow(dispatcher, func(c command.AnswerConfigChange) { waiters.Answer(c.RequestID, c) })
	control.HandleNow(dispatcher, func(c command.PublishStatus) { snapshot.Publish(c.Snapshot) })
}
