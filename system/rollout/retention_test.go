package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestOldLotsAreDeleted guards against lots that are never deleted from the store, and
// against results that are deleted while they are still promised.
func TestOldLotsAreDeleted(t *testing.T) {
	const keep = 2 * time.Minute
	w := newWorld(t)
	r := &w.tables.Rollout
	r.ResultRetention, r.OrderLease.Held = keep, true
	ended := w.head("ended", otherProcess, 1, 2)
	ended.Head.Ended = true
	complete, open := w.head("complete", otherProcess, 2, 2), w.head("open", r.Self, 1, 2)
	w.step(headsRead(ended, complete, open))

	w.now += keep
	require.Empty(t, commandsOf[command.DeleteLot](w.step()), "retentionMargin has not passed yet")
	w.now += retentionMargin
	deleted := commandsOf[command.DeleteLot](w.step())
	require.Len(t, deleted, 1)
	require.Equal(t, "ended", deleted[0].Head.ID)
	require.Equal(t, ended.Version, deleted[0].Version)
	require.Empty(t, commandsOf[command.DeleteLot](w.advance(time.Second)), "only one deletion is in flight")
	w.step(event.LotDeleted{ID: "ended", Version: ended.Version, Failure: &event.Failure{Verdict: verdict.NotRun}})
	require.Len(t, commandsOf[command.DeleteLot](w.advance(deleteRetryDelay+50*time.Millisecond)), 1, "a failed deletion is tried again")
	w.step(event.LotDeleted{ID: "ended"}, event.HeadsRead{Heads: []event.HeadRow{{ID: "ended", Version: w.version(), Deleted: true}}})
	require.Empty(t, commandsOf[command.DeleteLot](w.advance(time.Second)), "a lot that was never ended is kept for abandonedLotRetention")
	w.now += abandonedLotRetention
	commands := commandsOf[command.DeleteLot](w.step())
	require.Len(t, commands, 1)
	require.Equal(t, "complete", commands[0].Head.ID)
	w.step(event.LotDeleted{ID: "complete"}, event.HeadsRead{Heads: []event.HeadRow{{ID: "complete", Version: w.version(), Deleted: true}}})
	require.Empty(t, commandsOf[command.DeleteLot](w.advance(time.Second)), "an open lot is never deleted")
}

// TestFailedDeletionDoesNotDelayOthers guards against a store that fills up because the
// deletion of one lot, whose partition is unavailable, is tried again and again before that
// of all others.
func TestFailedDeletionDoesNotDelayOthers(t *testing.T) {
	w := newWorld(t)
	r := &w.tables.Rollout
	r.ResultRetention, r.OrderLease.Held = time.Minute, true
	versions := make(map[string]uint64)
	for _, id := range []string{"a", "b", "c"} {
		row := w.head(id, otherProcess, 1, 2)
		row.Head.Ended = true
		versions[id] = row.Version
		w.step(headsRead(row))
	}
	w.now += time.Minute + retentionMargin
	unavailable, deleted := commandsOf[command.DeleteLot](w.step())[0].Head.ID, map[string]bool{}
	in := event.LotDeleted{ID: unavailable, Version: versions[unavailable], Failure: &event.Failure{Verdict: verdict.NotRun}}
	for end := w.now + deleteRetryDelay; w.now < end && len(deleted) < 2; {
		for _, c := range commandsOf[command.DeleteLot](append(w.step(in), w.advance(deleteInterval+50*time.Millisecond)...)) {
			require.NotEqual(t, unavailable, c.Head.ID)
			deleted[c.Head.ID] = true
			in = event.LotDeleted{ID: c.Head.ID, Version: c.Version}
		}
	}
	require.Len(t, deleted, 2)
}

// TestDeletedHeadOfLaterCreation guards against hosts that forget a lot when a head of it is
// deleted that another one supersedes, and against a deleted lot that remains known.
func TestDeletedHeadOfLaterCreation(t *testing.T) {
	w := newWorld(t)
	r := &w.tables.Rollout
	r.ResultRetention, r.OrderLease.Held = time.Minute, true
	first := w.head("l", otherProcess, 1, 2)
	first.Head.Ended, first.Head.CandidateIndex = true, 1
	late := w.head("l", otherProcess, 0, 2)
	w.step(headsRead(first, late))
	deletedRow := func(candidate int) event.Event {
		return event.HeadsRead{Heads: []event.HeadRow{{ID: "l", Head: lot.Head{CandidateIndex: candidate}, Version: w.version(), Deleted: true}}}
	}
	w.step(deletedRow(0))
	require.NotNil(t, r.Lots.Find("l"), "the authoritative head still exists")

	w.now += time.Minute + retentionMargin
	deletion := commandsOf[command.DeleteLot](w.step())[0]
	require.Equal(t, first.Version, deletion.Version)
	w.step(event.LotDeleted{ID: "l", Version: deletion.Version})
	require.Nil(t, r.Lots.Find("l"))
	w.step(headsRead(first))
	w.step(deletedRow(1))
	require.Nil(t, r.Lots.Find("l"))
}
