package system_test

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	worldTick    = 50 * time.Millisecond
	worldLatency = 10 * time.Millisecond
	worldTimeout = time.Second
	// slowRead and slowCommit are the delays of a slow store: slowRead delays the
	// answer to a read, slowCommit delays a commit until after its sender's timeout.
	slowRead   = 1900 * time.Millisecond
	slowCommit = 6 * time.Second
	// startInterval is the time between the starts of two processes. It spreads
	// their polls over the poll interval.
	startInterval = 400 * time.Millisecond
	// maxOutdatedTime is the maximum time after the acceptance of a version for
	// which the design allows the previous version to be served.
	maxOutdatedTime = 10 * time.Second
)

var worldTiming = system.ConfigTiming{PollInterval: 2 * time.Second, ConfirmWithin: 8 * time.Second, ContactAfter: 3 * time.Second}

type configDelivery struct {
	at time.Duration
	e  event.Event
}

// configHost is the simulated process of a host. Its clock starts when the process starts.
type configHost struct {
	name           string
	started        time.Duration
	tables         *table.Tables
	systems        []system.System
	inbox          []configDelivery
	cutStore       bool
	side           int // hosts on different sides of a network partition cannot reach each other
	frozen         bool
	serving        string // state as last logged
	loseNextAnswer bool   // the store's next answer to a commit is lost
}

// configWorld simulates processes and a store that exchange messages, on one
// simulated clock.
type configWorld struct {
	now             time.Duration
	hosts           []*configHost
	down            bool
	version         uint64
	author          string
	accepted        map[uint64]time.Duration
	rows            map[string]event.HostRow
	replies         map[string]func(command.Command)
	calls           int
	log             strings.Builder
	messages        int // contacts sent
	slowStore       bool
	lateCommits     []func()        // commits in flight to a slow store
	lateCommitTimes []time.Duration // arrival times of lateCommits
}

func newConfigWorld(n int) *configWorld {
	w := &configWorld{version: 1, accepted: map[uint64]time.Duration{}, rows: map[string]event.HostRow{}, replies: map[string]func(command.Command){}}
	for i := range n {
		w.start(fmt.Sprintf("e%d", i+1))
		w.run(startInterval)
	}
	return w
}

func (w *configWorld) start(name string) *configHost {
	n := &configHost{name: name, started: w.now}
	n.tables = table.New(table.Self{ID: fmt.Sprintf("%s-%d", name, w.now), Host: name, Role: table.RoleEntry, Address: name})
	n.systems = []system.System{system.Hosts(15 * time.Second), system.Configuration(worldTiming)}
	w.hosts = append(w.hosts, n)
	return n
}

func (w *configWorld) printf(format string, args ...any) {
	fmt.Fprintf(&w.log, "%8.2f "+format+"\n", append([]any{w.now.Seconds()}, args...)...)
}

// run ticks every host until d has passed.
func (w *configWorld) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += worldTick {
		for len(w.lateCommits) > 0 && w.lateCommitTimes[0] <= w.now {
			w.lateCommits[0]()
			w.lateCommits, w.lateCommitTimes = w.lateCommits[1:], w.lateCommitTimes[1:]
		}
		for _, n := range w.hosts {
			if !n.frozen {
				w.tick(n)
			}
		}
	}
}

func (w *configWorld) tick(n *configHost) {
	sort.SliceStable(n.inbox, func(i, j int) bool { return n.inbox[i].at < n.inbox[j].at })
	var in []event.Event
	for len(n.inbox) > 0 && n.inbox[0].at <= w.now {
		in, n.inbox = append(in, n.inbox[0].e), n.inbox[1:]
	}
	var out command.Outbox
	for _, s := range n.systems {
		s(w.now-n.started, n.tables, in, &out)
	}
	for _, c := range out.Take() {
		w.execute(n, c)
	}
	c := &n.tables.Config
	state := "refuses"
	if c.Confirmed {
		state = fmt.Sprintf("serves version %d", c.Version)
	}
	if state != n.serving {
		w.printf("%s %s", n.name, state)
		n.serving = state
	}
}

func (w *configWorld) send(n *configHost, after time.Duration, e event.Event) {
	n.inbox = append(n.inbox, configDelivery{at: w.now + after, e: e})
}

var unreachable = &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonStoreUnavailable, Message: "not reachable"}

