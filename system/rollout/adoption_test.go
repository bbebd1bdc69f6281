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

// TestLotThatCannotBeLoadedIsGivenUp guards against a host that adopts a lot again and again,
// cannot load it and thereby keeps all other hosts from it.
func TestLotThatCannotBeLoadedIsGivenUp(t *testing.T) {
	w := newWorld(t)
	h := w.head("l", lot.Process{Host: "a", BootID: "0"}, 0, 2)
	adopt := commandsOf[command.AdoptLot](w.step(headsRead(h)))
	require.Len(t, adopt, 1)
	taken := w.rewritten(adopt[0].Head, h.Version, adopt[0].Head.WriteID)
	failed := event.LotAdopted{ID: "l", Head: taken.Head, Version: taken.Version, Failure: &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonStoreUnavailable}}
	handover := commandsOf[command.WriteLot](w.step(headsRead(taken), failed))
	require.Len(t, handover, 1)
	require.Zero(t, handover[0].Head.Owner)
	require.Equal(t, taken.Version, handover[0].Version)
	require.Empty(t, commandsOf[command.AdoptLot](w.advance(adoptTimeout+maxAdoptCPUDelay)), "the handover may not have been written")
	require.Len(t, commandsOf[command.AdoptLot](w.advance(loadRetryDelay)), 1, "there may be no other host")

	w = newWorld(t)
	adopt = commandsOf[command.AdoptLot](w.step(headsRead(w.head("l", lot.Process{Host: "a", BootID: "0"}, 0, 2))))
	taken = w.rewritten(adopt[0].Head, adopt[0].Version, adopt[0].Head.WriteID)
	ended := w.rewritten(taken.Head, taken.Version, "end")
	ended.Head.Ended = true
	failed.Head, failed.Version = taken.Head, taken.Version
	require.Empty(t, commandsOf[command.WriteLot](w.step(headsRead(taken), headsRead(ended), failed)), "the lot ended meanwhile")
}

// TestLoadingLotIsKept guards against a lot that another host adopts while its new owner is
// still loading it.
func TestLoadingLotIsKept(t *testing.T) {
	w := newWorld(t)
	w.tables.Rollout.Presence.Address = "x:1"
	w.step(event.PresenceRead{Rows: []event.PresenceRow{{Host: "a", Address: "x:1", BootID: "1", Version: w.version()}}})
	w.advance(headRenewInterval)
	h := w.head("l", lot.Process{Host: "a", BootID: "0"}, 0, 2)
	adopt := commandsOf[command.AdoptLot](w.step(headsRead(h)))
	require.Len(t, adopt, 1)
	commands := w.step(headsRead(w.rewritten(adopt[0].Head, h.Version, adopt[0].Head.WriteID)))
	require.Empty(t, commandsOf[command.WritePresence](commands), "a short adoption needs no heartbeat")
	beats, last := 0, w.now
	for w.now < last+adoptTimeout {
		for range commandsOf[command.WritePresence](w.advance(50 * time.Millisecond)) {
			beats++
			last = w.now
			w.step(event.PresenceWritten{}, event.PresenceRead{Rows: []event.PresenceRow{{Host: "a", Address: "x:1", BootID: "1", Version: w.version()}}})
		}
		if beats == 5 {
			return
		}
	}
	t.Fatalf("no heartbeat for %s after %d", adoptTimeout, beats)
}
