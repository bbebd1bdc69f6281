package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/origin"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// originTimeout bounds the wait for the software version that began a stream. Callers give up
// a stream that sends nothing for two seconds.
const originTimeout = 1500 * time.Millisecond

// localOrigins implements forward.Origins with the control state of this host.
type localOrigins struct{ host *host }

// Began implements forward.Origins.
func (l localOrigins) Began(s forward.StreamID, v registry.Software) {
	l.host.inbox.Post(event.StreamBegan{Stream: origin.StreamOf(s.Service, s.Attempt), Software: v})
}

// Find implements forward.Origins.
func (l localOrigins) Find(ctx context.Context, s forward.StreamID) (registry.Software, error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	id := strconv.FormatUint(rand.Uint64(), 36)
	answer, err := l.host.waiters.Call(ctx, l.host.inbox, id, event.StreamOriginRequested{
		RequestID: id, Stream: origin.StreamOf(s.Service, s.Attempt), HistoryAge: l.host.coordinationFeed.Age(),
	})
	if err != nil {
		return "", verdict.Wrap(err, verdict.NotRun, verdict.ReasonSoftwareUnknown, "stream of attempt %s", s.Attempt)
	}
	a := answer.(command.AnswerStreamOrigin)
	if a.Reason != "" {
		return "", verdict.New(verdict.NotRun, a.Reason, "it is not known which software version began the stream of attempt %s", s.Attempt)
	}
	return a.Software, nil
}

// registerOriginExecutors adds the executors for the records of streams.
func (h *host) registerOriginExecutors() {
	control.HandleNow(h.dispatcher, func(c command.AnswerStreamOrigin) { h.waiters.Answer(c.RequestID, c) })
	control.Handle(h.dispatcher, 1, func(ctx context.Context, c command.ReadStreamOrigins) event.Event {
		return executor.ReadStreamOrigins(ctx, h.store, c)
	})
	control.Handle(h.dispatcher, 1, func(ctx context.Context, c command.WriteStreamRecord) event.Event {
		return executor.WriteStreamRecord(ctx, h.store, h.settings.Host, c)
	})
	control.Handle(h.dispatcher, 1, func(ctx context.Context, c command.WriteSoftwareHistory) event.Event {
		return executor.WriteSoftwareHistory(ctx, h.store, c)
	})
	control.Handle(h.dispatcher, 1, func(ctx context.Context, _ command.PurgeStreamRecords) event.Event {
		if err := origin.Purge(ctx, h.store); err != nil {
			h.count("stream_records_not_purged", verdict.ReasonOf(err))
		}
		return nil
	})
}
