package executor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/clock"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/store"
)

// TestOverdueAfterSuspension guards against a process that takes its rows for current after it
// was suspended, and against one that does so no longer because the store does not serve it.
func TestOverdueAfterSuspension(t *testing.T) {
	const limit = 3 * time.Second
	rows := pamoja.NewStore()
	boot := clock.NewBoottime()
	var suspended atomic.Int64
	f := &executor.Feed{
		Name: "op", Table: "op", Parts: []string{""}, Store: rows, LongPollWait: 200 * time.Millisecond,
		Now:     func() time.Duration { return boot.Now() + time.Duration(suspended.Load()) },
		Decode:  func([]store.Row, bool, uint64) []event.Event { return nil },
		Deliver: func(context.Context, event.Event) error { return nil }, OnReadFailure: func() {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	current := func() bool { return f.Age() < limit }
	require.Eventually(t, current, 5*time.Second, time.Millisecond)

	var calls atomic.Int32
	rows.SetFault(func(pamoja.Call) pamoja.Outcome {
		if calls.Add(1) > 1 {
			return pamoja.Served
		}
		suspended.Add(int64(time.Minute))
		return pamoja.Refused
	})
	require.Eventually(t, func() bool { return f.Overdue(limit) }, 5*time.Second, time.Millisecond, "the failure shows the suspension, not an outage")
	require.Eventually(t, current, 5*time.Second, time.Millisecond)
	require.False(t, f.Overdue(limit))

	rows.SetFault(func(pamoja.Call) pamoja.Outcome { return pamoja.Refused })
	require.Eventually(t, func() bool { return f.Age() > limit }, 10*time.Second, 10*time.Millisecond)
	require.False(t, f.Overdue(limit), "a host that cannot read the store goes on with what it knows")
}
