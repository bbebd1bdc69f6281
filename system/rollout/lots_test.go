package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

var otherProcess = lot.Process{Host: "b", BootID: "1", CPUMillicores: 800}

// headsRead returns a read of the feed up to the newest of the given rows.
func headsRead(rows ...event.HeadRow) event.Event {
	read := event.HeadsRead{Heads: rows}
	for _, h := range rows {
		read.Version = max(read.Version, h.Version)
	}
	return read
}

// TestLotFromSubmissionToResult guards against an item that is not run, not scored or
// not listed, and against a write that is sent again with different content.
func TestLotFromSubmissionToResult(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	s := submission(1)
	s.Items[0].Scorer = &lot.Scorer{ID: "q", Host: "h", Path: "/s/x"}
	runs := commandsOf[command.StartRun](w.accept(s))
	require.Len(t, runs, 1)
	scores := commandsOf[command.ScoreItem](w.step(endedRun(runs[0], "x", "y")))
	require.Len(t, scores, 1)
	w.step(event.ScoreEnded{Key: scores[0].Key, Run: scores[0].Run, Score: "stamp"})
	writes := commandsOf[command.WriteLot](w.advance(100 * time.Millisecond))
	require.Len(t, writes, 1)
	require.Equal(t, []lot.Result{{Item: "i0", State: lot.StateCompleted, Text: "x\ny", Versions: writes[0].Results[0].Versions, Score: "stamp"}}, writes[0].Results)
	require.Equal(t, 1, writes[0].Head.Listed)

	w.step(event.LotWritten{ID: "l", WriteID: writes[0].Head.WriteID, Failure: &event.Failure{Verdict: verdict.MayHaveRun}})
	again := commandsOf[command.WriteLot](w.advance(300 * time.Millisecond))
	require.Len(t, again, 1)
	require.Equal(t, writes[0], again[0], "a write whose outcome is unknown is sent unchanged")
	w.step(w.lotWritten(again[0]))
	require.False(t, w.tables.Rollout.Lots.Find("l").Head.Open())
	require.Empty(t, commandsOf[command.WriteLot](w.advance(3*time.Second)), "a complete lot is not written again")
}

// TestBrokenRunContinues guards against output that is lost or generated twice when a
// server fails, and against a second run on the server that just failed.
func TestBrokenRunContinues(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil), w.server("s2", nil))
	first := commandsOf[command.StartRun](w.accept(submission(1)))[0]
	broken := endedRun(first, "a", "b")
	broken.Failure = &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}
	next := commandsOf[command.StartRun](append(w.step(broken), w.step()...))
	require.Len(t, next, 1)
	require.Equal(t, 2, next[0].AfterEvent)
	require.NotEqual(t, first.Target.ID, next[0].Target.ID)

	late := endedRun(first, "x")
	w.step(late)
	require.Equal(t, []string{"a", "b"}, w.tables.Rollout.Items.Find(first.Key).Events, "events of an earlier run are ignored")
}

// TestItemTerminatedAfterMaxAttempts guards against an item that is terminated before
// the MaxAttempts of its route, or is retried without end.
func TestItemTerminatedAfterMaxAttempts(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	commands := w.accept(submission(1))
	for attempt := range 3 {
		runs := commandsOf[command.StartRun](append(commands, w.advance(50*time.Millisecond)...))
		require.Len(t, runs, 1, "attempt %d", attempt)
		e := endedRun(runs[0])
		e.Failure = &event.Failure{Verdict: verdict.Ran, Reason: verdict.ReasonBackendFailed}
		commands = w.step(e)
	}
	writes := commandsOf[command.WriteLot](append(commands, w.advance(100*time.Millisecond)...))
	require.Len(t, writes, 1)
	require.Equal(t, lot.StateTerminated, writes[0].Results[0].State)
}

