package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/oklog/run"

	"github.com/lavenderstand/lavenderstand/event"
)

// addStop adds the planned stop: the first SIGTERM or SIGINT begins it, further
// ones have no effect.
func (p *process) addStop(g *run.Group) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	g.Add(func() error {
		select {
		case <-signals:
			return p.stop()
		case <-p.ctx.Done():
			return nil
		}
	}, func(error) { p.cancel() })
}

// stop ends when every request in flight has finished, or at the drain limit.
func (p *process) stop() error {
	if err := p.inbox.Deliver(p.ctx, event.DrainRequested{}); err != nil {
		return nil // the process ends already
	}
	select {
	case <-p.refusing:
	case <-p.ctx.Done():
		return nil
	}
	p.flights.Close()
	ctx, cancel := context.WithTimeout(p.ctx, seconds(p.settings.Timing.DrainLimitSeconds))
	defer cancel()
	if cut := p.flights.Wait(ctx); cut > 0 {
		return fmt.Errorf("drain limit reached: %d requests cut off", cut)
	}
	return nil
}
