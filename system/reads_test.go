package system_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// countReads returns the reads of lease and weight rows of all controllers
// during d.
func countReads(w *world, d time.Duration) (leases, weights int) {
	w.fate = func(_ *node, c command.Command) fate {
		switch c.(type) {
		case command.ReadLeases:
			leases++
		case command.ReadWeights:
			weights++
		}
		return fate{}
	}
	w.run(d)
	w.fate = func(*node, command.Command) fate { return fate{} }
	return leases, weights
}

// TestReadsOfManyControllers guards against periodic reads that use up the
// table service's rate when most controllers hold nothing.
func TestReadsOfManyControllers(t *testing.T) {
	const controllers, seconds = 128, 20
	w := manyPartitions(controllers)
	w.run(30 * time.Second)
	leases, weights := countReads(w, seconds*time.Second)
	require.InDelta(t, 32*seconds, leases, 0.1*32*seconds)
	require.LessOrEqual(t, weights, 16*(seconds+1))
}

// TestTakeoverAmongManyControllers guards against a takeover that waits for the
// longer period of reads.
func TestTakeoverAmongManyControllers(t *testing.T) {
	w := manyPartitions(128)
	w.run(30 * time.Second)
	dead := w.holder()
	require.NotNil(t, dead)
	dead.dead = true
	w.run(testLease.TTL + testLease.Margin + 4*time.Second)
	require.NotNil(t, w.holder())
}

// TestWantedVersionsEndWithHolding guards against a holder that orders the
// version wanted in its earlier holding before it reads the rows again.
func TestWantedVersionsEndWithHolding(t *testing.T) {
	tables, run := table.New(table.Self{ID: "c1"}), system.WeightRollout(1, time.Second)
	p, _ := tables.Partitions.Upsert("0")
	p.Held = true
	var out command.Outbox
	run(0, tables, []event.Event{event.WeightsRead{Rows: []event.WeightsRow{{Model: "m", RowVersion: 1, Version: 2}}}}, &out)
	require.Equal(t, 1, tables.Weights.Len())
	p.Held = false
	run(time.Second, tables, nil, &out)
	require.Zero(t, tables.Weights.Len())
}

// TestReadsOfManyHostRows guards against reads of many rows at the period of
// few, and against a period above that of renewals, with which hosts that renew
// would expire.
func TestReadsOfManyHostRows(t *testing.T) {
	for hosts, want := range map[int]int{20: 60, 720: 4, 2000: 4} {
		tables, run := table.New(table.Self{ID: "e1"}), system.Hosts(15*time.Second)
		var out command.Outbox
		var in []event.Event
		reads := 0
		for now := time.Duration(0); now < 90*time.Second; now += time.Second {
			run(now, tables, in, &out)
			in = in[:0]
			for _, c := range out.Take() {
				switch c.(type) {
				case command.ReadHostRows:
					reads++
					in = append(in, renewedRows(hosts, now))
				case command.WriteHostRow:
					in = append(in, event.HostRowWritten{})
				}
			}
			if now == 30*time.Second {
				reads = 0
			}
		}
		require.InDelta(t, want, reads, 1, hosts)
		require.Equal(t, hosts, tables.Hosts.Len())
	}
}

// renewedRows are rows that are renewed every 15 s.
func renewedRows(hosts int, now time.Duration) event.HostRowsRead {
	read := event.HostRowsRead{}
	for i := range hosts {
		read.Rows = append(read.Rows, event.HostRow{ID: strconv.Itoa(i), Role: "entry", RowVersion: uint64(now/(15*time.Second)) + 1})
	}
	return read
}