// TestSilentOwnerIsReplaced guards against a lot that is not adopted after its owner
// died, and against one that is adopted although its owner is alive.
func TestSilentOwnerIsReplaced(t *testing.T) {
	w := newWorld(t)
	h := w.head("l", otherProcess, 0, 2)
	w.step(headsRead(h))
	for range 5 {
		h = w.rewritten(h.Head, h.Version, "touch")
		require.Empty(t, commandsOf[command.AdoptLot](append(w.advance(time.Second), w.step(headsRead(h))...)))
	}
	adopt := commandsOf[command.AdoptLot](w.advance(adoptTimeout + staggerStep + maxAdoptCPUDelay))
	require.Len(t, adopt, 1)
	require.Equal(t, w.tables.Rollout.Self, adopt[0].Head.Owner)
	require.Equal(t, h.Version, adopt[0].Version)

	s := submission(2)
	w.step(w.server("s1", nil), event.LotAdopted{
		ID: "l", Submission: s, Head: adopt[0].Head, Version: w.version(),
		Listed: []string{"i0"}, Progress: []lot.Progress{{Item: "i1", Events: []string{"a"}, Software: "v1"}},
	})
	item := w.tables.Rollout.Items.Find(table.ItemKey("l", "i1"))
	require.Equal(t, []string{"a"}, item.Events, "the new owner continues after the stored events")
	require.Nil(t, w.tables.Rollout.Items.Find(table.ItemKey("l", "i0")), "a listed item does not run again")
}

// TestAcceptedLotOfADeadHost guards against a lot that waits for the whole adoptTimeout
// because the process chosen to run it died shortly before. This once delayed a step by
// 2.5 s.
func TestAcceptedLotOfADeadHost(t *testing.T) {
	w := newWorld(t)
	h := w.head("l", otherProcess, 0, 2)
	h.Head.WriteID = writeIDPrefix(&w.tables.Rollout) + "front/1"
	w.step(headsRead(h))
	require.Empty(t, commandsOf[command.AdoptLot](w.advance(assignedOwnerTimeout-50*time.Millisecond)), "the chosen host has not timed out yet")
	require.Len(t, commandsOf[command.AdoptLot](w.advance(100*time.Millisecond)), 1)

	v := newWorld(t)
	h = v.head("l", otherProcess, 0, 2)
	h.Head.WriteID = writeIDPrefix(&v.tables.Rollout) + "front/1"
	v.step(headsRead(h))
	v.step(headsRead(v.rewritten(h.Head, h.Version, "b/1/1")))
	require.Empty(t, commandsOf[command.AdoptLot](v.advance(adoptTimeout-100*time.Millisecond)), "the other host runs it")
}

// TestAdoptionAttemptsAreStaggered guards against all hosts of a large deployment trying
// to adopt a lot at the same moment. With 300 hosts, the store refused most calls.
func TestAdoptionAttemptsAreStaggered(t *testing.T) {
	const hosts = 40
	due := make([]time.Duration, 0, hosts)
	for i := range hosts {
		w := newWorld(t)
		r := &w.tables.Rollout
		r.StoreReadsPerSecond = 2000
		r.Self.Host = fmt.Sprintf("h%d", i)
		for j := range hosts {
			p, _ := r.Peers.Upsert(fmt.Sprintf("h%d", j))
			p.Address = "x:1"
		}
		w.step(headsRead(w.head("l", lot.Process{}, 0, 2)))
		start := w.now
		for len(commandsOf[command.AdoptLot](w.step())) == 0 {
			require.Less(t, w.now-start, 10*time.Second)
		}
		due = append(due, w.now-start)
	}
	slices.Sort(due)
	require.Less(t, due[0], maxHandoverCPUDelay+50*time.Millisecond, "the first one does not wait")
	for i := range due[1:] {
		require.Greater(t, due[i+1]-due[i], 30*time.Millisecond, "time between attempt %d and the one before", i+1)
	}
}

// TestOutageDoesNotCountAsSilence guards against hosts that adopt each other's lots after
// an outage of the store, during which no heartbeat of an owner could be read.
func TestOutageDoesNotCountAsSilence(t *testing.T) {
	w := newWorld(t)
	w.step(headsRead(w.head("l", otherProcess, 0, 2)))
	w.step(event.FeedChanged{Table: feedCoordination, Down: true})
	require.Empty(t, commandsOf[command.AdoptLot](w.advance(10*time.Second)))
	w.step(event.FeedChanged{Table: feedCoordination})
	require.Empty(t, commandsOf[command.AdoptLot](w.advance(adoptTimeout-100*time.Millisecond)))
	require.NotEmpty(t, commandsOf[command.AdoptLot](w.advance(2*time.Second)))
}

// TestLotsOwnedBeforeRestart guards against a restarted host that waits for its earlier
// process before it adopts that process's lots.
func TestLotsOwnedBeforeRestart(t *testing.T) {
	w := newWorld(t)
	require.Len(t, commandsOf[command.AdoptLot](w.step(headsRead(w.head("l", lot.Process{Host: "a", BootID: "0"}, 0, 2)))), 1)
}

