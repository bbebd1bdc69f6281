package system_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// publishedStatus runs a status system once and returns the snapshot that it
// publishes, or nil if it publishes none.
func publishedStatus(s system.System, now time.Duration, t *table.Tables) *status.Snapshot {
	var out command.Outbox
	s(now, t, nil, &out)
	for _, c := range out.Take() {
		return c.(command.PublishStatus).Snapshot
	}
	return nil
}

// TestStatusShowsChangesAtOnce guards against an outdated version in the status
// right after an operator's change, and against a wrong state of a backend.
func TestStatusShowsChangesAtOnce(t *testing.T) {
	tables, s := table.New(table.Self{Host: "e1"}), system.Status(time.Second)
	for name, b := range map[string]table.Backend{"a": {}, "b": {ListLeaving: true, EjectedUntil: 1}, "c": {EjectedUntil: 1}} {
		row, _ := tables.Backends.Upsert(name)
		*row = b
		row.Name = name
	}
	first := publishedStatus(s, 0, tables)
	states := map[string]string{}
	for _, b := range first.Backends {
		states[b.Name] = b.State
	}
	require.Equal(t, map[string]string{"a": status.BackendLive, "b": status.BackendLeaving, "c": status.BackendEjected}, states)
	require.Nil(t, publishedStatus(s, 500*time.Millisecond, tables))
	tables.Config.Version = 2
	require.Equal(t, uint64(2), publishedStatus(s, 600*time.Millisecond, tables).Config.Version)
	require.Zero(t, first.Config.Version)
	require.Nil(t, publishedStatus(s, 1500*time.Millisecond, tables))
	require.NotNil(t, publishedStatus(s, 1600*time.Millisecond, tables))
}

// BenchmarkStatusAtScale measures one snapshot at the scale expected in two years:
// 5,100 engines and two processes on each of 360 hosts.
func BenchmarkStatusAtScale(b *testing.B) {
	tables, s := table.New(table.Self{Host: "e1"}), system.Status(time.Second)
	for i := range 5100 {
		tables.Backends.Upsert(fmt.Sprint("engine-", i))
	}
	for i := range 720 {
		tables.Hosts.Upsert(fmt.Sprint("host-", i))
	}
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Second
		publishedStatus(s, now, tables)
	}
}
