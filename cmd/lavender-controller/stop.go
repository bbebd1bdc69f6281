package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/lavenderstand/lavenderstand/event"
)

var errDrainLimit = errors.New("drain limit reached before all partitions were handed over")

// addStop ends the group after the first SIGTERM or SIGINT once every partition
// was handed over. Further signals have no effect.
func (c *controller) addStop(ctx context.Context, g *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	g.Add(func() error {
		select {
		case <-signals:
		case <-ctx.Done():
			return nil
		}
		if err := c.inbox.Deliver(ctx, event.DrainRequested{}); err != nil {
			return err
		}
		return c.awaitDrained(ctx)
	}, func(error) { cancel() })
}

func (c *controller) awaitDrained(ctx context.Context) error {
	limit := time.NewTimer(seconds(c.settings.Timing.DrainLimitSeconds))
	defer limit.Stop()
	select {
	case <-c.drained:
		return nil
	case <-limit.C:
		return errDrainLimit
	case <-ctx.Done():
		return nil
	}
}
