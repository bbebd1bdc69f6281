package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// software returns a change of a server's record to a software version.
func software(v registry.Software) func(*registry.Server) {
	return func(s *registry.Server) { s.Software = v }
}

// brokenRun returns the outcome of a run that broke off after a number of events.
func brokenRun(c command.StartRun, events ...string) event.RunEnded {
	e := endedRun(c, events...)
	e.Failure = &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonTruncatedAnswer}
	return e
}

// TestOutputIsNotContinuedByOtherSoftware guards against an output that two software versions
// wrote: the version that began it has no server left.
func TestOutputIsNotContinuedByOtherSoftware(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("old", software("v1")))
	run := commandsOf[command.StartRun](w.accept(submission(1)))[0]
	w.step(w.server("new", software("v2")), w.removed("old"))
	commands := w.step(brokenRun(run, "a", "b"))
	commands = append(commands, w.advance(100*time.Millisecond)...)
	next := commandsOf[command.StartRun](commands)
	require.Len(t, next, 1)
	require.Equal(t, "new", next[0].Target.ID)
	require.Zero(t, next[0].AfterEvent, "the output begins anew")
}

// TestOutputGoesOnAtItsSoftware guards against an output that is thrown away while a server of
// its version could continue it, although one of another version is faster.
func TestOutputGoesOnAtItsSoftware(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("old-1", software("v1")))
	run := commandsOf[command.StartRun](w.accept(submission(1)))[0]
	slow := func(s *registry.Server) { s.Software, s.Zone = "v1", "far" }
	w.step(w.server("new", software("v2")), w.server("old-2", slow), w.removed("old-1"))
	commands := w.step(brokenRun(run, "a", "b"))
	next := commandsOf[command.StartRun](commands)
	require.Len(t, next, 1)
	require.Equal(t, "old-2", next[0].Target.ID)
	require.Equal(t, 2, next[0].AfterEvent)
}

// TestAdoptedOutputKeepsItsSoftware guards against a new owner that continues a stored output
// at a server of another version, or of one that is not known.
func TestAdoptedOutputKeepsItsSoftware(t *testing.T) {
	for began, after := range map[registry.Software]int{"v1": 0, "v2": 2, "": 0} {
		w := newWorld(t)
		w.step(w.server("new", software("v2")))
		h := w.head("l", lot.Process{Host: "b", BootID: "1"}, 0, 1)
		w.step(headsRead(h))
		adopt := commandsOf[command.AdoptLot](w.advance(4 * time.Second))
		require.NotEmpty(t, adopt)
		taken := w.rewritten(adopt[0].Head, h.Version, adopt[0].Head.WriteID)
		commands := w.step(event.LotAdopted{
			ID: "l", Submission: submission(1), Head: taken.Head, Version: taken.Version,
			Progress: []lot.Progress{{Item: "i0", Events: []string{"a", "b"}, Software: began}},
		})
		next := commandsOf[command.StartRun](append(commands, w.step(headsRead(taken))...))
		require.Len(t, next, 1, "%q", began)
		require.Equal(t, after, next[0].AfterEvent, "%q", began)
	}
}

// TestOutputWaitsForItsSoftwareInVain guards against an item that waits for good for the only
// server of its version, which is full, while others have room.
func TestOutputWaitsForItsSoftwareInVain(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("old-1", software("v1")))
	run := commandsOf[command.StartRun](w.accept(submission(1)))[0]
	w.step(w.server("old-2", software("v1")), w.removed("old-1"))
	w.tables.Rollout.Servers.Find("old-2").Running = 2 // of another lot
	w.step(w.server("new", software("v2")))
	events := []string{"a", "b", "c", "d", "e"}
	restart := time.Duration(len(events)) * defaultEventInterval
	commands := append(w.step(brokenRun(run, events...)), w.advance(restart-20*time.Millisecond)...)
	require.Empty(t, commandsOf[command.StartRun](commands), "a slot may become free")
	next := commandsOf[command.StartRun](w.advance(40 * time.Millisecond))
	require.Len(t, next, 1, "the output would have been generated again by now")
	require.Equal(t, "new", next[0].Target.ID)
	require.Zero(t, next[0].AfterEvent)
}

