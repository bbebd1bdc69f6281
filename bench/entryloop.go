package bench

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// EntryLoop runs the control loop of an entry host in simulated time, without
// requests. Each command is answered in the next tick.
type EntryLoop struct {
	Events     []event.Event // input of the next tick
	Plan       *plan.Plan    // newest published plan
	Polls      int           // number of polls of states and cache events
	StatePolls int           // number of polls of states
	Ticks      int
	// LastStatePoll, if not nil, records the time of the last poll of each server's
	// state. MaxPollInterval is then the longest time between two polls of the same
	// server.
	LastStatePoll   map[string]time.Duration
	MaxPollInterval time.Duration

	loop   *control.Loop
	now    time.Duration
	list   event.HostListRead
	report func(backend string, polls int) event.Event
}

// NewEntryLoop returns the loop of an entry host. list is the result of each read of
// the host list, and report returns the result of a poll of a server's state.
func NewEntryLoop(list event.HostListRead, report func(backend string, polls int) event.Event) *EntryLoop {
	return &EntryLoop{list: list, report: report, loop: control.NewLoop(control.Options{
		Tables: table.New(table.Self{ID: "entry-1", Host: "entry-1", Zone: "a", Role: table.RoleEntry}),
		Systems: []system.Named{
			{Name: "membership", Run: system.Membership(time.Second)},
			{Name: "load", Run: system.LoadReports(500 * time.Millisecond)},
			{Name: "departure", Run: system.Departure()},
			{Name: "ejection", Run: system.Ejection()},
			{Name: "classes", Run: system.Classes()},
			{Name: "prefixes", Run: system.Prefixes()},
			{Name: "routing", Run: system.Routing(system.RoutingOptions{})},
		},
	})}
}

// Run runs the loop for d of simulated time.
func (l *EntryLoop) Run(d time.Duration) {
	for end := l.now + d; l.now < end; l.Ticks++ {
		commands, next := l.loop.Step(l.now, l.Events)
		l.Events = l.Events[:0]
		for _, c := range commands {
			l.answer(c)
		}
		if len(l.Events) > 0 {
			next = min(next, l.now+control.MinTickInterval)
		}
		l.now = next
	}
}

// answer appends the event that answers a command, if there is one.
func (l *EntryLoop) answer(c command.Command) {
	switch c := c.(type) {
	case command.PublishPlan:
		l.Plan = c.Plan
	case command.ReadHostList:
		l.Events = append(l.Events, l.list)
	case command.ReadState:
		l.recordStatePoll(c.Backend)
		l.Polls++
		l.Events = append(l.Events, l.report(c.Backend, l.Polls))
	case command.ReadCacheEvents:
		l.Polls++
		l.Events = append(l.Events, event.CacheReported{Backend: c.Backend})
	}
}

func (l *EntryLoop) recordStatePoll(backend string) {
	l.StatePolls++
	if l.LastStatePoll == nil {
		return
	}
	if at, ok := l.LastStatePoll[backend]; ok {
		l.MaxPollInterval = max(l.MaxPollInterval, l.now-at)
	}
	l.LastStatePoll[backend] = l.now
}
