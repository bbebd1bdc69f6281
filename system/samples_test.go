package system_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestUnusableSamplesRunAgain guards against a batch with a sample whose version
// ranges have a gap or whose versions are too old.
func TestUnusableSamplesRunAgain(t *testing.T) {
	w := newWorld(1)
	w.run(3 * time.Second)
	n := w.nodes[0]
	w.submit(n, spec("g1", 2))
	pull := w.pull(n, 1, 5, 1)
	w.run(200 * time.Millisecond)
	gap := []ledger.Range{{From: 0, To: 2, Version: 5}, {From: 3, To: 4, Version: 5}}
	old := []ledger.Range{{From: 0, To: 2, Version: 5}, {From: 2, To: 4, Version: 3}}
	for i, ranges := range [][]ledger.Range{gap, old} {
		n.inbox = append(n.inbox, event.SampleGenerated{Trainer: "t", EntryID: "e1", Record: ledger.SampleRecord{
			Group: "g1", Index: i, Attempt: 1, Tokens: 4, Ranges: ranges, ObjectKey: "bad",
		}})
	}
	w.version = 5
	w.run(4 * time.Second)
	for _, s := range w.batch(t, pull).Samples {
		require.NoError(t, ledger.CheckRanges(s.Ranges, s.Tokens))
		require.NotEqual(t, "bad", s.ObjectKey)
	}
	require.Contains(t, w.log.String(), "count sample_failed unlabelled")
	require.Contains(t, w.log.String(), "count sample_failed expired")
}

// TestScoringIsRepeated guards against a group that remains unscored after its
// scoring service failed, and against a batch with an unscored group.
func TestScoringIsRepeated(t *testing.T) {
	w := newWorld(1)
	failures := 3
	w.outcome = func(_ *node, c command.Command) outcome {
		if _, ok := c.(command.ScoreGroup); ok && failures > 0 {
			failures--
			return outcome{fail: &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}}
		}
		return outcome{}
	}
	w.run(3 * time.Second)
	s := spec("g1", 1)
	s.Scorer = "judge"
	w.submit(w.nodes[0], s)
	pull := w.pull(w.nodes[0], 1, 1, 1)
	w.run(1300 * time.Millisecond)
	require.NotContains(t, w.answers, pull)
	w.run(3 * time.Second)
	require.Len(t, w.batch(t, pull).Samples, 1)
	row, _ := w.store.Row(ledger.GroupKey("t", "g1"))
	require.True(t, row.Group.Scored)
}

// TestStragglerPolicies guards against raised priorities or hedged requests under a
// policy without them, which would invalidate the comparison with the baseline.
func TestStragglerPolicies(t *testing.T) {
	for policy, want := range map[plan.StragglerPolicy][2]bool{
		plan.StragglersIgnored:  {false, false},
		plan.StragglersPriority: {true, false},
		plan.StragglersHedged:   {true, true},
		"":                      {true, true},
	} {
		w := newWorld(1)
		n := w.nodes[0]
		n.t.Config.Body.Policy.Stragglers = policy
		engine, _ := n.t.Backends.Upsert("m1")
		*engine = table.Backend{Name: "m1", Kind: table.KindEngine, Model: "m", Report: plan.Report{Slots: 8}}
		var urgent, hedged bool
		w.outcome = func(_ *node, c command.Command) outcome {
			g, ok := c.(command.GenerateSample)
			if !ok {
				return outcome{}
			}
			urgent, hedged = urgent || g.Urgent && !g.Hedge, hedged || g.Hedge
			if g.Index == 0 {
				return outcome{delay: 8 * time.Second}
			}
			return outcome{}
		}
		w.run(3 * time.Second)
		w.submit(n, spec("g1", 4))
		w.run(7 * time.Second)
		require.Equal(t, want, [2]bool{urgent, hedged}, "policy %q", policy)
	}
}

// TestGroupsAhead guards against more groups in flight than those of a batch plus
// ahead_groups, which would make samples stale.
func TestGroupsAhead(t *testing.T) {
	w := newWorld(1)
	n := w.nodes[0]
	n.t.Config.Body.Policy.MaxAheadGroups = 2
	started := make(map[string]bool)
	w.outcome = func(_ *node, c command.Command) outcome {
		if g, ok := c.(command.GenerateSample); ok {
			started[g.Spec.ID] = true
		}
		return outcome{}
	}
	w.run(3 * time.Second)
	w.submit(n, spec("g1", 1), spec("g2", 1), spec("g3", 1), spec("g4", 1), spec("g5", 1))
	w.run(3 * time.Second)
	require.Len(t, started, 2)
	w.pull(n, 1, 1, 1)
	w.run(3 * time.Second)
	require.Len(t, started, 4)
}
