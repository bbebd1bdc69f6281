package system_test

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// entryLoop is the control loop of an entry host in simulated time.
type entryLoop struct {
	loop         *control.Loop
	now          time.Duration
	in           []event.Event
	list         event.HostListRead
	polls, ticks int

	plan    *plan.Plan // newest
	leaving string     // server that reports that it is leaving
	states  int        // polls of state
	stateAt map[string]time.Duration
	longest time.Duration // between two polls of the same server
}

func newEntryLoop(backends int) *entryLoop {
	return &entryLoop{list: listOf(backends), loop: control.NewLoop(control.Options{
		Tables: table.New(table.Self{ID: "entry-1", Host: "entry-1", Zone: "a", Role: table.RoleEntry}),
		Systems: []system.Named{
			{Name: "membership", Run: system.Membership(time.Second)},
			{Name: "load", Run: system.Load(500 * time.Millisecond)},
			{Name: "departure", Run: system.Departure()},
			{Name: "ejection", Run: system.Ejection()},
			{Name: "classes", Run: system.Classes()},
			{Name: "prefixes", Run: system.Prefixes()},
			{Name: "routing", Run: system.Routing(system.RoutingOptions{})},
		},
	})}
}

func (l *entryLoop) run(d time.Duration) {
	for end := l.now + d; l.now < end; l.ticks++ {
		commands, next := l.loop.Step(l.now, l.in)
		l.in = l.in[:0]
		for _, c := range commands {
			l.answer(c)
		}
		if len(l.in) > 0 {
			next = min(next, l.now+control.MinTick)
		}
		l.now = next
	}
}

func (l *entryLoop) answer(c command.Command) {
	l.note(c)
	switch c := c.(type) {
	case command.ReadHostList:
		l.in = append(l.in, l.list)
	case command.ReadState:
		l.polls++
		l.in = append(l.in, l.report(c.Backend))
	case command.ReadCacheEvents:
		l.polls++
		l.in = append(l.in, event.CacheReported{Backend: c.Backend})
	}
}
