package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestEndStopsScoring guards against scoring requests that reach servers after their lot ended,
// expired or was taken over by another owner, and against their outcomes being applied to a
// later request of the same item.
func TestEndStopsScoring(t *testing.T) {
	for name, end := range map[string]func(w *world, l *table.Lot) []command.Command{
		"ended": func(w *world, l *table.Lot) []command.Command {
			h := w.rewritten(l.Head, l.Version, "x")
			h.Head.Ended = true
			return w.step(headsRead(h))
		},
		"another owner": func(w *world, l *table.Lot) []command.Command {
			h := w.rewritten(l.Head, l.Version, "x")
			h.Head.Owner = otherProcess
			return w.step(headsRead(h))
		},
		"expired": func(w *world, _ *table.Lot) []command.Command { return w.advance(defaultItemTimeout) },
	} {
		w := newWorld(t)
		w.step(w.server("s1", nil))
		s := submission(1)
		s.Items[0].Scorer = &lot.Scorer{ID: "q", Host: "h", Path: "/s/x"}
		run := commandsOf[command.StartRun](w.accept(s))[0]
		score := commandsOf[command.ScoreItem](w.step(endedRun(run, "x")))[0]
		l := w.tables.Rollout.Lots.Find("l")
		require.Equal(t, []command.StopScore{{Key: score.Key, Run: score.Run}}, commandsOf[command.StopScore](end(w, l)), name)

		h := w.rewritten(l.Head, l.Version, "y")
		h.Head.Owner, h.Head.Ended = w.tables.Rollout.Self, false
		w.step(headsRead(h))
		l.Stage = table.LotAdopting
		again := commandsOf[command.ScoreItem](w.step(event.LotAdopted{
			ID: "l", Submission: s, Head: h.Head, Version: h.Version, Progress: []lot.Progress{{Item: "i0", Events: []string{"x"}, Complete: true}},
		}))
		require.Len(t, again, 1, name)
		w.step(event.ScoreEnded{Key: score.Key, Run: score.Run, Failures: 9, Failure: &event.Failure{Verdict: verdict.Ran}})
		require.NotNil(t, w.tables.Rollout.Items.Find(score.Key), "%s: the outcome of the first request terminated the item", name)
	}
}

// TestOnlyFailuresTerminateItems guards against items that are terminated although no server
// stated that they failed, and against their repetition without a pause. Scoring requests of 20
// items once got only answers of 504, because the timeout of their route was too short.
func TestOnlyFailuresTerminateItems(t *testing.T) {
	const repetitions = 12
	w := newWorld(t)
	w.step(w.server("s1", nil))
	s := submission(1)
	s.Items[0].Scorer = &lot.Scorer{ID: "q", Host: "h", Path: "/s/x"}
	commands := w.accept(s)
	var last command.StartRun
	start := w.now
	for n := range repetitions {
		runs := commandsOf[command.StartRun](append(commands, w.advance(200*time.Millisecond)...))
		require.Len(t, runs, 1, "run %d", n)
		last = runs[0]
		e := endedRun(last)
		e.Failure = &event.Failure{Verdict: verdict.Ran, Reason: verdict.ReasonUnexpectedStatus}
		commands = w.step(e)
	}
	require.Equal(t, repetitions, w.tables.Rollout.Items.Find(last.Key).UnexpectedAnswers)

	last = commandsOf[command.StartRun](append(commands, w.advance(200*time.Millisecond)...))[0]
	commands = w.step(endedRun(last, "x"))
	scored := 0
	for ; scored < repetitions; scored++ {
		scores := commandsOf[command.ScoreItem](append(commands, w.advance(900*time.Millisecond)...))
		require.Len(t, scores, 1, "scoring request %d", scored)
		remaining := 40*time.Second - (w.now - start)
		require.GreaterOrEqual(t, scores[0].Timeout, minScoreTimeout)
		require.LessOrEqual(t, scores[0].Timeout, min(minScoreTimeout<<min(scored, maxTimeoutDoublings), remaining+time.Second))
		commands = w.step(event.ScoreEnded{Key: scores[0].Key, Run: scores[0].Run, Failure: &event.Failure{Verdict: verdict.Ran, Reason: verdict.ReasonBackendFailed}})
	}
	require.NotNil(t, w.tables.Rollout.Items.Find(last.Key))
}
