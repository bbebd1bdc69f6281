package system_test

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func spec(id string, samples int) ledger.GroupSpec {
	return ledger.GroupSpec{ID: id, Model: "m", Prompt: "p", Samples: samples, MaxTokens: 8, StalenessBound: 1}
}

func (w *world) submit(n *node, specs ...ledger.GroupSpec) string {
	return w.call(n, func(id string) event.Event {
		return event.GroupsSubmitted{RequestID: id, Trainer: "t", Groups: specs}
	})
}

func (w *world) pull(n *node, step int64, v ledger.Version, groups int) string {
	return w.call(n, func(id string) event.Event {
		return event.PullRequested{RequestID: id, Trainer: "t", Step: step, Version: v, Groups: groups, Wait: 20 * time.Second}
	})
}

func (w *world) confirm(n *node, step int64, attempt int) string {
	return w.call(n, func(id string) event.Event {
		return event.ConfirmRequested{RequestID: id, Trainer: "t", Step: step, Attempt: attempt}
	})
}

func (w *world) declare(n *node, v ledger.Version) {
	w.call(n, func(id string) event.Event { return event.VersionDeclared{RequestID: id, Trainer: "t", Version: v} })
}

// lot returns the lot that answered a pull.
func (w *world) lot(t require.TestingT, id string) *ledger.BatchRecord {
	answer, ok := w.answers[id].(command.AnswerPull)
	require.True(t, ok, "pull %s is not answered", id)
	require.Nil(t, answer.Failure, "pull %s", id)
	return answer.Batch
}

func golden(t *testing.T, w *world) {
	t.Helper()
	goldie.New(t, goldie.WithFixtureDir("testdata/sessions")).Assert(t, t.Name(), []byte(w.log.String()))
}

// start runs a world until a controller holds the partition and has its groups.
func start(t *testing.T, controllers int, specs ...ledger.GroupSpec) *world {
	t.Helper()
	w := newWorld(controllers)
	w.run(3 * time.Second)
	require.NotNil(t, w.holder())
	id := w.submit(w.holder(), specs...)
	w.run(200 * time.Millisecond)
	require.Contains(t, w.answers, id)
	return w
}

// TestSessionTakeOver guards against samples that are lost or delivered twice
// when a holder dies between finishing samples and freezing a lot.
func TestSessionTakeOver(t *testing.T) {
	w := start(t, 2, spec("g1", 2), spec("g2", 2))
	w.run(1200 * time.Millisecond)
	first := w.holder()
	w.say("%s dies", first.id)
	first.dead = true
	w.run(12 * time.Second)
	require.NotNil(t, w.holder())
	pull := w.pull(w.holder(), 1, 1, 2)
	w.run(2 * time.Second)
	require.Len(t, w.lot(t, pull).Samples, 4)
	golden(t, w)
}

// TestSessionPausedHolder guards against decisions under a lease that lapsed
// while the process was stopped, and against a late write of that holder.
func TestSessionPausedHolder(t *testing.T) {
	w := start(t, 2, spec("g1", 2))
	w.run(1500 * time.Millisecond)
	first := w.holder()
	w.fate = func(n *node, c command.Command) fate {
		if c, ok := c.(command.CommitRows); ok && n == first && len(c.Rows) == 2 && c.Rows[1].Batch != nil {
			return fate{delay: 15 * time.Second}
		}
		return fate{}
	}
	w.pull(first, 1, 1, 1)
	w.run(100 * time.Millisecond)
	w.say("%s is stopped; its freeze is delayed", first.id)
	first.paused = true
	w.run(13 * time.Second)
	second := w.holder()
	require.NotNil(t, second)
	pull := w.pull(second, 1, 1, 1)
	w.run(5 * time.Second)
	w.say("%s resumes", first.id)
	first.paused = false
	stale := w.confirm(first, 1, 1)
	w.run(time.Second)
	require.Equal(t, 1, w.lot(t, pull).Attempt)
	require.Equal(t, verdict.ReasonNotHolder, w.answers[stale].(command.AnswerConfirm).Failure.Reason)
	require.Equal(t, uint64(2), w.store.Leases()[0].Fence)
	golden(t, w)
}

// TestSessionFreezeAnswerLost guards against a second lot for the step when the
// freeze was committed and its answer was lost.
func TestSessionFreezeAnswerLost(t *testing.T) {
	w := start(t, 1, spec("g1", 2), spec("g2", 2))
	w.run(1500 * time.Millisecond)
	lost := false
	w.fate = func(_ *node, c command.Command) fate {
		if c, ok := c.(command.CommitRows); ok && !lost && len(c.Rows) == 2 && c.Rows[1].Batch != nil {
			lost = true
			return fate{lost: true}
		}
		return fate{}
	}
	pull := w.pull(w.holder(), 1, 1, 1)
	w.run(2 * time.Second)
	require.True(t, lost)
	require.Equal(t, 1, w.lot(t, pull).Attempt)
	golden(t, w)
}

// TestSessionTwoHosts guards against different lots for one step when two entry
// hosts ask for it.
func TestSessionTwoHosts(t *testing.T) {
	w := start(t, 1, spec("g1", 1), spec("g2", 1))
	w.run(1500 * time.Millisecond)
	a, b := w.pull(w.holder(), 1, 1, 1), w.pull(w.holder(), 1, 1, 1)
	w.run(time.Second)
	require.Equal(t, w.lot(t, a).ID(), w.lot(t, b).ID())
	require.Equal(t, w.lot(t, a).Groups, w.lot(t, b).Groups)
	golden(t, w)
}

