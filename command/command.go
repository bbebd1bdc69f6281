// Package command holds the typed outputs of systems. A command names work for
// an executor; it holds no connection and no encoded message.
package command

import "time"

// Command is an output of the control loop. Name is used in counters, limits
// and sessions.
type Command interface{ Name() string }

// Outbox collects the commands and the next deadline of one tick.
type Outbox struct {
	commands []Command
	wakeAt   time.Duration
	wake     bool
}

// Add appends a command.
func (o *Outbox) Add(c Command) { o.commands = append(o.commands, c) }

// WakeAt asks for a tick no later than t, a monotonic offset.
func (o *Outbox) WakeAt(t time.Duration) {
	if !o.wake || t < o.wakeAt {
		o.wakeAt, o.wake = t, true
	}
}

// Deadline returns the earliest time given to WakeAt; ok is false without one.
func (o *Outbox) Deadline() (t time.Duration, ok bool) { return o.wakeAt, o.wake }

// Take returns the commands and empties the outbox.
func (o *Outbox) Take() []Command {
	commands := o.commands
	o.commands, o.wake = nil, false
	return commands
}

// Count adds to a counter. Systems report refusals, retries and changes of
// state with it; Tags are name and value pairs.
type Count struct {
	Counter string
	Tags    map[string]string
	Delta   int64
}

// Name implements Command.
func (Count) Name() string { return "count" }

// LogChange writes a log line for a change of state. Fields are name and value
// pairs.
type LogChange struct {
	Message string
	Fields  []Field
}

// Field is a name and value pair of a log line.
type Field struct{ Key, Value string }

// Name implements Command.
func (LogChange) Name() string { return "log_change" }
