package executor_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// follow runs a feed of the coordination table and returns its events.
func follow(t *testing.T, rows *pamoja.Store) <-chan event.Event {
	events := make(chan event.Event, 100)
	f := &executor.Feed{
		Name: "coordination", Table: lot.TableCoordination, Parts: lot.CoordinationParts(), Store: rows, LongPollWait: 50 * time.Millisecond,
		Decode: executor.DecodeCoordination, OnReadFailure: func() {},
		Deliver: func(_ context.Context, e event.Event) error { events <- e; return nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return events
}

func next[E event.Event](t *testing.T, events <-chan event.Event) E {
	for {
		select {
		case e := <-events:
			if e, ok := e.(E); ok {
				return e
			}
		case <-time.After(5 * time.Second):
			var zero E
			t.Fatalf("no %s within 5 s", zero.Name())
		}
	}
}

func putHead(t *testing.T, rows *pamoja.Store, id string) {
	_, err := rows.Commit(context.Background(), store.Commit{Put: []store.Row{lot.HeadRow(lot.Head{ID: id, WriteID: "w"})}})
	require.NoError(t, err)
}

// TestFeed guards against a table whose first content has no version, changes that are
// lost, and history that was dropped and is not read again in full.
func TestFeed(t *testing.T) {
	rows := pamoja.NewStore()
	rows.Set("op", "config", []byte("x"))
	events := follow(t, rows)
	require.False(t, next[event.FeedChanged](t, events).Down)
	first := next[event.HeadsRead](t, events)
	require.True(t, first.Full)
	require.EqualValues(t, 1, first.Version, "an empty table is known up to the store's version")
	putHead(t, rows, "l1")
	changed := next[event.HeadsRead](t, events)
	require.Equal(t, "l1", changed.Heads[0].ID)

	rows.SetFault(func(pamoja.Call) pamoja.Outcome { return pamoja.Refused })
	require.True(t, next[event.FeedChanged](t, events).Down)
	rows.Compact()
	putHeadUnfaulted(t, rows, "l2")
	require.False(t, next[event.FeedChanged](t, events).Down)
	full := next[event.HeadsRead](t, events)
	require.True(t, full.Full)
	require.Len(t, full.Heads, 2)
}

// putHeadUnfaulted ends the fault and writes a head before the feed reads again.
func putHeadUnfaulted(t *testing.T, rows *pamoja.Store, id string) {
	h := lot.HeadRow(lot.Head{ID: id, WriteID: "w"})
	rows.SetFault(func(c pamoja.Call) pamoja.Outcome {
		if c.Write {
			return pamoja.Served
		}
		return pamoja.Refused
	})
	_, err := rows.Commit(context.Background(), store.Commit{Put: []store.Row{h}})
	require.NoError(t, err)
	rows.Compact()
	rows.SetFault(nil)
}

// TestRefusedFullReadGoesOn guards against a host that never knows a table, because each
// refusal by the store's rate makes it begin with the first part again (300 hosts that
// started at once), and against one that counts the store as lost for a single refusal.
func TestRefusedFullReadGoesOn(t *testing.T) {
	rows := pamoja.NewStore()
	putHead(t, rows, "a")
	calls := 0
	busy := &limited{Store: rows, refuse: func() bool { calls++; return calls%2 != 0 }}
	events := make(chan event.Event, 100)
	f := &executor.Feed{
		Name: "coordination", Table: lot.TableCoordination, Parts: lot.CoordinationParts(), Store: busy, LongPollWait: 20 * time.Millisecond,
		Decode: executor.DecodeCoordination, OnReadFailure: func() { t.Error("the store works") },
		Deliver: func(_ context.Context, e event.Event) error { events <- e; return nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	read := next[event.HeadsRead](t, events)
	require.True(t, read.Full)
	require.Len(t, read.Heads, 1)
}

// limited is a store that refuses reads by its rate.
type limited struct {
	*pamoja.Store
	refuse func() bool
}

func (l *limited) Read(ctx context.Context, table, part, from string, limit int) (store.Range, error) {
	if l.refuse() {
		return store.Range{}, verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "busy")
	}
	return l.Store.Read(ctx, table, part, from, limit)
}