// TestSessionLateLot guards against the delivery of a lot that became too stale
// while its texts were fetched.
func TestSessionLateLot(t *testing.T) {
	w := start(t, 1, spec("g1", 1), spec("g2", 1))
	w.run(1500 * time.Millisecond)
	n := w.holder()
	first := w.pull(n, 1, 1, 1)
	w.run(500 * time.Millisecond)
	require.Equal(t, "t/1/1", w.lot(t, first).ID())
	w.say("the trainer gives up and moves on to version 3")
	w.version = 3
	w.declare(n, 3)
	w.run(500 * time.Millisecond)
	late := w.confirm(n, 1, 1)
	w.run(100 * time.Millisecond)
	require.Equal(t, verdict.ReasonNotReady, w.answers[late].(command.AnswerConfirm).Failure.Reason)
	again := w.pull(n, 1, 3, 1)
	w.run(3 * time.Second)
	require.Equal(t, "t/1/2", w.lot(t, again).ID())
	require.True(t, w.lot(t, again).Fresh(3))
	old := w.pull(n, 1, 1, 1)
	w.run(200 * time.Millisecond)
	require.Equal(t, verdict.ReasonConflict, w.answers[old].(command.AnswerPull).Failure.Reason)
	golden(t, w)
}

// TestSessionAcknowledge guards against rows of delivered lots that stay, and
// against a pull of a step out of order.
func TestSessionAcknowledge(t *testing.T) {
	w := start(t, 1, spec("g1", 1), spec("g2", 1))
	w.run(1500 * time.Millisecond)
	n := w.holder()
	w.pull(n, 1, 1, 1)
	w.run(500 * time.Millisecond)
	wrong := w.pull(n, 3, 1, 1)
	next := w.pull(n, 2, 1, 1)
	w.run(time.Second)
	require.Equal(t, verdict.ReasonConflict, w.answers[wrong].(command.AnswerPull).Failure.Reason)
	require.Equal(t, []string{"g2"}, w.lot(t, next).Groups)
	require.NotContains(t, w.store.Keys(), ledger.GroupKey("t", "g1"))
	require.NotContains(t, w.store.Keys(), ledger.SampleKey("t", "g1", 1, 0))
	require.NotContains(t, w.store.Keys(), ledger.BatchKey("t", 1, 1))
	golden(t, w)
}

// TestSessionSubmitRepeated guards against groups that are generated twice when
// a submission is repeated after a lost answer.
func TestSessionSubmitRepeated(t *testing.T) {
	w := start(t, 1, spec("g1", 1))
	lost := false
	w.fate = func(_ *node, c command.Command) fate {
		if c, ok := c.(command.CommitRows); ok && !lost && len(c.Rows) == 2 && c.Rows[1].Group != nil {
			lost = true
			return fate{lost: true}
		}
		return fate{}
	}
	again := w.submit(w.holder(), spec("g1", 1), spec("g2", 1))
	w.run(2 * time.Second)
	require.True(t, lost)
	require.Equal(t, []string{"g1", "g2"}, w.answers[again].(command.AnswerSubmit).Accepted)
	require.Equal(t, 2, w.holder().t.Groups.Len())
	golden(t, w)
}

// TestSessionStraggler guards against a group that waits for one slow sample,
// and against a second row for the sample when both requests end.
func TestSessionStraggler(t *testing.T) {
	w := newWorld(1)
	n := w.nodes[0]
	engine, _ := n.t.Backends.Upsert("m1")
	*engine = table.Backend{Name: "m1", Kind: table.KindEngine, Model: "m", Report: plan.Report{Slots: 8}}
	w.fate = func(_ *node, c command.Command) fate {
		if c, ok := c.(command.GenerateSample); ok && c.Index == 3 && !c.Hedge {
			return fate{delay: 9 * time.Second}
		}
		return fate{}
	}
	w.run(3 * time.Second)
	w.submit(n, spec("g1", 4))
	pull := w.pull(n, 1, 1, 1)
	w.run(6 * time.Second)
	require.Len(t, w.lot(t, pull).Samples, 4)
	w.run(6 * time.Second)
	golden(t, w)
}

// TestSessionOutage guards against finished samples that are thrown away and
// generated again when the table service is down for longer than a lease.
func TestSessionOutage(t *testing.T) {
	w := start(t, 1, spec("g1", 2))
	n := w.holder()
	down := &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonStoreUnavailable}
	w.fate = func(_ *node, c command.Command) fate {
		if _, generated := c.(command.GenerateSample); generated {
			return fate{}
		}
		return fate{fail: down}
	}
	w.say("the table service is down")
	w.run(20 * time.Second)
	require.Nil(t, w.holder())
	refused := w.pull(n, 1, 1, 1)
	w.run(time.Second)
	require.Equal(t, verdict.ReasonNotHolder, w.answers[refused].(command.AnswerPull).Failure.Reason)
	w.say("the table service is back")
	w.fate = func(_ *node, c command.Command) fate {
		_, generated := c.(command.GenerateSample)
		require.False(t, generated, "a finished sample is generated again")
		return fate{}
	}
	w.run(3 * time.Second)
	pull := w.pull(n, 1, 1, 1)
	w.run(time.Second)
	require.Len(t, w.lot(t, pull).Samples, 2)
	golden(t, w)
}
