package tablestore_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func noBackoff() float64 { return 0 }

// hookedTables calls a function before each call of Commit and Get, with the number
// of the call from 1.
type hookedTables struct {
	tablestore.Tables
	before func(call int)
	calls  int
}

func (h *hookedTables) Commit(ctx context.Context, txn tablestore.Txn) (tablestore.TxnResult, error) {
	h.calls++
	h.before(h.calls)
	return h.Tables.Commit(ctx, txn)
}

func (h *hookedTables) Get(ctx context.Context, key string) (tablestore.Row, bool, error) {
	h.calls++
	h.before(h.calls)
	return h.Tables.Get(ctx, key)
}

func put(op, key string, version uint64) tablestore.Txn {
	return tablestore.Txn{
		Op: op, If: []tablestore.Condition{{Key: key, Version: version}},
		Put: []tablestore.Put{{Key: key, Value: json.RawMessage(`"` + op + `"`)}},
	}
}

func remove(op, key string, version uint64) tablestore.Txn {
	return tablestore.Txn{Op: op, If: []tablestore.Condition{{Key: key, Version: version}}, Delete: []string{key}}
}

// commits returns how many times an operation took effect.
func commits(m *standin.MemoryTables, op string) int {
	n := 0
	for _, c := range m.Store.Ledger().Commits {
		if c.Op == op {
			n++
		}
	}
	return n
}

// TestCommitResolved guards against a wrong outcome or a second write when a request
// or the answer to a transaction is lost.
func TestCommitResolved(t *testing.T) {
	apply := func(m *standin.MemoryTables, txns ...tablestore.Txn) func() {
		return func() {
			for _, txn := range txns {
				m.Store.Apply(txn)
			}
		}
	}
	type want struct {
		committed bool
		err       bool
		reason    verdict.Reason
		effects   int
	}
	cases := map[string]struct {
		txn     tablestore.Txn
		faults  standin.PlatformFaults
		resolve tablestore.ResolveOptions
		// at maps the number of a call to a function that runs before it. Call 1
		// sends the first copy, call 2 is the first read back.
		at   map[int]func(m *standin.MemoryTables)
		want want
	}{
		"answer lost after effect": {
			txn: put("w", "a", 1), faults: standin.PlatformFaults{LoseAnswers: 1}, want: want{committed: true, effects: 1},
		},
		"request lost": {
			txn: put("w", "a", 1), faults: standin.PlatformFaults{LoseRequests: 2}, want: want{committed: true, effects: 1},
		},
		"first copy commits after the read back": {
			txn: put("w", "a", 1), faults: standin.PlatformFaults{LateWrites: 1},
			at:   map[int]func(*standin.MemoryTables){3: func(m *standin.MemoryTables) { m.ApplyLate() }},
			want: want{committed: true, effects: 1},
		},
		"other writer came first": {
			txn: put("w", "a", 1), faults: standin.PlatformFaults{LoseRequests: 1},
			at:   map[int]func(*standin.MemoryTables){2: func(m *standin.MemoryTables) { apply(m, put("x", "a", 1))() }},
			want: want{err: true, reason: verdict.ReasonConflict, effects: 0},
		},
		"overwritten after effect": {
			txn: put("w", "a", 1), faults: standin.PlatformFaults{LoseAnswers: 1},
			at:   map[int]func(*standin.MemoryTables){2: func(m *standin.MemoryTables) { apply(m, put("x", "a", 2))() }},
			want: want{err: true, reason: verdict.ReasonConflict, effects: 1},
		},
		"overwritten after effect, write-once row in the same transaction": {
			txn: tablestore.Txn{
				Op: "w", If: []tablestore.Condition{{Key: "a", Version: 1}, {Key: "h/2"}},
				Put: []tablestore.Put{{Key: "a", Value: json.RawMessage("2")}, {Key: "h/2", Value: json.RawMessage("2")}},
			},
			resolve: tablestore.ResolveOptions{WriteOnce: tablestore.EveryCreatedRow}, faults: standin.PlatformFaults{LoseAnswers: 1},
			at:   map[int]func(*standin.MemoryTables){2: func(m *standin.MemoryTables) { apply(m, put("x", "a", 2))() }},
			want: want{committed: true, effects: 1},
		},
		"created and deleted by another writer": {
			txn: put("w", "new", 0), faults: standin.PlatformFaults{LoseAnswers: 1},
			at:   map[int]func(*standin.MemoryTables){2: func(m *standin.MemoryTables) { apply(m, remove("x", "new", 1))() }},
			want: want{err: true, reason: verdict.ReasonConflict, effects: 1},
		},
		"created and overwritten by another writer": {
			txn: put("w", "new", 0), faults: standin.PlatformFaults{LoseAnswers: 1},
			at:   map[int]func(*standin.MemoryTables){2: func(m *standin.MemoryTables) { apply(m, put("x", "new", 1))() }},
			want: want{err: true, reason: verdict.ReasonConflict, effects: 1},
		},
		"creation lost, write-once": {
			txn: put("w", "new", 0), faults: standin.PlatformFaults{LoseRequests: 1},
			resolve: tablestore.ResolveOptions{WriteOnce: tablestore.EveryCreatedRow}, want: want{committed: true, effects: 1},
		},
		"creation by another writer, write-once": {
			txn: put("w", "new", 0), faults: standin.PlatformFaults{LoseRequests: 1},
			resolve: tablestore.ResolveOptions{WriteOnce: tablestore.EveryCreatedRow},
			at:      map[int]func(*standin.MemoryTables){2: func(m *standin.MemoryTables) { apply(m, put("x", "new", 0))() }},
			want:    want{},
		},
		"deletion lost": {
			txn: remove("w", "a", 1), faults: standin.PlatformFaults{LoseRequests: 1}, want: want{committed: true, effects: 1},
		},
		"deletion took effect": {
			txn: remove("w", "a", 1), faults: standin.PlatformFaults{LoseAnswers: 1},
			want: want{err: true, reason: verdict.ReasonConflict, effects: 1},
		},
		"deletion took effect, absent is committed": {
			txn: remove("w", "a", 1), faults: standin.PlatformFaults{LoseAnswers: 1},
			resolve: tablestore.ResolveOptions{AbsentIsCommitted: true}, want: want{committed: true, effects: 1},
		},
		"unconditional write is not repeated": {
			txn:    tablestore.Txn{Op: "w", Put: []tablestore.Put{{Key: "a", Value: json.RawMessage("2")}}},
			faults: standin.PlatformFaults{LateWrites: 1}, want: want{err: true, reason: verdict.ReasonConflict, effects: 1},
		},
		"conflict": {txn: put("w", "a", 7), want: want{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := standin.NewMemoryTables(1)
			m.Store.Apply(put("before", "a", 0))
			m.Injector.Set(c.faults, 0)
			tables := &hookedTables{Tables: m, before: func(call int) {
				if f := c.at[call]; f != nil {
					f(m)
				}
			}}
			c.resolve.Random = noBackoff
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			result, err := tablestore.CommitResolved(ctx, tables, c.txn, c.resolve)
			m.ApplyLate()
			require.Equal(t, c.want.err, err != nil, "%v", err)
			if err != nil {
				require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
				require.Equal(t, c.want.reason, verdict.ReasonOf(err))
			}
			require.Equal(t, c.want.committed, result.Committed)
			require.Equal(t, c.want.effects, commits(m, "w"))
		})
	}
}

