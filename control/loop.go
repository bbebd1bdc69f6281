// Package control runs the control loop of a process. One goroutine owns all tables. In
// each tick it collects events, runs the systems over the tables in a fixed order and
// passes their commands to an executor.
package control

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// Limits of a tick.
const (
	// MinTickInterval is the minimum time between the starts of two ticks. It lets the loop
	// handle many events of a burst in one tick.
	MinTickInterval = 5 * time.Millisecond
	// MaxTickInterval is the maximum time between two ticks, unless
	// Options.MaxTickInterval replaces it.
	MaxTickInterval = 100 * time.Millisecond
	// MaxEventsPerTick is the maximum number of events handled in one tick.
	MaxEventsPerTick = 4096
)

// Executor runs commands. Execute must not block. It starts or queues the work, and the
// result returns to the loop as an event.
type Executor interface {
	Execute(c command.Command)
}

// Loop is the control loop of one process.
type Loop struct {
	tables          *table.Tables
	systems         []system.Named
	inbox           *Inbox
	executor        Executor
	clock           func() time.Duration
	observeDuration func(name string, took time.Duration)
	maxTickInterval time.Duration

	out    command.Outbox
	events []event.Event
}

// Options configures a Loop. Clock returns the monotonic time since process start.
// ObserveDuration, if set, is called with the duration of each tick under the name "tick".
// A MaxTickInterval other than 0 replaces the constant MaxTickInterval.
type Options struct {
	Tables          *table.Tables
	Systems         []system.Named
	Inbox           *Inbox
	Executor        Executor
	Clock           func() time.Duration
	ObserveDuration func(name string, took time.Duration)
	MaxTickInterval time.Duration
}

// NewLoop returns a loop. It becomes the only user of the tables.
func NewLoop(o Options) *Loop {
	if o.MaxTickInterval == 0 {
		o.MaxTickInterval = MaxTickInterval
	}
	return &Loop{
		maxTickInterval: o.MaxTickInterval,
		tables:          o.Tables,
		systems:         o.Systems,
		inbox:           o.Inbox,
		executor:        o.Executor,
		clock:           o.Clock,
		observeDuration: o.ObserveDuration,
	}
}

// Step runs every system once. It returns their commands and the time of the next tick.
// Step is a whole tick except for waiting and for executing the commands, so that a
// Session can run the systems without a goroutine.
func (l *Loop) Step(now time.Duration, in []event.Event) (commands []command.Command, next time.Duration) {
	for _, s := range l.systems {
		s.Run(now, l.tables, in, &l.out)
	}
	next = now + l.maxTickInterval
	if deadline, ok := l.out.Deadline(); ok {
		next = min(next, max(deadline, now+MinTickInterval))
	}
	return l.out.Take(), next
}

// Run runs ticks until ctx ends. It always returns nil.
func (l *Loop) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if !l.wait(ctx, timer) {
			return nil
		}
		started := l.clock()
		commands, next := l.Step(started, l.events)
		l.execute(commands)
		ended := l.clock()
		if l.observeDuration != nil {
			l.observeDuration("tick", ended-started)
		}
		l.pause(ctx, started+MinTickInterval-ended)
		timer.Reset(max(0, next-l.clock()))
	}
}

func (l *Loop) execute(commands []command.Command) {
	for _, c := range commands {
		l.executor.Execute(c)
	}
}

// wait blocks until the timer fires or an event arrives. It then collects up to
// MaxEventsPerTick events from the inbox. It returns false if ctx ended.
func (l *Loop) wait(ctx context.Context, timer *time.Timer) bool {
	clear(l.events)
	l.events = l.events[:0]
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case e := <-l.inbox.events:
		l.events = append(l.events, e)
	}
	for len(l.events) < MaxEventsPerTick {
		select {
		case e := <-l.inbox.events:
			l.events = append(l.events, e)
			continue
		default:
		}
		break
	}
	return true
}

// pause sleeps for d, so that the next tick handles several events. It returns early if
// ctx ends.
func (l *Loop) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
