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
	length = 6 * time.Second
	margin = 2 * time.Second
	orders = 2 * time.Second
)

// Two processes: b takes over after it has seen the same row version for the
// length of the lease plus the margin.
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

func held(t *testing.T) lease.State {
	t.Helper()
	var s lease.State
	s.Observe(0, 0, lease.Record{})
	require.True(t, s.CanTakeOver(0, margin))
	s.Written(0, time.Second, 1, s.Acquire("a", "", length), orders)
	return s
}

// TestValidityCountsFromBeforeSending guards against a holder that counts its
// lease from the answer, which may come long after an observer saw the row.
func TestValidityCountsFromBeforeSending(t *testing.T) {
	s := held(t)
	require.True(t, s.Valid(length-1))
	require.False(t, s.Valid(length))
	s.Written(5*time.Second, 20*time.Second, 2, s.Renew(), orders)
	require.False(t, s.Valid(20*time.Second), "holder was paused between sending and the answer")
}

// TestOrdersWaitForOlderOrders guards against orders of a new holder that an
// order of the holder before can overtake; a renewal must not delay them again.
func TestOrdersWaitForOlderOrders(t *testing.T) {
	s := held(t)
	require.False(t, s.MayOrder(time.Second+orders-1))
	require.True(t, s.MayOrder(time.Second+orders))
	s.Written(3*time.Second, 3*time.Second, 2, s.Renew(), orders)
	require.True(t, s.MayOrder(3*time.Second))
}

// TestLostLease guards against a holder that goes on after it has seen another
// holder's row, and against a delayed read of its own older row.
func TestLostLease(t *testing.T) {
	s := held(t)
	own := s.Record
	require.False(t, s.Observe(time.Second, 1, own))
	require.True(t, s.Observe(2*time.Second, 5, lease.Record{Holder: "b", Fence: 2, TTL: length}))
	require.False(t, s.Valid(2*time.Second))
	s.Observe(3*time.Second, 1, own)
	require.Equal(t, "b", s.Record.Holder)
	s.Written(time.Second, 3*time.Second, 2, own, orders)
	require.False(t, s.Valid(3*time.Second), "answer to a renewal that was overtaken")
	require.False(t, s.CanTakeOver(2*time.Second+length+margin-1, margin))
	require.True(t, s.CanTakeOver(2*time.Second+length+margin, margin))
}

// TestReleaseKeepsFence guards against a fence that starts again after a release.
func TestReleaseKeepsFence(t *testing.T) {
	s := held(t)
	released := s.Release()
	s.Written(time.Second, time.Second, 2, released, orders)
	require.False(t, s.Valid(time.Second))
	var next lease.State
	next.Observe(time.Second, 2, released)
	require.True(t, next.CanTakeOver(time.Second, margin))
	require.Equal(t, uint64(2), next.Acquire("b", "", length).Fence)
}

func write(m *standin.MemoryTables, version uint64, holder, op string) (uint64, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return lease.Write(ctx, m, "3", version, lease.Record{Holder: holder, Fence: 1, TTL: length}, op,
		tablestore.ResolveOptions{Random: func() float64 { return 0 }})
}

// TestWrite guards against two holders after a lost answer.
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

// overtaken lets another process take the lease before the first read back.
type overtaken struct{ *standin.MemoryTables }

func (o overtaken) Get(ctx context.Context, key string) (tablestore.Row, bool, error) {
	if row, _ := o.Store.Read(key); row.Op == "late" {
		_, _, _ = write(o.MemoryTables, row.Version, "b", "other")
	}
	return o.MemoryTables.Get(ctx, key)
}

// TestOverwrittenRenewalIsLost guards against a holder that goes on because its
// renewal took effect, although another process has taken the lease since.
func TestOverwrittenRenewalIsLost(t *testing.T) {
	m := standin.NewMemoryTables(1)
	version, _, err := write(m, 0, "a", "1")
	require.NoError(t, err)
	m.Injector.Set(standin.PlatformFaults{LoseAnswers: 1}, 0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, committed, err := lease.Write(ctx, overtaken{m}, "3", version, lease.Record{Holder: "a", Fence: 1, TTL: length},
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

// BenchmarkRenewal reports the table service's operations per renewal.
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
