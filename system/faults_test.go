package system_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// trainerModel simulates a trainer. It pulls and confirms batches through any
// controller, as the interface requires of a trainer, and checks what it receives.
type trainerModel struct {
	t                 *rapid.T
	w                 *world
	step              int64 // last step received
	version           ledger.Version
	generatedVersions map[string]ledger.Version // by object key
	delivered         map[string]int64          // step by group
	pull              string                    // request id of the pull, empty if there is none
	confirm           string                    // request id of the confirmation, empty if there is none
	batch             *ledger.BatchRecord
	pullSentAt        time.Duration // when the pull was sent
}

// pullRetryTimeout is the time after which the trainer repeats a pull that was not
// answered, for example because the controller died.
const pullRetryTimeout = 25 * time.Second

// advance lets the trainer and its entry host process the answers and send the next
// request.
func (m *trainerModel) advance(n *node) {
	if m.pull != "" && m.w.now > m.pullSentAt+pullRetryTimeout {
		m.pull, m.confirm = "", ""
	}
	if answer, ok := m.w.answers[m.confirm].(command.AnswerConfirm); ok {
		m.confirm, m.pull = "", ""
		if answer.Failure == nil && rapid.IntRange(0, 9).Draw(m.t, "answer reaches the trainer") > 0 {
			m.receive()
		}
		return
	}
	if m.confirm != "" {
		return
	}
	if m.pull == "" {
		m.pullSentAt = m.w.now
		m.pull = m.w.pull(n, m.step+1, m.version, 2)
		return
	}
	answer, ok := m.w.answers[m.pull].(command.AnswerPull)
	switch {
	case !ok:
	case answer.Failure != nil:
		require.NotEqual(m.t, verdict.ReasonBadRequest, answer.Failure.Reason)
		m.pull = ""
	default:
		m.batch = answer.Batch
		m.confirm = m.w.confirm(n, m.batch.Step, m.batch.Attempt)
	}
}

// receive checks exactly-once delivery, the staleness bound and the version labels
// of the batch, and moves on to its step.
func (m *trainerModel) receive() {
	require.Equal(m.t, m.step+1, m.batch.Step)
	for _, g := range m.batch.Groups {
		require.NotContains(m.t, m.delivered, g, "group %s was delivered before", g)
		m.delivered[g] = m.batch.Step
	}
	for _, s := range m.batch.Samples {
		require.LessOrEqual(m.t, ledger.Staleness(s.Ranges, m.version), s.StalenessBound)
		require.Equal(m.t, m.generatedVersions[s.ObjectKey], ledger.Oldest(s.Ranges))
	}
	m.step++
}

// reconnect simulates a trainer that lost its connection: it declares a new version
// and later pulls the same step again.
func (m *trainerModel) reconnect(n *node) {
	m.pull, m.confirm = "", ""
	m.version++
	m.w.version = m.version
	m.w.declare(n, m.version)
}

// TestDeliveryUnderFaults checks exactly-once delivery, the staleness bound and
// correct version labels under lost answers, duplicated and failed results, delayed
// writes, pauses, crashes and takeovers in any order.
func TestDeliveryUnderFaults(t *testing.T) {
	rapid.Check(t, checkDelivery)
}

const testGroups = 12

func checkDelivery(t *rapid.T) {
	w := newWorld(3)
	m := &trainerModel{t: t, w: w, version: 1, generatedVersions: make(map[string]ledger.Version), delivered: make(map[string]int64)}
	faulty := true
	w.outcome = func(_ *node, c command.Command) outcome { return drawOutcome(t, c, faulty) }
	w.generated = func(r ledger.SampleRecord) { m.generatedVersions[r.ObjectKey] = w.version }
	var specs []ledger.GroupSpec
	for i := range testGroups {
		specs = append(specs, spec(fmt.Sprintf("g%d", i), 2))
	}
	w.run(3 * time.Second)
	for _, n := range w.nodes {
		w.submit(n, specs...)
	}
	for range 40 {
		injectControllerFault(t, w, m)
		w.run(time.Duration(rapid.IntRange(20, 1500).Draw(t, "ms")) * time.Millisecond)
		m.advance(w.nodes[rapid.IntRange(0, 2).Draw(t, "node")])
	}
	faulty = false
	for _, n := range w.nodes {
		n.paused = false
	}
	w.run(3 * time.Second)
	for _, n := range slices.Clone(w.nodes) {
		if n.t.Self.Draining {
			n.restart()
		}
	}
	for i := 0; len(m.delivered) < testGroups; i++ {
		require.Less(t, i, 600, "delivered only %v\n%s", m.delivered, logTail(w))
		if n := w.holder(); n != nil {
			resubmit(w, m, n, specs)
			m.advance(n)
		}
		w.run(300 * time.Millisecond)
	}
}

// resubmit repeats the submission if no group is known to the node and none was
// delivered.
func resubmit(w *world, m *trainerModel, n *node, specs []ledger.GroupSpec) {
	if len(m.delivered) > 0 || n.t.Groups.Len() > 0 {
		return
	}
	w.submit(n, specs...)
}

func logTail(w *world) string {
	s := w.log.String()
	return s[max(0, len(s)-6000):]
}

func injectControllerFault(t *rapid.T, w *world, m *trainerModel) {
	n := w.nodes[rapid.IntRange(0, 2).Draw(t, "faulty node")]
	switch rapid.IntRange(0, 9).Draw(t, "controller fault") {
	case 0, 1:
		n.paused = true
	case 2, 3, 4:
		n.paused = false
	case 5:
		m.reconnect(n)
	case 6:
		if w.hasOtherRunning(n) {
			n.restart()
		}
	case 7:
		n.inbox = append(n.inbox, event.DrainRequested{})
	}
}

// hasOtherRunning reports whether a controller other than n is running.
func (w *world) hasOtherRunning(n *node) bool {
	for _, other := range w.nodes {
		if other != n && !other.paused {
			return true
		}
	}
	return false
}

// restart ends the process and replaces it with a new one that has another id.
func (n *node) restart() {
	w := n.w
	n.dead = true
	w.calls++
	w.addNode(fmt.Sprintf("%s-%d", n.id, w.calls), 0)
	fresh := w.nodes[len(w.nodes)-1]
	fresh.wake = w.now
	for i := range w.nodes {
		if w.nodes[i] == n {
			w.nodes[i] = fresh
		}
	}
	w.nodes = w.nodes[:len(w.nodes)-1]
}

func drawOutcome(t *rapid.T, c command.Command, faulty bool) outcome {
	if !faulty {
		return outcome{}
	}
	switch c := c.(type) {
	case command.GenerateSample:
		return sampleOutcome(t, c)
	case command.CommitRows, command.WriteLease:
		switch rapid.IntRange(0, 19).Draw(t, "write") {
		case 0:
			return outcome{lost: true}
		case 1:
			return outcome{fail: &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonStoreUnavailable}}
		case 2:
			return outcome{late: time.Duration(rapid.IntRange(30, 9000).Draw(t, "late")) * time.Millisecond}
		case 3:
			return outcome{delay: time.Duration(rapid.IntRange(1, 15).Draw(t, "delay")) * time.Second}
		}
	}
	return outcome{}
}

func sampleOutcome(t *rapid.T, c command.GenerateSample) outcome {
	switch rapid.IntRange(0, 9).Draw(t, "sample") {
	case 0:
		return outcome{fail: &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}}
	case 1:
		return outcome{delay: time.Duration(c.Index+1) * 4 * time.Second}
	}
	return outcome{}
}
