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

// batch returns the batch with which a pull was answered.
func (w *world) batch(t require.TestingT, id string) *ledger.BatchRecord {
	answer, ok := w.answers[id].(command.AnswerPull)
	require.True(t, ok, "pull %s is not answered", id)
	require.Nil(t, answer.Failure, "pull %s", id)
	return answer.Batch
}

func golden(t *testing.T, w *world) {
	t.Helper()
	goldie.New(t, goldie.WithFixtureDir("testdata/sessions")).Assert(t, t.Name(), []byte(w.log.String()))
}

// startWorld runs a new world until a controller holds the partition and has
// accepted the groups.
func startWorld(t *testing.T, controllers int, specs ...ledger.GroupSpec) *world {
	t.Helper()
	w := newWorld(controllers)
	w.run(3 * time.Second)
	require.NotNil(t, w.holder())
	id := w.submit(w.holder(), specs...)
	w.run(200 * time.Millisecond)
	require.Contains(t, w.answers, id)
	return w
}

// TestSessionTakeOver guards against samples that are lost or delivered twice when
// a holder dies after samples have finished and before it freezes a batch.
func TestSessionTakeOver(t *testing.T) {
	w := startWorld(t, 2, spec("g1", 2), spec("g2", 2))
	w.run(1200 * time.Millisecond)
	first := w.holder()
	w.logf("%s dies", first.id)
	first.dead = true
	w.run(12 * time.Second)
	require.NotNil(t, w.holder())
	pull := w.pull(w.holder(), 1, 1, 2)
	w.run(2 * time.Second)
	require.Len(t, w.batch(t, pull).Samples, 4)
	golden(t, w)
}

// TestSessionPausedHolder guards against decisions under a lease that expired while
// the process was suspended, and against a delayed write of that holder.
func TestSessionPausedHolder(t *testing.T) {
	w := startWorld(t, 2, spec("g1", 2))
	w.run(1500 * time.Millisecond)
	first := w.holder()
	w.outcome = func(n *node, c command.Command) outcome {
		if c, ok := c.(command.CommitRows); ok && n == first && len(c.Rows) == 2 && c.Rows[1].Batch != nil {
			return outcome{delay: 15 * time.Second}
		}
		return outcome{}
	}
	w.pull(first, 1, 1, 1)
	w.run(100 * time.Millisecond)
	w.logf("%s is stopped; its freeze is delayed", first.id)
	first.paused = true
	w.run(13 * time.Second)
	second := w.holder()
	require.NotNil(t, second)
	pull := w.pull(second, 1, 1, 1)
	w.run(5 * time.Second)
	w.logf("%s resumes", first.id)
	first.paused = false
	stale := w.confirm(first, 1, 1)
	w.run(time.Second)
	require.Equal(t, 1, w.batch(t, pull).Attempt)
	require.Equal(t, verdict.ReasonNotHolder, w.answers[stale].(command.AnswerConfirm).Failure.Reason)
	require.Equal(t, uint64(2), w.store.Leases()[0].Fence)
	golden(t, w)
}

// TestSessionFreezeAnswerLost guards against a second batch for the step when the
// freeze was committed but its answer was lost.
func TestSessionFreezeAnswerLost(t *testing.T) {
	w := startWorld(t, 1, spec("g1", 2), spec("g2", 2))
	w.run(1500 * time.Millisecond)
	lost := false
	w.outcome = func(_ *node, c command.Command) outcome {
		if c, ok := c.(command.CommitRows); ok && !lost && len(c.Rows) == 2 && c.Rows[1].Batch != nil {
			lost = true
			return outcome{lost: true}
		}
		return outcome{}
	}
	pull := w.pull(w.holder(), 1, 1, 1)
	w.run(2 * time.Second)
	require.True(t, lost)
	require.Equal(t, 1, w.batch(t, pull).Attempt)
	golden(t, w)
}

// TestSessionTwoHosts guards against different batches for one step when two entry
// hosts request it.
func TestSessionTwoHosts(t *testing.T) {
	w := startWorld(t, 1, spec("g1", 1), spec("g2", 1))
	w.run(1500 * time.Millisecond)
	a, b := w.pull(w.holder(), 1, 1, 1), w.pull(w.holder(), 1, 1, 1)
	w.run(time.Second)
	require.Equal(t, w.batch(t, a).ID(), w.batch(t, b).ID())
	require.Equal(t, w.batch(t, a).Groups, w.batch(t, b).Groups)
	golden(t, w)
}

