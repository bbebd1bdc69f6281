package telemetry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
)

// inboxPollInterval is the interval at which the dropped reports of the inbox are counted.
const inboxPollInterval = 5 * time.Second

// Register adds the executors of command.Count and command.LogChange.
func Register(dispatcher *control.Dispatcher, scope tally.Scope, log *zap.Logger) {
	control.HandleNow(dispatcher, func(c command.Count) {
		scope.Tagged(c.Tags).Counter(c.Counter + "_total").Inc(c.Delta)
	})
	control.HandleNow(dispatcher, func(c command.LogChange) {
		fields := make([]zap.Field, len(c.Fields))
		for i, f := range c.Fields {
			fields[i] = zap.String(f.Key, f.Value)
		}
		log.Info(c.Message, fields...)
	})
}

// ObserveTicks returns a function for control.Options.ObserveDuration that records the
// durations in histograms.
func ObserveTicks(scope tally.Scope) func(name string, took time.Duration) {
	histograms := make(map[string]tally.Histogram) // used only by the goroutine of the control loop
	return func(name string, took time.Duration) {
		h := histograms[name]
		if h == nil {
			h = scope.Tagged(map[string]string{"step": name}).Histogram("tick_seconds", tickBuckets)
			histograms[name] = h
		}
		h.RecordDuration(took)
	}
}

// WatchInbox counts the reports that the inbox dropped because it was full, by kind, until
// ctx is canceled.
func WatchInbox(ctx context.Context, scope tally.Scope, inbox *control.Inbox) error {
	ticker := time.NewTicker(inboxPollInterval)
	defer ticker.Stop()
	counted := make(map[string]uint64)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			countDropped(scope, inbox.DroppedByKind(), counted)
		}
	}
}

// countDropped adds the reports that were dropped since the last call. counted holds the
// totals of that call and is updated.
func countDropped(scope tally.Scope, dropped, counted map[string]uint64) {
	for kind, n := range dropped {
		scope.Tagged(map[string]string{"event": kind}).Counter("inbox_dropped_total").Inc(int64(n - counted[kind]))
		counted[kind] = n
	}
}
