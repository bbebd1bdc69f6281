package executor

import (
	"context"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/origin"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/store"
)

// ReadStreamOrigins executes command.ReadStreamOrigins.
func ReadStreamOrigins(ctx context.Context, s store.Client, c command.ReadStreamOrigins) event.Event {
	e := event.StreamOriginsRead{IssuedAt: c.IssuedAt, Histories: make(map[string][]registry.Software)}
	found, err := origin.Find(ctx, s, c.Streams)
	e.Origins = found
	for _, stream := range c.Streams {
		if _, ok := e.Histories[stream.Service]; ok || err != nil {
			continue
		}
		e.Histories[stream.Service], err = origin.ReadHistory(ctx, s, stream.Service)
	}
	e.Failure = event.FailureOf(err)
	return e
}

// WriteStreamRecord executes command.WriteStreamRecord.
func WriteStreamRecord(ctx context.Context, s store.Client, host string, c command.WriteStreamRecord) event.Event {
	stored, err := origin.WriteRecord(ctx, s, host, c.Record, c.Version)
	return event.StreamRecordWritten{Stored: stored, Failure: event.FailureOf(err)}
}

// WriteSoftwareHistory executes command.WriteSoftwareHistory.
func WriteSoftwareHistory(ctx context.Context, s store.Client, c command.WriteSoftwareHistory) event.Event {
	err := origin.WriteHistory(ctx, s, c.Service, c.Versions, c.Version)
	return event.SoftwareHistoryWritten{Service: c.Service, Failure: event.FailureOf(err)}
}