// TestSessionLateBatch guards against the delivery of a batch that became too stale
// while its texts were being fetched.
func TestSessionLateBatch(t *testing.T) {
	w := startWorld(t, 1, spec("g1", 1), spec("g2", 1))
	w.run(1500 * time.Millisecond)
	n := w.holder()
	first := w.pull(n, 1, 1, 1)
	w.run(500 * time.Millisecond)
	require.Equal(t, "t/1/1", w.batch(t, first).ID())
	w.logf("the trainer gives up and moves on to version 3")
	w.version = 3
	w.declare(n, 3)
	w.run(500 * time.Millisecond)
	late := w.confirm(n, 1, 1)
	w.run(100 * time.Millisecond)
	require.Equal(t, verdict.ReasonNotReady, w.answers[late].(command.AnswerConfirm).Failure.Reason)
	again := w.pull(n, 1, 3, 1)
	w.run(3 * time.Second)
	require.Equal(t, "t/1/2", w.batch(t, again).ID())
	require.True(t, w.batch(t, again).Fresh(3))
	old := w.pull(n, 1, 1, 1)
	w.run(200 * time.Millisecond)
	require.Equal(t, verdict.ReasonConflict, w.answers[old].(command.AnswerPull).Failure.Reason)
	golden(t, w)
}

// TestSessionAcknowledge guards against rows of delivered batches that are never
// deleted, and against a pull of a step out of order.
func TestSessionAcknowledge(t *testing.T) {
	w := startWorld(t, 1, spec("g1", 1), spec("g2", 1))
	w.run(1500 * time.Millisecond)
	n := w.holder()
	w.pull(n, 1, 1, 1)
	w.run(500 * time.Millisecond)
	wrong := w.pull(n, 3, 1, 1)
	next := w.pull(n, 2, 1, 1)
	w.run(time.Second)
	require.Equal(t, verdict.ReasonConflict, w.answers[wrong].(command.AnswerPull).Failure.Reason)
	require.Equal(t, []string{"g2"}, w.batch(t, next).Groups)
	require.NotContains(t, w.store.Keys(), ledger.GroupKey("t", "g1"))
	require.NotContains(t, w.store.Keys(), ledger.SampleKey("t", "g1", 1, 0))
	require.NotContains(t, w.store.Keys(), ledger.BatchKey("t", 1, 1))
	golden(t, w)
}

// TestSessionSubmitRepeated guards against groups that are generated twice when
// a submission is repeated after a lost answer.
func TestSessionSubmitRepeated(t *testing.T) {
	w := startWorld(t, 1, spec("g1", 1))
	lost := false
	w.outcome = func(_ *node, c command.Command) outcome {
		if c, ok := c.(command.CommitRows); ok && !lost && len(c.Rows) == 2 && c.Rows[1].Group != nil {
			lost = true
			return outcome{lost: true}
		}
		return outcome{}
	}
	again := w.submit(w.holder(), spec("g1", 1), spec("g2", 1))
	w.run(2 * time.Second)
	require.True(t, lost)
	require.Equal(t, []string{"g1", "g2"}, w.answers[again].(command.AnswerSubmit).Accepted)
	require.Equal(t, 2, w.holder().t.Groups.Len())
	golden(t, w)
}

// TestSessionStraggler guards against a group that waits for one slow sample, and
// against a second row for the sample when both of its requests succeed.
func TestSessionStraggler(t *testing.T) {
	w := newWorld(1)
	n := w.nodes[0]
	engine, _ := n.t.Backends.Upsert("m1")
	*engine = table.Backend{Name: "m1", Kind: table.KindEngine, Model: "m", Report: plan.Report{Slots: 8}}
	w.outcome = func(_ *node, c command.Command) outcome {
		if c, ok := c.(command.GenerateSample); ok && c.Index == 3 && !c.Hedge {
			return outcome{delay: 9 * time.Second}
		}
		return outcome{}
	}
	w.run(3 * time.Second)
	w.submit(n, spec("g1", 4))
	pull := w.pull(n, 1, 1, 1)
	w.run(6 * time.Second)
	require.Len(t, w.batch(t, pull).Samples, 4)
	w.run(6 * time.Second)
	golden(t, w)
}

// TestSessionOutage guards against finished samples that are discarded and
// generated again when the table service is down for longer than the lease TTL.
func TestSessionOutage(t *testing.T) {
	w := startWorld(t, 1, spec("g1", 2))
	n := w.holder()
	down := &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonStoreUnavailable}
	w.outcome = func(_ *node, c command.Command) outcome {
		if _, generated := c.(command.GenerateSample); generated {
			return outcome{}
		}
		return outcome{fail: down}
	}
	w.logf("the table service is down")
	w.run(20 * time.Second)
	require.Nil(t, w.holder())
	refused := w.pull(n, 1, 1, 1)
	w.run(time.Second)
	require.Equal(t, verdict.ReasonNotHolder, w.answers[refused].(command.AnswerPull).Failure.Reason)
	w.logf("the table service is back")
	w.outcome = func(_ *node, c command.Command) outcome {
		_, generated := c.(command.GenerateSample)
		require.False(t, generated, "a finished sample is generated again")
		return outcome{}
	}
	w.run(3 * time.Second)
	pull := w.pull(n, 1, 1, 1)
	w.run(time.Second)
	require.Len(t, w.batch(t, pull).Samples, 2)
	golden(t, w)
}