// TestRunMovesWithinItsSoftware guards against a move to a faster server of another version
// that costs more than it gains, and against runs that never leave a server that is far slower.
func TestRunMovesWithinItsSoftware(t *testing.T) {
	for slowdown, want := range map[float64]string{1.5: "", 20: "new"} {
		w := newWorld(t)
		w.step(w.server("old", software("v1")))
		w.learnLengths()
		w.measure("old", fastInterval)
		s := submission(1)
		s.Items[0].EstimatedTokens = 1000
		run := commandsOf[command.StartRun](w.accept(s))[0]
		w.step(w.server("new", software("v2")))
		w.measure("new", fastInterval)
		slow := time.Duration(slowdown * float64(fastInterval))
		var stops []command.StopRun
		for range 3 {
			stops = append(stops, commandsOf[command.StopRun](w.step(progressed(&run, 20, slow)))...)
		}
		stops = append(stops, commandsOf[command.StopRun](w.advance(100*time.Millisecond))...)
		if want == "" {
			require.Empty(t, stops, "slowdown %g", slowdown)
			continue
		}
		require.Len(t, stops, 1, "slowdown %g", slowdown)
		next := commandsOf[command.StartRun](w.step(w.stopped(stops[0])))
		require.Len(t, next, 1)
		require.Equal(t, want, next[0].Target.ID)
		require.Zero(t, next[0].AfterEvent)
	}
}

// TestRunAtRestartedServerBeginsAnew guards against an output that goes on at a server which
// started again with another software version under its id, before its record said so.
func TestRunAtRestartedServerBeginsAnew(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s", software("v1")))
	run := commandsOf[command.StartRun](w.accept(submission(1)))[0]
	again := commandsOf[command.StartRun](w.step(brokenRun(run, "a", "b")))
	require.Len(t, again, 1)
	require.Equal(t, 2, again[0].AfterEvent)
	stops := commandsOf[command.StopRun](w.step(w.server("s", func(s *registry.Server) { s.Software, s.StartedUnixMS = "v2", 2 })))
	require.Len(t, stops, 1)
	next := commandsOf[command.StartRun](w.step(endedRun(again[0], "c"))) // complete before the stop took effect
	require.Len(t, next, 1)
	require.Zero(t, next[0].AfterEvent)
}

// TestLongRunLeavesLastServersOfItsSoftware guards against a run that goes on at a server which
// will be gone before it is complete, although no other server can continue its output.
func TestLongRunLeavesLastServersOfItsSoftware(t *testing.T) {
	for _, otherStays := range []bool{false, true} {
		w := newWorld(t)
		w.tables.Rollout.BackendDrainPeriod = 2 * time.Second
		w.step(w.server("old", software("v1")))
		w.learnLengths()
		w.measure("old", fastInterval)
		s := submission(2)
		s.Items[0].EstimatedTokens, s.Items[1].EstimatedTokens = 2000, 300 // 7.6 s and 1.1 s
		w.accept(s)
		in := []event.Event{w.server("new", software("v2")), w.server("old", func(s *registry.Server) { s.Software, s.Leaving = "v1", true })}
		if otherStays {
			in = append(in, w.server("old-2", software("v1")))
		}
		stops := commandsOf[command.StopRun](append(w.step(in...), w.advance(200*time.Millisecond)...))
		if otherStays {
			require.Empty(t, stops, "the output can be continued")
			continue
		}
		require.Len(t, stops, 1)
		next := commandsOf[command.StartRun](w.step(w.stopped(stops[0])))
		require.Len(t, next, 1)
		require.Equal(t, "i0", next[0].Spec.ID)
		require.Equal(t, "new", next[0].Target.ID)
	}
}

// TestOutputDoesNotWaitForALimitForGood guards against an item that asks a server of its version
// again and again for a place that its request limit does not allow, while others have room.
func TestOutputDoesNotWaitForALimitForGood(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("old", software("v1")))
	run := commandsOf[command.StartRun](w.accept(submission(1)))[0]
	w.step(w.server("new", software("v2")))
	events := []string{"a", "b", "c", "d", "e"}
	commands := w.step(brokenRun(run, events...))
	w.tables.Rollout.Items.Find(run.Key).AvoidServer = ""
	var last command.StartRun
	for end := w.now + time.Second; w.now < end && last.Target == nil; {
		next := commandsOf[command.StartRun](commands)
		commands = w.step()
		for _, c := range next {
			if c.Target.ID == "new" {
				last = c
				break
			}
			commands = append(commands, w.step(event.RunEnded{Key: c.Key, Run: c.Run, Server: c.Target.ID, Model: c.Model, Failure: &event.Failure{
				Verdict: verdict.NotRun, Reason: verdict.ReasonServerLimit, RetryAfter: 50 * time.Millisecond,
			}})...)
		}
	}
	require.NotNil(t, last.Target, "begun anew at the other server")
	require.Zero(t, last.AfterEvent)
}