func (w *configWorld) execute(n *configHost, c command.Command) {
	storeDown := w.down || n.cutStore
	switch c := c.(type) {
	case command.ReadConfig:
		if storeDown {
			w.send(n, worldTimeout, event.ConfigRead{Failure: unreachable})
			return
		}
		delay := worldLatency
		if w.slowStore {
			delay = slowRead
		}
		w.send(n, delay, event.ConfigRead{Version: w.version, Body: configBody(w.version)})
	case command.ReadHostRows:
		w.readRows(n, storeDown)
	case command.WriteHostRow:
		w.writeRow(n, c, storeDown)
	case command.ContactHost:
		w.messages++
		w.call(n, c.Address, func(id string) event.Event { return event.ContactRequested{RequestID: id} },
			func(answer command.Command) event.Event {
				return event.ContactMade{HostID: c.HostID, Contact: answer.(command.AnswerContact).Contact}
			}, event.ContactMade{HostID: c.HostID, Failure: unreachable})
	case command.PrepareHost:
		w.call(n, c.Address, func(id string) event.Event {
			return event.PrepareRequested{RequestID: id, Change: c.RequestID, Version: c.Version}
		},
			func(answer command.Command) event.Event {
				return event.PrepareAnswered{RequestID: c.RequestID, HostID: c.HostID, Failure: answer.(command.AnswerPrepare).Failure}
			}, event.PrepareAnswered{RequestID: c.RequestID, HostID: c.HostID, Failure: unreachable})
	case command.WithdrawHost:
		if to := w.find(c.Address); to != nil && to.side == n.side {
			w.send(to, worldLatency, event.PrepareWithdrawn{Change: c.Change})
		}
	case command.AnnounceConfig:
		if to := w.find(c.Address); to != nil && to.side == n.side {
			w.send(to, worldLatency, event.ConfigAnnounced{Version: c.Version, Body: c.Body})
		}
	case command.CommitConfig:
		w.commit(n, c, storeDown)
	case command.AnswerContact:
		w.reply(c.RequestID, c)
	case command.AnswerPrepare:
		w.reply(c.RequestID, c)
	case command.AnswerConfigChange:
		w.answer(n, c)
	}
}

func (w *configWorld) answer(n *configHost, c command.AnswerConfigChange) {
	switch {
	case c.Failure != nil:
		w.printf("%s answers %s: %s %s", n.name, c.RequestID, c.Failure.Verdict, c.Failure.Reason)
	case c.Accepted:
		w.printf("%s answers %s: accepted as version %d", n.name, c.RequestID, c.Version)
	default:
		w.printf("%s answers %s: lost to version %d of %s", n.name, c.RequestID, c.Version, c.Author)
	}
}

func (w *configWorld) find(name string) *configHost {
	for i := len(w.hosts) - 1; i >= 0; i-- {
		if w.hosts[i].name == name {
			return w.hosts[i]
		}
	}
	return nil
}

// call sends a request to the host at an address and delivers its answer to n, or
// the failure after a timeout.
func (w *configWorld) call(n *configHost, address string, request func(string) event.Event, result func(command.Command) event.Event, failure event.Event) {
	to := w.find(address)
	if to == nil || to.side != n.side || to.frozen {
		w.send(n, worldTimeout, failure)
		return
	}
	w.calls++
	id := fmt.Sprintf("call-%d", w.calls)
	w.replies[id] = func(answer command.Command) {
		if to.side == n.side {
			w.send(n, worldLatency, result(answer))
		} else {
			w.send(n, worldTimeout, failure)
		}
	}
	w.send(to, worldLatency, request(id))
}

func (w *configWorld) reply(id string, c command.Command) {
	w.replies[id](c)
	delete(w.replies, id)
}

// change sends an operator's configuration change to a host.
func (w *configWorld) change(n *configHost, id string, expected uint64) {
	w.send(n, 0, event.ConfigChangeRequested{RequestID: id, ExpectedVersion: expected, Author: id, Body: configBody(expected + 1)})
}

// violation describes a process that has been serving an outdated version for too
// long. It returns an empty string if there is none.
func (w *configWorld) violation() string {
	for _, n := range w.hosts {
		c := &n.tables.Config
		if n.frozen || !c.Confirmed || w.now-n.started >= c.ConfirmedAt+worldTiming.ConfirmWithin {
			continue
		}
		for version, at := range w.accepted {
			if version > c.Version && w.now-at > maxOutdatedTime {
				return fmt.Sprintf("%s serves version %d at %v, version %d was accepted at %v", n.name, c.Version, w.now, version, at)
			}
		}
	}
	return ""
}

// configBody returns a configuration that contains its version.
func configBody(version uint64) plan.Config {
	return plan.Config{Policy: plan.PolicyConfig{MaxAheadGroups: int(version)}}
}
