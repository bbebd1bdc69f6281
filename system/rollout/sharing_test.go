package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/registry"
)

// newSharingWorld returns a world with servers s00, s01 and so on, plain ones, and other hosts.
func newSharingWorld(t *testing.T, servers int, hosts ...string) *world {
	w := newWorld(t)
	var in []event.Event
	for i := range servers {
		in = append(in, w.server(fmt.Sprintf("s%02d", i), func(s *registry.Server) { s.Models = nil }))
	}
	w.step(in...)
	var rows []event.PresenceRow
	for _, h := range hosts {
		rows = append(rows, event.PresenceRow{Host: h, Address: h + ":1", Version: w.version()})
	}
	w.step(event.PresenceRead{Rows: rows})
	return w
}

// ask returns the answer to an exchange that another host begins.
func (w *world) ask(s capacity.Share) []capacity.Note {
	return commandsOf[command.AnswerNotes](w.step(event.NotesReceived{RequestID: "q", Share: s}))[0].Notes
}

// TestStartingHostGetsEstimates guards against a host that starts without estimates, and against
// estimates that circulate: only a host that has just started gets what another one heard of.
func TestStartingHostGetsEstimates(t *testing.T) {
	old := newSharingWorld(t, 2, "b")
	old.step(answered("s00", 30*time.Millisecond, false))
	old.ask(capacity.Share{Notes: []capacity.Note{{Server: "s01", StartedUnixMS: 1, Estimate: capacity.Estimate{Unit: 43 * time.Millisecond, Growth: 0.5, Capacity: 3}}}})

	w := newSharingWorld(t, 2)
	exchange := commandsOf[command.ShareNotes](w.step(event.PresenceRead{Rows: []event.PresenceRow{{Host: "old", Address: "old:1", Version: w.version()}}}))
	require.Equal(t, []command.ShareNotes{{Address: "old:1", Share: capacity.Share{Everything: true}}}, exchange)
	published := commandsOf[command.PublishEstimate](w.step(event.NotesExchanged{Notes: old.ask(exchange[0].Share)}))
	require.Len(t, published, 2)
	for id, unit := range map[string]time.Duration{"s00": 30 * time.Millisecond, "s01": 43 * time.Millisecond} {
		require.Equal(t, unit, w.tables.Rollout.Servers.Find(id).Answers.Estimate.Unit)
	}
	require.Empty(t, w.ask(capacity.Share{}), "it measured none of them")
	require.Len(t, old.ask(capacity.Share{}), 1, "it measured s00")
	old.advance(ownPeriod)
	require.Empty(t, old.ask(capacity.Share{}), "the measurement is old")
}

// TestExchangesAreBounded guards against traffic that grows with the number of servers or hosts,
// and against servers or hosts whose turn never comes.
func TestExchangesAreBounded(t *testing.T) {
	w := newSharingWorld(t, 40, "b", "c", "d")
	w.step(event.NotesExchanged{}) // the first exchange
	told, called := make(map[string]bool), make(map[string]int)
	for range 9 {
		var in []event.Event
		for i := range 40 {
			in = append(in, answered(fmt.Sprintf("s%02d", i), 30*time.Millisecond, false))
		}
		for _, c := range commandsOf[command.ShareNotes](append(w.step(in...), w.advance(shareInterval)...)) {
			require.LessOrEqual(t, len(c.Share.Notes), maxNotes)
			for _, n := range c.Share.Notes {
				told[n.Server] = true
			}
			called[c.Address]++
			w.step(event.NotesExchanged{Failure: &event.Failure{}})
		}
	}
	require.Len(t, told, 40)
	require.Len(t, called, 3)
	for _, n := range called {
		require.InDelta(t, 3, n, 1)
	}
	require.LessOrEqual(t, len(w.ask(capacity.Share{Everything: true})), maxFirstNotes)
}

// TestNotesOfOthersAreChecked guards against notes on an earlier start of a server, and against
// those that replace what this host measured just now.
func TestNotesOfOthersAreChecked(t *testing.T) {
	w := newSharingWorld(t, 1, "b")
	note := capacity.Note{Server: "s00", StartedUnixMS: 2, Estimate: capacity.Estimate{Unit: time.Second, Capacity: 2}}
	s := w.tables.Rollout.Servers.Find("s00")
	w.ask(capacity.Share{Notes: []capacity.Note{note, {Server: "gone", Estimate: note.Estimate}}})
	require.False(t, s.Answers.Known())
	w.step(answered("s00", 30*time.Millisecond, false))
	note.StartedUnixMS = 1
	w.ask(capacity.Share{Notes: []capacity.Note{note, note, note}})
	require.Equal(t, 30*time.Millisecond, s.Answers.Estimate.Unit)
	w.advance(ownSuffices)
	w.ask(capacity.Share{Notes: []capacity.Note{note, note, note}})
	require.Equal(t, time.Second, s.Answers.Estimate.Unit)
}
