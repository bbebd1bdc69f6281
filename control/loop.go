// Package control runs the systems: one goroutine owns every table, collects
// events, runs the systems in a fixed order and hands their commands to an
// executor.
package control

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// Limits of the tick rate.
const (
	// MinTick is the shortest time between two ticks, so that a burst of
	// events is handled in batches.
	MinTick = 5 * time.Millisecond
	// MaxTick is the longest time between two ticks.
	MaxTick = 100 * time.Millisecond
	// MaxBatch is the largest number of events in one tick.
	MaxBatch = 4096
)

// Executor runs commands. Execute must not block: it starts the work or queues
// it, and the result comes back as an event.
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
	maxTick         time.Duration

	out   command.Outbox
	batch []event.Event
}

// Options configure a Loop. Clock returns the monotonic offset from process
// start. ObserveDuration, if set, receives the duration of each tick and each system.
// MaxTick replaces the longest time between two ticks if it is set.
type Options struct {
	Tables          *table.Tables
	Systems         []system.Named
	Inbox           *Inbox
	Executor        Executor
	Clock           func() time.Duration
	ObserveDuration func(name string, took time.Duration)
	MaxTick         time.Duration
}

// NewLoop returns a loop. The tables belong to it from now on.
func NewLoop(o Options) *Loop {
	if o.MaxTick == 0 {
		o.MaxTick = MaxTick
	}
	return &Loop{
		maxTick:         o.MaxTick,
		tables:          o.Tables,
		systems:         o.Systems,
		inbox:           o.Inbox,
		executor:        o.Executor,
		clock:           o.Clock,
		observeDuration: o.ObserveDuration,
	}
}

// Step runs every system once and returns their commands and the time of the
// next tick. It is the whole of a tick apart from waiting and executing, which
// is what recorded sessions replay.
func (l *Loop) Step(now time.Duration, in []event.Event) (commands []command.Command, next time.Duration) {
	for _, s := range l.systems {
		s.Run(now, l.tables, in, &l.out)
	}
	next = now + l.maxTick
	if deadline, ok := l.out.Deadline(); ok {
		next = min(next, max(deadline, now+MinTick))
	}
	return l.out.Take(), next
}

// Run ticks until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if !l.wait(ctx, timer) {
			return nil
		}
		started := l.clock()
		commands, next := l.Step(started, l.batch)
		l.execute(commands)
		ended := l.clock()
		if l.observeDuration != nil {
			l.observeDuration("tick", ended-started)
		}
		l.pause(ctx, started+MinTick-ended)
		timer.Reset(max(0, next-l.clock()))
	}
}

func (l *Loop) execute(commands []command.Command) {
	for _, c := range commands {
		l.executor.Execute(c)
	}
}

// wait blocks until the timer fires or an event arrives, then collects what is
// in the inbox. It returns false when ctx has ended.
func (l *Loop) wait(ctx context.Context, timer *time.Timer) bool {
	clear(l.batch)
	l.batch = l.batch[:0]
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case e := <-l.inbox.events:
		l.batch = append(l.batch, e)
	}
	for len(l.batch) < MaxBatch {
		select {
		case e := <-l.inbox.events:
			l.batch = append(l.batch, e)
			continue
		default:
		}
		break
	}
	return true
}

// pause sleeps for d so that events collect; it returns early when ctx ends.
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
