package lease_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/lease"
	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

const (
	ttl        = 6 * time.Second
	margin     = 2 * time.Second
	orderLimit = 2 * time.Second
)

// Process b takes over the lease of process a after it has seen the same row version for
// the TTL of the lease plus the margin.
func Example() {
	var a, b lease.State
	a.Observe(0, 0, lease.Record{})
	record := a.Acquire("a", "127.0.0.1:7001", 6*time.Second)
	a.Written(0, 10*time.Millisecond, 1, record, 2*time.Second)

	b.Observe(time.Second, 1, record)
	fmt.Println(a.Valid(5*time.Second), b.CanTakeOver(5*time.Second, 2*time.Second))
	fmt.Println(a.Valid(6*time.Second), b.CanTakeOver(9*time.Second, 2*time.Second))
	fmt.Println(b.Acquire("b", "127.0.0.1:7002", 6*time.Second).Fence)
	// Output:
	// true false
	// false true
	// 2
}

// newHeldState returns the state of a holder whose write was sent at 0 and committed at
// 1 s.
func newHeldState(t *testing.T) lease.State {
	t.Helper()
	var s lease.State
	s.Observe(0, 0, lease.Record{})
	require.True(t, s.CanTakeOver(0, margin))
	s.Written(0, time.Second, 1, s.Acquire("a", "", ttl), orderLimit)
	return s
}

// TestValidityStartsBeforeSending guards against a holder that measures its lease from
// the answer to its write. The answer may arrive long after an observer has seen the
// row.
func TestValidityStartsBeforeSending(t *testing.T) {
	s := newHeldState(t)
	require.True(t, s.Valid(ttl-1))
	require.False(t, s.Valid(ttl))
	s.Written(5*time.Second, 20*time.Second, 2, s.Renew(), orderLimit)
	require.False(t, s.Valid(20*time.Second), "the holder was paused between sending the write and the answer")
}

// TestNewHolderWaitsForPreviousOrders guards against a new holder that sends orders
// while an order of the previous holder may still take effect after them. A renewal
// must not cause another wait.
func TestNewHolderWaitsForPreviousOrders(t *testing.T) {
	s := newHeldState(t)
	require.False(t, s.MayOrder(time.Second+orderLimit-1))
	require.True(t, s.MayOrder(time.Second+orderLimit))
	s.Written(3*time.Second, 3*time.Second, 2, s.Renew(), orderLimit)
	require.True(t, s.MayOrder(3*time.Second))
}

// TestLostLease guards against a holder that continues after it has seen the row of
// another holder, and against a delayed read that returns its own older row.
func TestLostLease(t *testing.T) {
	s := newHeldState(t)
	own := s.Record
	require.False(t, s.Observe(time.Second, 1, own))
	require.True(t, s.Observe(2*time.Second, 5, lease.Record{Holder: "b", Fence: 2, TTL: ttl}))
	require.False(t, s.Valid(2*time.Second))
	s.Observe(3*time.Second, 1, own)
	require.Equal(t, "b", s.Record.Holder)
	s.Written(time.Second, 3*time.Second, 2, own, orderLimit)
	require.False(t, s.Valid(3*time.Second), "the answer belongs to a renewal that is older than the known row")
	require.False(t, s.CanTakeOver(2*time.Second+ttl+margin-1, margin))
	require.True(t, s.CanTakeOver(2*time.Second+ttl+margin, margin))
}

// TestReleaseKeepsFence guards against a fence that restarts from 1 after a release.
func TestReleaseKeepsFence(t *testing.T) {
	s := newHeldState(t)
	released := s.Release()
	s.Written(time.Second, time.Second, 2, released, orderLimit)
	require.False(t, s.Valid(time.Second))
	var next lease.State
	next.Observe(time.Second, 2, released)
	require.True(t, next.CanTakeOver(time.Second, margin))
	require.Equal(t, uint64(2), next.Acquire("b", "", ttl).Fence)
}

func write(m *standin.MemoryTables, version uint64, holder, op string) (uint64, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return lease.Write(ctx, m, "3", version, lease.Record{Holder: holder, Fence: 1, TTL: ttl}, op,
		tablestore.ResolveOptions{Random: func() float64 { return 0 }})
}

// TestWrite guards against two holders of a lease after the answer to a write was lost
// or the write took effect late.
func TestWrite(t *testing.T) {
	m := standin.NewMemoryTables(1)
	m.Injector.Set(standin.PlatformFaults{LoseAnswers: 1}, 0)
	version, committed, err := write(m, 0, "a", "1")
	require.NoError(t, err)
	require.True(t, committed)
	require.Equal(t, uint64(1), version)
	_, committed, err = write(m, 0, "b", "2")
	require.NoError(t, err)
	require.False(t, committed)
	m.Injector.Set(standin.PlatformFaults{LateWrites: 1}, 0)
	version, committed, err = write(m, 1, "a", "3")
	require.NoError(t, err)
	require.True(t, committed)
	require.Equal(t, uint64(2), version)
	require.Zero(t, m.ApplyLate())
}

// takeoverBeforeRead lets another process take over the lease after the renewal took
// effect and before the holder reads the row back.
type takeoverBeforeRead struct{ *standin.MemoryTables }

func (o takeoverBeforeRead) Get(ctx context.Context, key string) (tablestore.Row, bool, error) {
	if row, _ := o.Store.Read(key); row.Op == "late" {
		_, _, _ = write(o.MemoryTables, row.Version, "b", "other")
	}
	return o.MemoryTables.Get(ctx, key)
}

// TestOverwrittenRenewalIsLost guards against a holder that continues because its
// renewal took effect, although another process has since taken over the lease.
func TestOverwrittenRenewalIsLost(t *testing.T) {
	m := standin.NewMemoryTables(1)
	version, _, err := write(m, 0, "a", "1")
	require.NoError(t, err)
	m.Injector.Set(standin.PlatformFaults{LoseAnswers: 1}, 0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, committed, err := lease.Write(ctx, takeoverBeforeRead{m}, "3", version, lease.Record{Holder: "a", Fence: 1, TTL: ttl},
		"late", tablestore.ResolveOptions{Random: func() float64 { return 0 }})
	require.NoError(t, err)
	require.False(t, committed)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"holder":"a","fence":3,"length_ms":6000,"newer_field":1}`))
	f.Add([]byte(`{"holder":"a","fence":0,"length_ms":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := lease.Decode(value)
		if err != nil {
			return
		}
		again, err := lease.Encode(r)
		require.NoError(t, err)
		back, err := lease.Decode(again)
		require.NoError(t, err)
		require.Equal(t, r, back)
	})
}

// BenchmarkRenewal reports the number of operations of the table service per renewal.
func BenchmarkRenewal(b *testing.B) {
	m := standin.NewMemoryTables(1)
	version, _, _ := write(m, 0, "a", "0")
	before := m.Store.Ledger()
	for i := 0; b.Loop(); i++ {
		version, _, _ = write(m, version, "a", fmt.Sprint(i))
	}
	after := m.Store.Ledger()
	b.ReportMetric(float64(after.RowsWritten-before.RowsWritten)/float64(b.N), "rows-written/op")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/op")
}
