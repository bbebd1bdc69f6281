package executor

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// orderTimeout bounds the report and the order together. Engines respond to both without
// delay.
const orderTimeout = 500 * time.Millisecond

// Engines is the client interface to engines that Orders needs.
type Engines interface {
	Report(ctx context.Context, to *forward.Target) (registry.EngineReport, error)
	SendOrder(ctx context.Context, to *forward.Target, o registry.Order) error
}

// Orders executes command.SendOrder.
type Orders struct {
	Engines Engines
	Holder  string
	Now     func() time.Duration // clock of command.SendOrder.ValidUntil
}

// Send requests the state of the engine. It sends the order only if the engine still needs
// it, executes no other order, and the lease is still valid.
func (o *Orders) Send(ctx context.Context, c command.SendOrder) event.Event {
	e := event.OrderEnded{Server: c.Target.ID, Model: c.Model, Version: c.Version}
	e.Failure = event.FailureOf(o.send(ctx, c, &e))
	return e
}

func (o *Orders) send(ctx context.Context, c command.SendOrder, e *event.OrderEnded) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := o.Engines.Report(ctx, c.Target)
	if err != nil && verdict.ReasonOf(err) == verdict.ReasonConnectionLost {
		report, err = o.Engines.Report(ctx, c.Target) // the engine may have closed a kept connection
	}
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonOf(err), "request engine report")
	}
	e.Report = &report
	if report.Models[c.Model] >= c.Version {
		return nil
	}
	if report.Busy {
		return verdict.New(verdict.NotRun, verdict.ReasonConflict, "the engine is executing another order")
	}
	if o.Now() >= c.ValidUntil {
		return verdict.New(verdict.NotRun, verdict.ReasonNotHolder, "the order lease expired before the order was sent")
	}
	if err := forward.CheckLeaving(c.Target); err != nil {
		return err // the report may have said so
	}
	return o.Engines.SendOrder(ctx, c.Target, registry.Order{
		Model: c.Model, Version: c.Version, Holder: o.Holder, Fence: c.Fence, ExpectedOrders: report.AcceptedOrders,
	})
}
