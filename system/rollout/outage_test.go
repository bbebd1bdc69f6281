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

func storeUnavailable() *event.Failure {
	return &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonStoreUnavailable}
}

// adoptDuringOutage returns a world in which an adoption of lot l failed because the
// partition of its head is not available.
func adoptDuringOutage(t *testing.T) (*world, event.HeadRow) {
	w := newWorld(t)
	h := w.head("l", otherProcess, 0, 1)
	w.step(headsRead(h))
	adoptions := commandsOf[command.AdoptLot](w.advance(adoptTimeout + staggerStep + maxAdoptCPUDelay))
	require.Len(t, adoptions, 1)
	w.step(event.LotAdopted{ID: "l", Head: adoptions[0].Head, Failure: storeUnavailable()})
	return w, h
}

// TestLiveOwnerKeepsLotAfterPartialOutage guards against an adoption that overtakes the
// live owner of a lot when the partition of its head is available again. In a simulated
// day, the output of 5 s was lost in this way, because the presence row of the owner lay
// in an unavailable partition as well.
func TestLiveOwnerKeepsLotAfterPartialOutage(t *testing.T) {
	w, h := adoptDuringOutage(t)
	for range 3 {
		commands := w.advance(adoptRetryDelay + 20*time.Millisecond)
		require.Empty(t, commandsOf[command.AdoptLot](commands))
		require.Len(t, commandsOf[command.CheckHead](commands), 1)
		w.step(event.HeadChecked{Row: event.HeadRow{ID: "l"}, Failure: storeUnavailable()})
	}
	require.Len(t, commandsOf[command.CheckHead](w.advance(adoptRetryDelay+20*time.Millisecond)), 1)
	commands := append(w.step(event.HeadChecked{Row: h}), w.advance(ownerReturnDelay-50*time.Millisecond)...)
	require.Empty(t, commandsOf[command.AdoptLot](commands), "the owner has had no time to renew the head")
	w.step(headsRead(w.rewritten(h.Head, h.Version, "renewed")))
	require.Empty(t, commandsOf[command.AdoptLot](w.advance(2*time.Second)), "the owner is alive")
}

// TestLotOfDeadOwnerIsAdoptedAfterPartialOutage guards against a lot that is never
// adopted because an adoption failed during an outage.
func TestLotOfDeadOwnerIsAdoptedAfterPartialOutage(t *testing.T) {
	w, h := adoptDuringOutage(t)
	require.Len(t, commandsOf[command.CheckHead](w.advance(adoptRetryDelay+20*time.Millisecond)), 1)
	w.step(event.HeadChecked{Row: h})
	require.Len(t, commandsOf[command.AdoptLot](w.advance(ownerReturnDelay+50*time.Millisecond)), 1)
}

// TestPlannedStopDuringOutageKeepsRunning guards against a planned stop that stops the runs
// of a lot while the store does not take its handover: no host would run its items until
// the end of the outage.
func TestPlannedStopDuringOutageKeepsRunning(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	runs := commandsOf[command.StartRun](w.accept(submission(3)))
	require.Len(t, runs, 2)
	writes := commandsOf[command.WriteLot](w.advance(headRenewInterval + 20*time.Millisecond))
	require.Len(t, writes, 1)
	fail := event.LotWritten{ID: "l", WriteID: writes[0].Head.WriteID, Failure: storeUnavailable()}
	w.step(fail)

	commands := append(w.step(event.DrainRequested{}), w.advance(100*time.Millisecond)...)
	require.Empty(t, commandsOf[command.StopRun](commands), "the store is not available")
	commands = append(w.step(endedRun(runs[0], "x")), w.advance(100*time.Millisecond)...)
	require.Len(t, commandsOf[command.StartRun](commands), 1, "the next item is run")

	commands = append(w.step(w.lotWritten(writes[0])), w.step()...)
	require.Len(t, commandsOf[command.StopRun](commands), 2, "the store is available again")
	var stopped []event.Event
	for _, c := range commandsOf[command.StopRun](commands) {
		stopped = append(stopped, w.stopped(c))
	}
	handover := commandsOf[command.WriteLot](append(w.step(stopped...), w.step()...))
	require.Len(t, handover, 1)
	require.Equal(t, lot.Process{}, handover[0].Head.Owner)
}

// TestPlannedStopAfterQuietTimeChecksStore guards against a planned stop that relies on a
// commit made before an outage began.
func TestPlannedStopAfterQuietTimeChecksStore(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	w.accept(submission(1))
	w.advance(recentCommitAge + 50*time.Millisecond)
	commands := append(w.step(event.DrainRequested{}), w.step()...)
	require.Empty(t, commandsOf[command.StopRun](commands))
	writes := commandsOf[command.WriteLot](commands)
	require.Len(t, writes, 1, "a commit shows whether the store is available")
	require.Equal(t, w.tables.Rollout.Self, writes[0].Head.Owner)
	require.Len(t, commandsOf[command.StopRun](append(w.step(w.lotWritten(writes[0])), w.step()...)), 1)
}
