package tablestore_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestCommitResolvedGenerated guards against a double effect or a wrong outcome in
// generated sequences of lost, late and rejected copies and writes of other writers.
func TestCommitResolvedGenerated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := standin.NewMemoryTables(rapid.Uint64().Draw(t, "seed"))
		keys := []string{"a", "b", "c"}
		for _, key := range keys[:2] {
			m.Store.Apply(put("before", key, 0))
		}
		once := rapid.Bool().Draw(t, "write-once")
		resolve := tablestore.ResolveOptions{Random: noBackoff}
		if once {
			resolve.WriteOnce = tablestore.EveryCreatedRow
		}
		txn := drawTxn(t, m, keys)
		m.Injector.Set(standin.PlatformFaults{
			LoseAnswers:     rapid.IntRange(0, 2).Draw(t, "lost answers"),
			LoseRequests:    rapid.IntRange(0, 1).Draw(t, "lost requests"),
			LateWrites:      rapid.IntRange(0, 2).Draw(t, "late"),
			LoseAnswerShare: 0.3, RejectShare: 0.2,
		}, 0)
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 30).Draw(t, "other")
		tables := &hookedTables{Tables: m, before: func(call int) {
			if call <= len(steps) {
				interfere(m, keys, steps[call-1], once)
			}
		}}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := tablestore.CommitResolved(ctx, tables, txn, resolve)
		if err == nil && !result.Committed && commits(m, "w") != 0 {
			t.Fatalf("CommitResolved reported a conflict, but the transaction took effect")
		}
		m.ApplyLate()
		switch n := commits(m, "w"); {
		case n > 1:
			t.Fatalf("transaction took effect %d times, want at most 1", n)
		case err == nil && result.Committed != (n == 1):
			t.Fatalf("result says committed=%v, but the transaction took effect %d times", result.Committed, n)
		case err != nil && verdict.Of(err) == verdict.NotRun && n > 0:
			t.Fatalf("verdict is not run, but the transaction took effect: %v", err)
		}
	})
}

// drawTxn draws a transaction whose conditions mostly hold.
func drawTxn(t *rapid.T, m *standin.MemoryTables, keys []string) tablestore.Txn {
	txn := tablestore.Txn{Op: "w"}
	for _, key := range keys {
		row, _ := m.Store.Read(key)
		switch rapid.IntRange(0, 3).Draw(t, "use of "+key) {
		case 0:
			txn.If = append(txn.If, tablestore.Condition{Key: key, Version: row.Version})
			txn.Put = append(txn.Put, tablestore.Put{Key: key, Value: json.RawMessage("1")})
		case 1:
			if row.Version > 0 {
				txn.If = append(txn.If, tablestore.Condition{Key: key, Version: row.Version})
				txn.Delete = append(txn.Delete, key)
			}
		case 2:
			txn.If = append(txn.If, tablestore.Condition{Key: key, Version: row.Version})
		}
	}
	if len(txn.Put)+len(txn.Delete) == 0 {
		txn.If = append(txn.If, tablestore.Condition{Key: "d"})
		txn.Put = append(txn.Put, tablestore.Put{Key: "d", Value: json.RawMessage("1")})
	}
	return txn
}

// interfere applies late copies, writes a row or deletes one, depending on step. If
// once is set, it neither overwrites nor deletes rows that the transaction may have
// created.
func interfere(m *standin.MemoryTables, keys []string, step int, once bool) {
	switch {
	case step == 0:
		m.ApplyLate()
	case step < 4:
		key := keys[step-1]
		if row, found := m.Store.Read(key); !found || !once || key != "c" {
			m.Store.Apply(put("other", key, row.Version))
		}
	case step < 7:
		key := keys[step-4]
		if row, found := m.Store.Read(key); found && (!once || key != "c") {
			m.Store.Apply(remove("other", key, row.Version))
		}
	case step == 7 && !once:
		m.Store.Apply(tablestore.Txn{Op: "other", Delete: []string{"d"}})
	}
}

// TestRacingWritersHaveOneWinner guards against two writers that are both told that
// they have written the same version of a row.
func TestRacingWritersHaveOneWinner(t *testing.T) {
	const writers, rounds = 6, 30
	m := standin.NewMemoryTables(7)
	m.Store.Apply(put("before", "a", 0))
	m.Injector.Set(standin.PlatformFaults{LoseAnswerShare: 0.4, RejectShare: 0.1}, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var mu sync.Mutex
	winners := make(map[uint64]int)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for r := range rounds {
				row, _, err := tablestore.GetWithRetry(ctx, m, "a", tablestore.ResolveOptions{Random: noBackoff})
				if err != nil {
					continue
				}
				txn := put(string(rune('A'+w))+string(rune('0'+r)), "a", row.Version)
				result, err := tablestore.CommitResolved(ctx, m, txn, tablestore.ResolveOptions{Random: noBackoff})
				if err == nil && result.Committed {
					mu.Lock()
					winners[row.Version]++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	require.NotEmpty(t, winners)
	for version, n := range winners {
		require.Equal(t, 1, n, "writers that committed on version %d", version)
	}
}
