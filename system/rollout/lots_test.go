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

// headsRead is a read of the feed up to the newest of the given rows.
func headsRead(rows ...event.HeadRow) event.Event {
	read := event.HeadsRead{Heads: rows}
	for _, h := range rows {
		read.Version = max(read.Version, h.Version)
	}
	return read
}

// TestLotFromSubmissionToResult guards against an item that is not run, not scored or
// not listed, and against a write that is repeated with other content.
func TestLotFromSubmissionToResult(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	s := submission(1)
	s.Items[0].Scorer = &lot.Scorer{ID: "q", Host: "h", Path: "/s/x"}
	runs := commandsOf[command.StartRun](w.accept(s))
	require.Len(t, runs, 1)
	scores := commandsOf[command.ScoreItem](w.step(endedRun(runs[0], "x", "y")))
	require.Len(t, scores, 1)
	w.step(event.ScoreEnded{Key: scores[0].Key, Score: "stamp"})
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
	require.Empty(t, commandsOf[command.WriteLot](w.advance(3*time.Second)), "a complete lot is left alone")
}

// TestBrokenRunContinues guards against text that is lost or generated twice when a
// server fails, and against another run on the server that just failed.
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
	require.Equal(t, []string{"a", "b"}, w.tables.Rollout.Items.Find(first.Key).Events, "an old run adds nothing")
}

// TestItemIsGivenUpOnlyAsAllowed guards against an item that is terminated too early
// or runs without end.
func TestItemIsGivenUpOnlyAsAllowed(t *testing.T) {
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

// TestSilentOwnerIsReplaced guards against a lot that nobody runs after its owner
// died, and one that is taken from an owner that lives.
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
		Results: []lot.Result{{Item: "i0"}}, Progress: []lot.Progress{{Item: "i1", Events: []string{"a"}}},
	})
	item := w.tables.Rollout.Items.Find(table.ItemKey("l", "i1"))
	require.Equal(t, []string{"a"}, item.Events, "the new owner continues the stored text")
	require.Nil(t, w.tables.Rollout.Items.Find(table.ItemKey("l", "i0")), "a listed item does not run again")
}

// TestAcceptedLotOfADeadHost guards against a lot that waits for the silence of a host
// which died shortly before the lot was given to it (incident inc-841d of pamoja-offcuts:
// 2.5 s of a step).
func TestAcceptedLotOfADeadHost(t *testing.T) {
	w := newWorld(t)
	h := w.head("l", otherProcess, 0, 2)
	h.Head.WriteID = writeIDPrefix(&w.tables.Rollout) + "front/1"
	w.step(headsRead(h))
	require.Empty(t, commandsOf[command.AdoptLot](w.advance(assignedOwnerTimeout-50*time.Millisecond)), "the other host has its time")
	require.Len(t, commandsOf[command.AdoptLot](w.advance(100*time.Millisecond)), 1)

	v := newWorld(t)
	h = v.head("l", otherProcess, 0, 2)
	h.Head.WriteID = writeIDPrefix(&v.tables.Rollout) + "front/1"
	v.step(headsRead(h))
	v.step(headsRead(v.rewritten(h.Head, h.Version, "b/1/1")))
	require.Empty(t, commandsOf[command.AdoptLot](v.advance(adoptTimeout-100*time.Millisecond)), "the other host runs it")
}

// TestHostsTakeTurns guards against all hosts of a large deployment that try to take a lot
// at the same moment (a site of 300 hosts: the store refused most calls).
func TestHostsTakeTurns(t *testing.T) {
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
		begun := w.now
		for len(commandsOf[command.AdoptLot](w.step())) == 0 {
			require.Less(t, w.now-begun, 10*time.Second)
		}
		due = append(due, w.now-begun)
	}
	slices.Sort(due)
	require.Less(t, due[0], maxHandoverCPUDelay+50*time.Millisecond, "the first one does not wait")
	for i := range due[1:] {
		require.Greater(t, due[i+1]-due[i], 30*time.Millisecond, "turn %d", i+1)
	}
}

// TestOutageIsNoSilence guards against hosts that take each other's lots after an
// outage of the store, in which no owner could be heard.
func TestOutageIsNoSilence(t *testing.T) {
	w := newWorld(t)
	w.step(headsRead(w.head("l", otherProcess, 0, 2)))
	w.step(event.FeedChanged{Table: feedCoordination, Down: true})
	require.Empty(t, commandsOf[command.AdoptLot](w.advance(10*time.Second)))
	w.step(event.FeedChanged{Table: feedCoordination})
	require.Empty(t, commandsOf[command.AdoptLot](w.advance(adoptTimeout-100*time.Millisecond)))
	require.NotEmpty(t, commandsOf[command.AdoptLot](w.advance(2*time.Second)))
}

// TestLotsOfAnEarlierLifetime guards against a restarted host that waits for itself.
func TestLotsOfAnEarlierLifetime(t *testing.T) {
	w := newWorld(t)
	require.Len(t, commandsOf[command.AdoptLot](w.step(headsRead(w.head("l", lot.Process{Host: "a", BootID: "0"}, 0, 2)))), 1)
}

// TestEndStopsRuns guards against items that run on after their lot ended or went to
// another owner.
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

