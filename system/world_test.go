package system_test

import (
	"container/heap"
	"fmt"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// outcome describes how the world executes and answers a command.
type outcome struct {
	delay time.Duration // additional delay of the effect and the answer
	lost  bool          // the command takes effect, but the answer is a failure with MayHaveRun
	late  time.Duration // if set, the answer is a failure and the write takes effect after this time
	fail  *event.Failure
}

// world simulates controllers on a fake clock with an in-memory model of the table
// service, entry hosts and engines.
type world struct {
	now     time.Duration
	nodes   []*node
	queue   eventQueue
	order   int
	store   *standin.Rows
	version ledger.Version // version with which samples are generated
	outcome func(n *node, c command.Command) outcome
	// generated, if set, is called with each sample that an engine generates.
	generated func(ledger.SampleRecord)
	answers   map[string]command.Command
	log       strings.Builder
	calls     int
	options   system.LeaseOptions
	weights   []event.WeightsRow
}

type node struct {
	w       *world
	id      string
	t       *table.Tables
	systems []system.Named
	inbox   []event.Event
	wake    time.Duration
	paused  bool
	dead    bool
	ticks   int
}

type scheduledCall struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []scheduledCall

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].order < a[j].order)
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledCall)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

const (
	testLatency  = 20 * time.Millisecond
	testGenerate = time.Second
)

var testLease = system.LeaseOptions{Partitions: 1, TTL: 6 * time.Second, Margin: 2 * time.Second, OrderValidity: 2 * time.Second}

func newWorld(controllers int) *world { return newWorldOf(controllers, testLease) }

func newWorldOf(controllers int, o system.LeaseOptions) *world {
	w := &world{options: o, version: 1, answers: make(map[string]command.Command), store: standin.NewRows()}
	w.outcome = func(*node, command.Command) outcome { return outcome{} }
	for i := range controllers {
		w.addNode(fmt.Sprintf("c%d", i+1), controllers)
	}
	return w
}

func (w *world) addNode(id string, controllers int) {
	n := &node{w: w, id: id, systems: system.ControllerSystems(w.options)}
	n.t = table.New(table.Self{ID: id, Host: id, Zone: "a", Role: table.RoleController, Address: id + ":1"})
	for i := range controllers {
		peer := fmt.Sprintf("c%d", i+1)
		h, _ := n.t.Hosts.Upsert(peer)
		*h = table.Host{ID: peer, Role: table.RoleController, Zone: "a"}
	}
	for _, entry := range []string{"e1", "e2"} {
		h, _ := n.t.Hosts.Upsert(entry)
		*h = table.Host{ID: entry, Role: table.RoleEntry, Zone: "a", Address: entry + ":1"}
	}
	n.t.Config.Body.Trainers = map[string]plan.TrainerConfig{"t": {Model: "m", Class: "rollout"}}
	scorer, _ := n.t.Backends.Upsert("s1")
	*scorer = table.Backend{Name: "s1", Kind: table.KindScoring, Model: "judge", Address: "s1:1"}
	w.nodes = append(w.nodes, n)
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, scheduledCall{at: w.now + d, order: w.order, run: run})
}

// run advances the clock by d. It ticks each controller that has events or whose
// wake time has been reached.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for w.now < end {
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			heap.Pop(&w.queue).(scheduledCall).run()
		}
		for _, n := range w.nodes {
			n.tick()
		}
		w.now += 5 * time.Millisecond
	}
}

func (n *node) tick() {
	if n.paused || n.dead || (len(n.inbox) == 0 && n.w.now < n.wake) {
		return
	}
	n.ticks++
	var out command.Outbox
	in := n.inbox
	n.inbox = nil
	for _, e := range in {
		n.w.record(n.id+" <- ", describeEvent(e))
	}
	for _, s := range n.systems {
		s.Run(n.w.now, n.t, in, &out)
	}
	n.wake = n.w.now + 100*time.Millisecond
	if at, ok := out.Deadline(); ok {
		n.wake = min(n.wake, at)
	}
	for _, c := range out.Take() {
		n.w.record(n.id+" -> ", describeCommand(c))
		n.w.execute(n, c)
	}
}

