package configstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/configstore"
	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func newStore(tables tablestore.Tables) *configstore.Store {
	return &configstore.Store{
		Tables: tables, NewOpID: tablestore.OpIDs(rand.Uint64),
		Resolve: tablestore.ResolveOptions{Random: func() float64 { return 0.05 }},
	}
}

func contextWithTimeout(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

// interleavedTables calls beforeRead once, before the first read that follows a commit.
type interleavedTables struct {
	*standin.MemoryTables
	committed  bool
	beforeRead func()
}

func (o *interleavedTables) Commit(ctx context.Context, txn tablestore.Txn) (tablestore.TxnResult, error) {
	o.committed = true
	return o.MemoryTables.Commit(ctx, txn)
}

func (o *interleavedTables) Get(ctx context.Context, key string) (tablestore.Row, bool, error) {
	if f := o.beforeRead; o.committed && f != nil {
		o.beforeRead = nil
		f()
	}
	return o.MemoryTables.Get(ctx, key)
}

// TestAcceptedChangeIsKnownAfterLaterChange guards against reporting an accepted change
// as rejected because a later change has replaced the current row.
func TestAcceptedChangeIsKnownAfterLaterChange(t *testing.T) {
	m := standin.NewMemoryTables(1)
	m.Injector.Set(standin.PlatformFaults{LoseAnswers: 1}, 0)
	tables := &interleavedTables{MemoryTables: m, beforeRead: func() {
		r, err := newStore(m).Commit(contextWithTimeout(t, time.Second), 1, "b", json.RawMessage(`{"n":2}`))
		require.NoError(t, err)
		require.True(t, r.Committed)
	}}
	r, err := newStore(tables).Commit(contextWithTimeout(t, time.Second), 0, "a", json.RawMessage(`{"n":1}`))
	require.NoError(t, err)
	require.True(t, r.Committed)
	require.Equal(t, uint64(1), r.Version)
	current, found, err := newStore(m).Read(contextWithTimeout(t, time.Second))
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, "b", current.Author)
}

// TestLostRequestLosesToOtherChange guards against a change that is accepted although
// another change of the same version was accepted first. Its request was lost, and it is
// sent again after the other change.
func TestLostRequestLosesToOtherChange(t *testing.T) {
	m := standin.NewMemoryTables(1)
	m.Injector.Set(standin.PlatformFaults{LateWrites: 1}, 0)
	tables := &interleavedTables{MemoryTables: m, beforeRead: func() {
		_, err := newStore(m).Commit(contextWithTimeout(t, time.Second), 0, "b", json.RawMessage(`{"n":2}`))
		require.NoError(t, err)
	}}
	r, err := newStore(tables).Commit(contextWithTimeout(t, time.Second), 0, "a", json.RawMessage(`{"n":1}`))
	require.NoError(t, err)
	require.False(t, r.Committed)
	require.Equal(t, "b", r.Winner.Author)
	require.JSONEq(t, `{"n":2}`, string(r.Winner.Body))
	require.Zero(t, m.ApplyLate())
}

// TestConcurrentOperators guards against two accepted changes of one version, and against
// a rejected change whose result does not name the accepted one.
func TestConcurrentOperators(t *testing.T) {
	m := standin.NewMemoryTables(2)
	m.Injector.Set(standin.PlatformFaults{LoseAnswerShare: 0.3, RejectShare: 0.1}, 0)
	for version := range uint64(15) {
		results := make([]configstore.Result, 5)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() {
				var err error
				results[i], err = newStore(m).Commit(contextWithTimeout(t, 20*time.Second), version, fmt.Sprint(i), json.RawMessage(`{}`))
				if err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		winner := ""
		for i, r := range results {
			if r.Committed {
				require.Empty(t, winner)
				winner = fmt.Sprint(i)
			}
		}
		require.NotEmpty(t, winner)
		for _, r := range results {
			if !r.Committed {
				require.Equal(t, winner, r.Winner.Author)
				require.Equal(t, version+1, r.Winner.Version)
			}
		}
	}
	m.Injector.Set(standin.PlatformFaults{}, 0)
	history, malformed, err := newStore(m).History(context.Background())
	require.NoError(t, err)
	require.Zero(t, malformed)
	require.Len(t, history, 15)
	require.Equal(t, uint64(15), history[14].Version)
}

// TestRowOfNewerProgram guards against failing to read a row with unknown fields, which a
// newer program version has written. A commit while the store is down has the verdict
// NotRun.
func TestRowOfNewerProgram(t *testing.T) {
	m := standin.NewMemoryTables(1)
	m.Store.Apply(tablestore.Txn{Put: []tablestore.Put{{
		Key: configstore.CurrentKey, Value: json.RawMessage(`{"version":4,"body":{"new":[1]},"reviewer":"x"}`),
	}}})
	r, found, err := newStore(m).Read(context.Background())
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, uint64(4), r.Version)
	require.JSONEq(t, `{"new":[1]}`, string(r.Body))

	m.Injector.Set(standin.PlatformFaults{Down: true}, 0)
	_, err = newStore(m).Commit(contextWithTimeout(t, 30*time.Millisecond), 4, "a", json.RawMessage(`{}`))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":4,"author":"a","body":{"new":[1]},"reviewer":"x"}`))
	f.Add([]byte(`{"version":-1}`))
	f.Add([]byte(`{"version":1,"body":`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if r, err := configstore.Decode(value); err == nil {
			require.NotZero(t, r.Version)
			require.True(t, json.Valid(r.Body))
		}
	})
}

// BenchmarkChange reports the number of operations of the table service per change.
func BenchmarkChange(b *testing.B) {
	m := standin.NewMemoryTables(1)
	s := newStore(m)
	for version := uint64(0); b.Loop(); version++ {
		_, _ = s.Commit(context.Background(), version, "a", json.RawMessage(`{}`))
	}
	l := m.Store.Ledger()
	b.ReportMetric(float64(l.RowsWritten)/float64(b.N), "rows-written/op")
	b.ReportMetric(float64(l.Reads)/float64(b.N), "reads/op")
}
