package executor_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// closingEngine has closed the kept connection on which its first report is requested.
type closingEngine struct{ reports, orders int }

func (e *closingEngine) Report(context.Context, *forward.Target) (registry.EngineReport, error) {
	e.reports++
	if e.reports == 1 {
		return registry.EngineReport{}, verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "connection lost")
	}
	return registry.EngineReport{}, nil
}

func (e *closingEngine) SendOrder(context.Context, *forward.Target, registry.Order) error {
	e.orders++
	return nil
}

// TestReportIsRequestedAgain guards against an order that is delayed because the engine closed
// a kept connection in the moment in which its report was requested.
func TestReportIsRequestedAgain(t *testing.T) {
	engine := new(closingEngine)
	orders := &executor.Orders{Engines: engine, Now: func() time.Duration { return 0 }}
	ended := orders.Send(context.Background(), command.SendOrder{Target: &forward.Target{}, Model: "m", Version: 2, ValidUntil: time.Second})
	require.Nil(t, ended.(event.OrderEnded).Failure)
	require.Equal(t, 1, engine.orders)
}

// leavingEngine says in its report that it leaves.
type leavingEngine struct{ closingEngine }

func (e *leavingEngine) Report(_ context.Context, to *forward.Target) (registry.EngineReport, error) {
	to.Load.RecordLeaving()
	return registry.EngineReport{}, nil
}

// TestLeavingEngineGetsNoOrder guards against an order to an engine whose report, requested for
// the order, says that it leaves.
func TestLeavingEngineGetsNoOrder(t *testing.T) {
	engine := new(leavingEngine)
	orders := &executor.Orders{Engines: engine, Now: func() time.Duration { return 0 }}
	ended := orders.Send(context.Background(), command.SendOrder{Target: &forward.Target{Load: new(forward.Load)}, Model: "m", Version: 2, ValidUntil: time.Second})
	require.Zero(t, engine.orders)
	require.Equal(t, verdict.ReasonBackendLeaving, ended.(event.OrderEnded).Failure.Reason)
}

// TestLeavingServerGetsNoRun guards against a run that is sent to a server that said that it
// leaves after control had chosen it.
func TestLeavingServerGetsNoRun(t *testing.T) {
	ended := make(chan event.Event, 1)
	runs := &executor.Runs{Ctx: t.Context(), Deliver: func(_ context.Context, e event.Event) error { ended <- e; return nil }} // without a sender
	to := &forward.Target{ID: "s", Load: new(forward.Load)}
	to.Load.RecordLeaving()
	runs.Start(command.StartRun{Key: "k", Run: 1, Target: to, FirstEventTimeout: time.Second, Deadline: time.Second})
	require.Equal(t, verdict.ReasonBackendLeaving, (<-ended).(event.RunEnded).Failure.Reason)
}