// TestEndStopsRuns guards against runs that continue after their lot ended or was taken
// over by another owner.
func TestEndStopsRuns(t *testing.T) {
	for name, change := range map[string]func(*lot.Head){
		"ended":         func(h *lot.Head) { h.Ended = true },
		"another owner": func(h *lot.Head) { h.Owner = otherProcess },
	} {
		w := newWorld(t)
		w.step(w.server("s1", nil))
		require.NotEmpty(t, commandsOf[command.StartRun](w.accept(submission(2))), name)
		l := w.tables.Rollout.Lots.Find("l")
		h := w.rewritten(l.Head, l.Version, "x")
		change(&h.Head)
		require.Len(t, commandsOf[command.StopRun](w.step(headsRead(h))), 2, name)
		require.Zero(t, w.tables.Rollout.Servers.Find("s1").Running, name)
	}
}

// TestConflictKeepsResults guards against results that are lost when another write of
// the lot was committed first.
func TestConflictKeepsResults(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	run := commandsOf[command.StartRun](w.accept(submission(2)))[0]
	write := commandsOf[command.WriteLot](append(w.step(endedRun(run, "x")), w.advance(100*time.Millisecond)...))[0]
	l := w.tables.Rollout.Lots.Find("l")
	current := w.rewritten(l.Head, l.Version, "other")
	again := commandsOf[command.WriteLot](append(
		w.step(event.LotWritten{ID: "l", WriteID: write.Head.WriteID, Current: &current}), w.advance(100*time.Millisecond)...))
	require.Len(t, again, 1)
	require.Equal(t, write.Results, again[0].Results)
	require.Equal(t, current.Version, again[0].Version)
}

// TestFirstCreationWins guards against a lot whose head is replaced by a later creation
// in another candidate partition, and against a lot that runs twice after two hosts
// created it.
func TestFirstCreationWins(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	early := w.head("l", otherProcess, 0, 2)
	early.Head.CandidateIndex = 1
	require.NotEmpty(t, commandsOf[command.StartRun](w.accept(submission(2))))
	late := w.head("l", otherProcess, 0, 2)
	late.Head.CandidateIndex = 2
	require.Empty(t, commandsOf[command.StopRun](w.step(headsRead(late))))
	require.Equal(t, 0, w.tables.Rollout.Lots.Find("l").Head.CandidateIndex)
	require.Len(t, commandsOf[command.StopRun](w.step(headsRead(early))), 2)
	require.Equal(t, 1, w.tables.Rollout.Lots.Find("l").Head.CandidateIndex)

	changed := w.head("l", w.tables.Rollout.Self, 1, 2)
	changed.Head.CreatedVersion = late.Version
	w.step(headsRead(changed))
	require.Equal(t, 1, w.tables.Rollout.Lots.Find("l").Head.CandidateIndex, "a change of the later head is ignored")
}

// TestUnconfirmedLotWaits guards against a host that runs or publishes a lot that
// another host may have created before. A restarted host that could not read all heads
// once accepted a lot again that had ended and whose results were already listed.
func TestUnconfirmedLotWaits(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	s := submission(2)
	h := w.head("l", w.tables.Rollout.Self, 0, 2)
	commands := append(w.step(event.LotAccepted{Submission: s, Head: h.Head, Version: h.Version}), w.advance(3*time.Second)...)
	require.Empty(t, commandsOf[command.StartRun](commands))
	require.Empty(t, commandsOf[command.WriteLot](commands))
	for _, c := range commandsOf[command.PublishLots](commands) {
		require.Empty(t, c.Lots)
	}
	commands = w.step(headsRead(h))
	require.Len(t, commandsOf[command.StartRun](commands), 2)
	require.Contains(t, commandsOf[command.PublishLots](commands)[0].Lots, "l")
}

// TestPlannedStopHandsOver guards against a lot that waits for the adoptTimeout after a
// graceful shutdown of its owner, and against output that is generated again.
func TestPlannedStopHandsOver(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	run := commandsOf[command.StartRun](w.accept(submission(1)))[0]
	require.Len(t, commandsOf[command.StopRun](w.step(event.DrainRequested{})), 1)
	stopped := endedRun(run, "a", "b")
	stopped.Failure = &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCanceled}
	writes := commandsOf[command.WriteLot](append(w.step(stopped), w.step()...))
	require.Len(t, writes, 1)
	require.Equal(t, lot.Process{}, writes[0].Head.Owner)
	require.True(t, writes[0].Head.HasProgress)
	require.Equal(t, []string{"a", "b"}, writes[0].Progress[0].Events)
	require.Len(t, commandsOf[command.HandoverFinished](append(w.step(w.lotWritten(writes[0])), w.step()...)), 1)

	v := newWorld(t)
	require.Len(t, commandsOf[command.AdoptLot](append(
		v.step(headsRead(v.head("l", lot.Process{}, 0, 1))), v.advance(handoverStaggerStep+maxHandoverCPUDelay)...)), 1, "another host adopts it without waiting for the adopt timeout")
}

