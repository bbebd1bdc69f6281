package executor_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/clock"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// runFeed runs a feed of the coordination table until the test ends and returns its events.
func runFeed(t *testing.T, rows *pamoja.Store) <-chan event.Event {
	return runFeedWith(t, rows, executor.DecodeCoordination)
}

// runFeedWith does the same with another decoder.
func runFeedWith(t *testing.T, rows *pamoja.Store, decode func([]store.Row, bool, uint64) []event.Event) <-chan event.Event {
	events := make(chan event.Event, 100)
	f := &executor.Feed{
		Name: "coordination", Table: lot.TableCoordination, Parts: lot.CoordinationParts(), Store: rows, LongPollWait: 50 * time.Millisecond,
		Now: clock.NewBoottime().Now, Decode: decode, OnReadFailure: func() {},
		Deliver: func(_ context.Context, e event.Event) error { events <- e; return nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return events
}

// next returns the next event of type E and skips other events.
func next[E event.Event](t *testing.T, events <-chan event.Event) E {
	for {
		select {
		case e := <-events:
			if e, ok := e.(E); ok {
				return e
			}
		case <-time.After(5 * time.Second):
			var zero E
			t.Fatalf("no event %s within 5 s", zero.Name())
		}
	}
}

func putHead(t *testing.T, rows *pamoja.Store, id string) {
	_, err := rows.Commit(context.Background(), store.Commit{Put: []store.Row{lot.HeadRow(lot.Head{ID: id, WriteID: "w"})}})
	require.NoError(t, err)
}

// TestFeed guards against a first full read without a version, against lost changes, and
// against a feed that does not read the table in full again after the store has dropped its
// history.
func TestFeed(t *testing.T) {
	rows := pamoja.NewStore()
	rows.Set("op", "config", []byte("x"))
	events := runFeed(t, rows)
	require.False(t, next[event.FeedChanged](t, events).Down)
	first := next[event.HeadsRead](t, events)
	require.True(t, first.Full)
	require.EqualValues(t, 1, first.Version, "an empty table has the version of the store")
	putHead(t, rows, "l1")
	changed := next[event.HeadsRead](t, events)
	require.Equal(t, "l1", changed.Heads[0].ID)

	rows.SetFault(func(pamoja.Call) pamoja.Outcome { return pamoja.Refused })
	require.True(t, next[event.FeedChanged](t, events).Down)
	rows.Compact()
	putHeadAndClearFault(t, rows, "l2")
	require.False(t, next[event.FeedChanged](t, events).Down)
	full := next[event.HeadsRead](t, events)
	require.True(t, full.Full)
	require.Len(t, full.Heads, 2)
}

// TestDeletedHeadNamesItsPartition guards against a deleted head of a later creation that is
// taken for the deletion of the lot.
func TestDeletedHeadNamesItsPartition(t *testing.T) {
	rows := pamoja.NewStore()
	events := runFeed(t, rows)
	require.True(t, next[event.HeadsRead](t, events).Full)
	for candidate := range 3 {
		h := lot.HeadRow(lot.Head{ID: "l", CandidateIndex: candidate, WriteID: "w"})
		_, err := rows.Commit(context.Background(), store.Commit{Put: []store.Row{h}})
		require.NoError(t, err)
		require.False(t, next[event.HeadsRead](t, events).Heads[0].Deleted)
		_, err = rows.Commit(context.Background(), store.Commit{Delete: []store.Key{h.Key}})
		require.NoError(t, err)
		deleted := next[event.HeadsRead](t, events).Heads[0]
		require.True(t, deleted.Deleted)
		require.Equal(t, candidate, deleted.Head.CandidateIndex)
	}
}

// putHeadAndClearFault writes a head and drops the history while reads are still refused,
// then clears the fault. The feed cannot read between the write and the loss of history.
func putHeadAndClearFault(t *testing.T, rows *pamoja.Store, id string) {
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

// TestFullReadContinuesAfterRefusal guards against a host that never completes a full read
// because it starts again with the first partition whenever the rate limit of the store
// refuses a read. This happened when 300 hosts started at the same time. It also guards
// against a host that considers the store lost after a single refusal.
func TestFullReadContinuesAfterRefusal(t *testing.T) {
	rows := pamoja.NewStore()
	putHead(t, rows, "a")
	calls := 0
	limited := &rateLimitedStore{Store: rows, refuse: func() bool { calls++; return calls%2 != 0 }}
	events := make(chan event.Event, 100)
	f := &executor.Feed{
		Name: "coordination", Table: lot.TableCoordination, Parts: lot.CoordinationParts(), Store: limited, LongPollWait: 20 * time.Millisecond,
		Now: clock.NewBoottime().Now, Decode: executor.DecodeCoordination, OnReadFailure: func() { t.Error("a refusal by the rate limit was reported as a read failure") },
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

// rateLimitedStore is a store that refuses reads because of its rate limit while refuse
// returns true.
type rateLimitedStore struct {
	*pamoja.Store
	refuse func() bool
}

func (l *rateLimitedStore) Read(ctx context.Context, table, part, from string, limit int) (store.Range, error) {
	if l.refuse() {
		return store.Range{}, verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "busy")
	}
	return l.Store.Read(ctx, table, part, from, limit)
}

// TestAgeCountsFromFirstPartition guards against a host that takes rows for current that it
// read before it was cut off. It read one partition, was turned away for seconds and then
// read the others: it believed that a service still had a single software version.
func TestAgeCountsFromFirstPartition(t *testing.T) {
	const cut = 300 * time.Millisecond
	rows := pamoja.NewStore()
	putHead(t, rows, "a")
	var reads int
	var cutUntil time.Time
	s := &interruptedStore{rateLimitedStore{Store: rows, refuse: func() bool {
		if reads++; reads == 2 {
			cutUntil = time.Now().Add(cut)
		}
		return time.Now().Before(cutUntil)
	}}}
	full := make(chan struct{})
	f := &executor.Feed{
		Name: "coordination", Table: lot.TableCoordination, Parts: lot.CoordinationParts(), Store: s, LongPollWait: 20 * time.Millisecond,
		Now: clock.NewBoottime().Now, Decode: executor.DecodeCoordination, OnReadFailure: func() {},
		Deliver: func(_ context.Context, e event.Event) error {
			if _, ok := e.(event.HeadsRead); ok {
				close(full)
			}
			return nil
		},
	}
	require.Greater(t, f.Age(), time.Hour, "not read yet")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = f.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	<-full
	require.Eventually(t, func() bool { return f.Age() < time.Hour }, 5*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, f.Age(), cut)
}

// interruptedStore is a rateLimitedStore whose changes do not arrive.
type interruptedStore struct{ rateLimitedStore }

func (s *interruptedStore) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Range, error) {
	<-ctx.Done()
	return store.Range{}, ctx.Err()
}
