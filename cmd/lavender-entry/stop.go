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

// addStop adds the planned stop, which the first SIGTERM or SIGINT or an operator
// begins. Further signals have no effect.
func (p *process) addStop(g *run.Group) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	g.Add(func() error {
		select {
		case <-signals:
			if err := p.inbox.Deliver(p.ctx, event.DrainRequested{}); err != nil {
				return nil // the process ends already
			}
		case <-p.refusing:
		case <-p.ctx.Done():
		}
		return p.finish()
	}, func(error) { p.cancel() })
}

// finish waits until new requests are refused and then until every request in
// flight has ended, at the longest for the drain limit.
func (p *process) finish() error {
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