// TestProgressIsStored guards against an item of several seconds that starts from the
// beginning when the owner of its lot is lost, which once delayed a step by 3 s. It also
// guards against progress that is written again although nothing has changed.
func TestProgressIsStored(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	run := commandsOf[command.StartRun](w.accept(submission(1)))[0]
	progressed := func(events ...string) event.Event {
		return event.RunProgressed{Key: run.Key, Run: run.Run, Events: events, Versions: []registry.Version{1}}
	}
	stored := func() []lot.Progress {
		var all []lot.Progress
		for range 300 {
			for _, c := range commandsOf[command.WriteLot](w.step()) {
				all = append(all, c.Progress...)
				require.True(t, len(c.Progress) == 0 || c.Head.HasProgress)
				w.step(w.lotWritten(c))
			}
		}
		return all
	}
	w.step(progressed("a", "b"))
	require.Equal(t, []lot.Progress{{Item: "i0", Events: []string{"a", "b"}, Versions: []registry.Version{1}, Software: "v1"}}, stored())
	require.Empty(t, stored(), "unchanged progress is not written again")
	w.step(progressed("c"))
	require.Equal(t, []string{"a", "b", "c"}, stored()[0].Events)
	w.step(event.RunProgressed{Key: run.Key, Run: run.Run + 1, Events: []string{"x"}})
	next := commandsOf[command.ScoreItem](w.step(endedRun(run, "d")))
	require.Empty(t, next)
	require.Equal(t, "a\nb\nc\nd", w.tables.Rollout.Lots.Find("l").Pending[0].Text)
}

// TestOwnerKeepsLotOfUnavailablePartition guards against a lot that is adopted from a live
// owner when the partition that holds its head becomes available again. The
// uncommitted results are then lost; 155 results once had to be generated again.
func TestOwnerKeepsLotOfUnavailablePartition(t *testing.T) {
	w := newWorld(t)
	w.tables.Rollout.Presence.Address = "x:1"
	own := func() event.Event {
		return event.PresenceRead{Rows: []event.PresenceRow{{Host: "a", Address: "x:1", BootID: "1", Version: w.version()}}}
	}
	w.step(own())
	w.step(w.server("s1", nil))
	w.accept(submission(1))
	presenceWrites := 0
	for range 400 {
		for _, c := range w.step() {
			switch c := c.(type) {
			case command.WriteLot:
				w.step(event.LotWritten{ID: "l", WriteID: c.Head.WriteID, Failure: &event.Failure{Verdict: verdict.MayHaveRun}})
			case command.WritePresence:
				presenceWrites++
				w.step(event.PresenceWritten{}, own())
			}
		}
	}
	require.Greater(t, presenceWrites, 2, "the owner writes its presence row to show that it is alive")

	v := newWorld(t)
	v.step(headsRead(v.head("l", otherProcess, 0, 1)))
	for range 5 {
		renewed := event.PresenceRead{Rows: []event.PresenceRow{{Host: otherProcess.Host, Address: "y:1", BootID: otherProcess.BootID, Version: v.version()}}}
		require.Empty(t, commandsOf[command.AdoptLot](append(v.step(renewed), v.advance(time.Second)...)))
	}
	require.NotEmpty(t, commandsOf[command.AdoptLot](v.advance(adoptTimeout+staggerStep+maxAdoptCPUDelay)))
}

// TestFullReadOfEmptyTable guards against a host that read the heads when there were
// none and then confirms no lot: it would neither run nor publish any.
func TestFullReadOfEmptyTable(t *testing.T) {
	w := newWorld(t)
	r := &w.tables.Rollout
	r.HeadsKnown, r.HeadsVersion = false, 0
	h := w.head("l", otherProcess, 0, 2)
	for _, c := range commandsOf[command.PublishLots](w.step(headsRead(h))) {
		require.Empty(t, c.Lots, "no lot is published before all heads were read")
	}
	w.step(event.HeadsRead{Full: true})
	h.Version = w.version()
	views := commandsOf[command.PublishLots](w.step(headsRead(h)))
	require.Len(t, views, 1)
	require.Contains(t, views[0].Lots, "l", "a full read of an empty store counts as well")
}