func (w *world) record(who, what string) {
	if what != "" {
		fmt.Fprintf(&w.log, "%9.3f %s%s\n", w.now.Seconds(), who, what)
	}
}

// logf adds a line of the test itself to the log of the session.
func (w *world) logf(format string, args ...any) { w.record("** ", fmt.Sprintf(format, args...)) }

func (w *world) execute(n *node, c command.Command) {
	if id, ok := answerID(c); ok {
		w.answers[id] = c
		return
	}
	f := w.outcome(n, c)
	sent := w.now
	delay := testLatency + f.delay
	if _, ok := c.(command.GenerateSample); ok {
		delay = testGenerate + f.delay
	}
	if f.late > 0 {
		w.after(f.late, func() { w.perform(c, sent, outcome{}) })
		f.fail = errLost
	}
	w.after(delay, func() {
		e := w.perform(c, sent, f)
		if e != nil && !n.dead {
			n.inbox = append(n.inbox, e)
		}
	})
}

var errLost = &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}

func (w *world) perform(c command.Command, sent time.Duration, f outcome) event.Event {
	fail := f.fail
	if f.lost {
		fail = errLost
	}
	switch c := c.(type) {
	case command.ReadLeases:
		return event.LeasesRead{Rows: w.store.Leases(), Failure: fail}
	case command.WriteLease:
		if f.fail != nil {
			return event.LeaseWritten{Row: c.Row, Failure: fail}
		}
		row, ok := w.store.WriteLease(c.Row)
		return event.LeaseWritten{Row: row, Committed: ok && fail == nil, SentAt: sent, Failure: fail}
	case command.LoadTrainer:
		loaded := w.store.Load(c.Trainer)
		loaded.Failure = fail
		return loaded
	case command.CommitRows:
		if f.fail != nil {
			return event.RowsCommitted{ID: c.ID, Failure: fail}
		}
		versions, ok := w.store.Commit(c.Rows)
		if f.lost {
			return event.RowsCommitted{ID: c.ID, Failure: fail}
		}
		return event.RowsCommitted{ID: c.ID, Committed: ok, Versions: versions}
	case command.GenerateSample:
		return event.SampleGenerated{Trainer: c.Trainer, EntryID: c.EntryID, Failure: fail, Took: w.now - sent, Record: w.generate(c)}
	case command.ScoreGroup:
		return event.GroupScored{Trainer: c.Trainer, Group: c.Spec.ID, Attempt: c.Attempt, Scores: make([]float64, len(c.Samples)), Failure: fail}
	case command.ReadWeights:
		return event.WeightsRead{Rows: w.weights, Failure: fail}
	case command.OrderWeights:
		return event.OrderAnswered{Backend: c.Backend, Model: c.Wanted.Model, Failure: fail}
	}
	return nil
}

func (w *world) generate(c command.GenerateSample) ledger.SampleRecord {
	w.calls++
	r := ledger.SampleRecord{
		Group: c.Spec.ID, Index: c.Index, Attempt: c.Attempt, Tokens: 4, Backend: c.EntryID,
		Ranges:    []ledger.Range{{From: 0, To: 4, Version: w.version}},
		ObjectKey: fmt.Sprintf("o%d", w.calls),
	}
	if w.generated != nil {
		w.generated(r)
	}
	return r
}

// call delivers a request to a node and returns its request id.
func (w *world) call(n *node, make func(id string) event.Event) string {
	w.calls++
	id := fmt.Sprintf("r%d", w.calls)
	n.inbox = append(n.inbox, make(id))
	return id
}

func (w *world) holder() *node {
	for _, n := range w.nodes {
		if p := n.t.Partitions.Find("0"); p != nil && p.Held && !n.dead && !n.paused {
			return n
		}
	}
	return nil
}
