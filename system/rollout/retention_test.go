package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
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
	w.step(event.LotDeleted{ID: "ended", Failure: &event.Failure{Verdict: verdict.NotRun}})
	require.Len(t, commandsOf[command.DeleteLot](w.advance(deleteInterval+50*time.Millisecond)), 1, "a failed deletion is tried again")
	w.step(event.LotDeleted{ID: "ended"}, event.HeadsRead{Heads: []event.HeadRow{{ID: "ended", Version: w.version(), Deleted: true}}})
	require.Empty(t, commandsOf[command.DeleteLot](w.advance(time.Second)), "a lot that was never ended is kept for abandonedLotRetention")
	w.now += abandonedLotRetention
	commands := commandsOf[command.DeleteLot](w.step())
	require.Len(t, commands, 1)
	require.Equal(t, "complete", commands[0].Head.ID)
	w.step(event.LotDeleted{ID: "complete"}, event.HeadsRead{Heads: []event.HeadRow{{ID: "complete", Version: w.version(), Deleted: true}}})
	require.Empty(t, commandsOf[command.DeleteLot](w.advance(time.Second)), "an open lot is never deleted")
}
