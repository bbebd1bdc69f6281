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

// countReads returns the numbers of reads of lease rows and weight rows by all
// controllers during d.
func countReads(w *world, d time.Duration) (leases, weights int) {
	w.outcome = func(_ *node, c command.Command) outcome {
		switch c.(type) {
		case command.ReadLeases:
			leases++
		case command.ReadWeights:
			weights++
		}
		return outcome{}
	}
	w.run(d)
	w.outcome = func(*node, command.Command) outcome { return outcome{} }
	return leases, weights
}

// TestReadsOfManyControllers guards against periodic reads that use up the table
// service's rate limit although most controllers hold no partition.
func TestReadsOfManyControllers(t *testing.T) {
	const controllers, seconds = 128, 20
	w := newWorldWithPartitions(controllers)
	w.run(30 * time.Second)
	leases, weights := countReads(w, seconds*time.Second)
	require.InDelta(t, 32*seconds, leases, 0.1*32*seconds)
	require.LessOrEqual(t, weights, 16*(seconds+1))
}

// TestTakeoverAmongManyControllers guards against a takeover that is delayed
// because each of many controllers reads the leases less often.
func TestTakeoverAmongManyControllers(t *testing.T) {
	w := newWorldWithPartitions(128)
	w.run(30 * time.Second)
	dead := w.holder()
	require.NotNil(t, dead)
	dead.dead = true
	w.run(testLease.TTL + testLease.Margin + 4*time.Second)
	require.NotNil(t, w.holder())
}

// TestWantedVersionsEndWithLease guards against a holder that orders a version
// that was wanted under an earlier lease before it has read the rows again.
func TestWantedVersionsEndWithLease(t *testing.T) {
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

// TestReadsOfManyHostRows guards against reading many rows as often as a few, and
// against a read interval above the renewal interval, with which hosts that do
// renew their rows would expire.
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

// renewedRows returns a read of host rows that are renewed every 15 s.
func renewedRows(hosts int, now time.Duration) event.HostRowsRead {
	read := event.HostRowsRead{}
	for i := range hosts {
		read.Rows = append(read.Rows, event.HostRow{ID: strconv.Itoa(i), Role: "entry", RowVersion: uint64(now/(15*time.Second)) + 1})
	}
	return read
}