// TestConflictKeepsResults guards against results that get lost when another write of
// the lot came first.
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

// TestFirstCreationCounts guards against a lot that changes its head when a creation in
// another place applies late, and against one that runs twice after two hosts created it.
func TestFirstCreationCounts(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	early := w.head("l", otherProcess, 0, 2)
	early.Head.Place = 1
	require.NotEmpty(t, commandsOf[command.StartRun](w.accept(submission(2))))
	late := w.head("l", otherProcess, 0, 2)
	late.Head.Place = 2
	require.Empty(t, commandsOf[command.StopRun](w.step(headsRead(late))))
	require.Equal(t, 0, w.tables.Rollout.Lots.Find("l").Head.Place)
	require.Len(t, commandsOf[command.StopRun](w.step(headsRead(early))), 2)
	require.Equal(t, 1, w.tables.Rollout.Lots.Find("l").Head.Place)

	changed := w.head("l", w.tables.Rollout.Self, 1, 2)
	changed.Head.CreatedVersion = late.Version
	w.step(headsRead(changed))
	require.Equal(t, 1, w.tables.Rollout.Lots.Find("l").Head.Place, "a change of a later head counts no more")
}

// TestUncertainLotWaits guards against results that a host lists, or a state that it
// shows, of a lot that another host may have created before: a restarted host that could
// not read all heads had accepted a lot again, which was already listed and ended.
func TestUncertainLotWaits(t *testing.T) {
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

// TestPlannedStopHandsOver guards against a lot that waits for its owner's silence
// after a planned stop, and against texts that are generated again.
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
		v.step(headsRead(v.head("l", lot.Process{}, 0, 1))), v.advance(handoverStaggerStep+maxHandoverCPUDelay)...)), 1, "another host takes it at once")
}

// TestLongItemsSurviveTheirOwner guards against an item of several seconds that begins
// again when the owner of its lot is lost (trouble-3 of the grown Pamoja site: a step was
// 3 s late), and against texts that are written again and again.
func TestLongItemsSurviveTheirOwner(t *testing.T) {
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
	require.Equal(t, []lot.Progress{{Item: "i0", Events: []string{"a", "b"}, Versions: []registry.Version{1}}}, stored())
	require.Empty(t, stored(), "nothing new")
	w.step(progressed("c"))
	require.Equal(t, []string{"a", "b", "c"}, stored()[0].Events)
	w.step(event.RunProgressed{Key: run.Key, Run: run.Run + 1, Events: []string{"x"}})
	next := commandsOf[command.ScoreItem](w.step(endedRun(run, "d")))
	require.Empty(t, next)
	require.Equal(t, "a\nb\nc\nd", w.tables.Rollout.Lots.Find("l").Pending[0].Text)
}

// TestOwnerOfALotInAPartThatIsAwayKeepsIt guards against a lot that is taken from its
// living owner, with all results that wait, when the part of the store that holds its
// head comes back (scale-2 of the grown Pamoja site: 155 results were made again).
func TestOwnerOfALotInAPartThatIsAwayKeepsIt(t *testing.T) {
	w := newWorld(t)
	w.tables.Rollout.Presence.Address = "x:1"
	own := func() event.Event {
		return event.PresenceRead{Rows: []event.PresenceRow{{Host: "a", Address: "x:1", BootID: "1", Version: w.version()}}}
	}
	w.step(own())
	w.step(w.server("s1", nil))
	w.accept(submission(1))
	signs := 0
	for range 400 {
		for _, c := range w.step() {
			switch c := c.(type) {
			case command.WriteLot:
				w.step(event.LotWritten{ID: "l", WriteID: c.Head.WriteID, Failure: &event.Failure{Verdict: verdict.MayHaveRun}})
			case command.WritePresence:
				signs++
				w.step(event.PresenceWritten{}, own())
			}
		}
	}
	require.Greater(t, signs, 2, "the owner shows that it lives")

	v := newWorld(t)
	v.step(headsRead(v.head("l", otherProcess, 0, 1)))
	for range 5 {
		sign := event.PresenceRead{Rows: []event.PresenceRow{{Host: otherProcess.Host, Address: "y:1", BootID: otherProcess.BootID, Version: v.version()}}}
		require.Empty(t, commandsOf[command.AdoptLot](append(v.step(sign), v.advance(time.Second)...)))
	}
	require.NotEmpty(t, commandsOf[command.AdoptLot](v.advance(adoptTimeout+staggerStep+maxAdoptCPUDelay)))
}

// TestEmptyTableIsKnown guards against a host that read the heads when there were none
// and is never certain of a lot: it would neither run nor show any.
func TestEmptyTableIsKnown(t *testing.T) {
	w := newWorld(t)
	r := &w.tables.Rollout
	r.HeadsKnown, r.HeadsVersion = false, 0
	h := w.head("l", otherProcess, 0, 2)
	for _, c := range commandsOf[command.PublishLots](w.step(headsRead(h))) {
		require.Empty(t, c.Lots, "nothing is known before all heads were read")
	}
	w.step(event.HeadsRead{Full: true})
	h.Version = w.version()
	views := commandsOf[command.PublishLots](w.step(headsRead(h)))
	require.Len(t, views, 1)
	require.Contains(t, views[0].Lots, "l", "a store without any commit is known too")
}