// TestCommitResolvedEndsWithContext guards against a wrong verdict when the service
// stays down until the context ends: the verdict is NotRun only if no copy can have
// taken effect.
func TestCommitResolvedEndsWithContext(t *testing.T) {
	for _, c := range []struct {
		firstLost bool
		want      verdict.Verdict
	}{{false, verdict.NotRun}, {true, verdict.MayHaveRun}} {
		m := standin.NewMemoryTables(1)
		m.Store.Apply(put("before", "a", 0))
		if c.firstLost {
			m.Injector.Set(standin.PlatformFaults{LoseAnswers: 1}, 0)
		} else {
			m.Injector.Set(standin.PlatformFaults{Down: true}, 0)
		}
		tables := &hookedTables{Tables: m, before: func(call int) {
			if call == 2 {
				m.Injector.Set(standin.PlatformFaults{Down: true}, 0)
			}
		}}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		retries := 0
		_, err := tablestore.CommitResolved(ctx, tables, put("w", "a", 1), tablestore.ResolveOptions{
			Random: func() float64 { return 0.5 }, Count: func(verdict.Reason) { retries++ },
		})
		cancel()
		require.Error(t, err)
		require.Equal(t, c.want, verdict.Of(err))
		require.Equal(t, verdict.ReasonStoreUnavailable, verdict.ReasonOf(err))
		require.Positive(t, retries)
	}
}
