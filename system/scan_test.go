package system_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/bench"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// TestPollsOfManyServers guards against a poll rate that grows without limit with
// the number of servers, and against polls that are too rare to detect a leaving
// server within 5 s.
func TestPollsOfManyServers(t *testing.T) {
	for servers, wantPerSecond := range map[int]int{10: 20, 100: 200, 3000: 1500} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			l := bench.NewEntryLoop(listOf(servers), steadyReport)
			l.Run(4 * time.Second)
			l.LastStatePoll = make(map[string]time.Duration)
			l.MaxPollInterval, l.StatePolls = 0, 0
			const length = 8 * time.Second
			l.Run(length)
			require.Len(t, l.LastStatePoll, servers)
			require.InDelta(t, wantPerSecond, float64(l.StatePolls)/length.Seconds(), 0.1*float64(wantPerSecond))
			require.LessOrEqual(t, l.MaxPollInterval, 2200*time.Millisecond)
		})
	}
}

// TestReadsOfLongHostList guards against reading a long list as often as a short
// one, and against a read interval that exceeds the bound for leaving servers.
func TestReadsOfLongHostList(t *testing.T) {
	for servers, want := range map[int]int{10: 30, 2000: 15, 5100: 10} {
		tables, run, list := table.New(table.Self{ID: "entry-1"}), system.Membership(time.Second), listOf(servers)
		var out command.Outbox
		var in []event.Event
		reads := 0
		for now := time.Duration(0); now < 30*time.Second; now += 100 * time.Millisecond {
			run(now, tables, in, &out)
			in = in[:0]
			if len(out.Take()) > 0 {
				reads++
				in = append(in, list)
			}
		}
		require.InDelta(t, want, reads, 1, servers)
	}
}

// TestLeavingAmongManyServers guards against a server among many that remains in
// the routing plan after it has reported that it is leaving.
func TestLeavingAmongManyServers(t *testing.T) {
	leaving := ""
	l := bench.NewEntryLoop(listOf(5100), func(backend string, polls int) event.Event {
		r := reported(backend, "boot-1", polls%64, 200)
		r.State.Leaving = backend == leaving
		return r
	})
	l.Run(4 * time.Second)
	require.Equal(t, 5100, len(l.Plan.Models["match"].Backends))
	left := reported(backendName(7), "boot-1", 1, 0)
	left.State.Leaving = true
	leaving = left.Backend
	l.Events = append(l.Events, left)
	l.Run(100 * time.Millisecond)
	require.Equal(t, 5099, len(l.Plan.Models["match"].Backends))
}
