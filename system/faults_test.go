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

// trainerModel pulls and trains as the interface asks of a trainer, through any
// controller, and judges what it receives.
type trainerModel struct {
	t         *rapid.T
	w         *world
	step      int64 // held
	version   ledger.Version
	made      map[string]ledger.Version // by object key
	delivered map[string]int64          // step by group
	pull      string
	confirm   string
	lot       *ledger.BatchRecord
	since     time.Duration // of the pull
}

// trainerPatience is the time after which the trainer repeats a pull, for
// example because the controller died.
const trainerPatience = 25 * time.Second

// turn lets the trainer and its entry host react to what was answered.
func (m *trainerModel) turn(n *node) {
	if m.pull != "" && m.w.now > m.since+trainerPatience {
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
		m.since = m.w.now
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
		m.lot = answer.Batch
		m.confirm = m.w.confirm(n, m.lot.Step, m.lot.Attempt)
	}
}

// receive checks exactly-once delivery, the staleness bound and the labels.
func (m *trainerModel) receive() {
	require.Equal(m.t, m.step+1, m.lot.Step)
	for _, g := range m.lot.Groups {
		require.NotContains(m.t, m.delivered, g, "group %s was delivered before", g)
		m.delivered[g] = m.lot.Step
	}
	for _, s := range m.lot.Samples {
		require.LessOrEqual(m.t, ledger.Staleness(s.Ranges, m.version), s.StalenessBound)
		require.Equal(m.t, m.made[s.ObjectKey], ledger.Oldest(s.Ranges))
	}
	m.step++
}

// giveUp is a trainer that lost its connection: it declares a new version and
// will pull the same step again.
func (m *trainerModel) giveUp(n *node) {
	m.pull, m.confirm = "", ""
	m.version++
	m.w.version = m.version
	m.w.declare(n, m.version)
}

// TestDeliveryUnderFaults guards exactly-once delivery, the staleness bound and
// truthful labels against lost answers, duplicated and failed results, delayed
// writes, pauses, deaths and take-overs in any order.
func TestDeliveryUnderFaults(t *testing.T) {
	rapid.Check(t, checkDelivery)
}

const testGroups = 12

func checkDelivery(t *rapid.T) {
	w := newWorld(3)
	m := &trainerModel{t: t, w: w, version: 1, made: make(map[string]ledger.Version), delivered: make(map[string]int64)}
	faulty := true
	w.fate = func(_ *node, c command.Command) fate { return drawFate(t, c, faulty) }
	w.generated = func(r ledger.SampleRecord) { m.made[r.ObjectKey] = w.version }
	var specs []ledger.GroupSpec
	for i := range testGroups {
		specs = append(specs, spec(fmt.Sprintf("g%d", i), 2))
	}
	w.run(3 * time.Second)
	for _, n := range w.nodes {
		w.submit(n, specs...)
	}
	for range 40 {
		disturb(t, w, m)
		w.run(time.Duration(rapid.IntRange(20, 1500).Draw(t, "ms")) * time.Millisecond)
		m.turn(w.nodes[rapid.IntRange(0, 2).Draw(t, "node")])
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
		require.Less(t, i, 600, "delivered only %v\n%s", m.delivered, tail(w))
		if n := w.holder(); n != nil {
			resubmit(w, m, n, specs)
			m.turn(n)
		}
		w.run(300 * time.Millisecond)
	}
}

// resubmit repeats the submission of groups that are neither known nor delivered.
func resubmit(w *world, m *trainerModel, n *node, specs []ledger.GroupSpec) {
	if len(m.delivered) > 0 || n.t.Groups.Len() > 0 {
		return
	}
	w.submit(n, specs...)
}

func tail(w *world) string {
	s := w.log.String()
	return s[max(0, len(s)-6000):]
}

func disturb(t *rapid.T, w *world, m *trainerModel) {
	n := w.nodes[rapid.IntRange(0, 2).Draw(t, "disturbed")]
	switch rapid.IntRange(0, 9).Draw(t, "disturbance") {
	case 0, 1:
		n.paused = true
	case 2, 3, 4:
		n.paused = false
	case 5:
		m.giveUp(n)
	case 6:
		if w.others(n) {
			n.restart()
		}
	case 7:
		n.inbox = append(n.inbox, event.DrainRequested{})
	}
}

// others reports whether another controller runs.
func (w *world) others(n *node) bool {
	for _, other := range w.nodes {
		if other != n && !other.paused {
			return true
		}
	}
	return false
}

// restart replaces a process that died by a new one with another id.
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

func drawFate(t *rapid.T, c command.Command, faulty bool) fate {
	if !faulty {
		return fate{}
	}
	switch c := c.(type) {
	case command.GenerateSample:
		return fateOfSample(t, c)
	case command.CommitRows, command.WriteLease:
		switch rapid.IntRange(0, 19).Draw(t, "write") {
		case 0:
			return fate{lost: true}
		case 1:
			return fate{fail: &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonStoreUnavailable}}
		case 2:
			return fate{late: time.Duration(rapid.IntRange(30, 9000).Draw(t, "late")) * time.Millisecond}
		case 3:
			return fate{delay: time.Duration(rapid.IntRange(1, 15).Draw(t, "delay")) * time.Second}
		}
	}
	return fate{}
}

func fateOfSample(t *rapid.T, c command.GenerateSample) fate {
	switch rapid.IntRange(0, 9).Draw(t, "sample") {
	case 0:
		return fate{fail: &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}}
	case 1:
		return fate{delay: time.Duration(c.Index+1) * 4 * time.Second}
	}
	return fate{}
}
