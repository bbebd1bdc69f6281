// Package command holds the typed outputs of systems. A command describes work for an
// executor. It holds no connection and no encoded message.
package command

import "time"

// Command is an output of the control loop. Its name is used in counters, limits and
// recorded sessions.
type Command interface{ Name() string }

// Outbox collects the commands of one tick and the time of the next one.
type Outbox struct {
	commands []Command
	wakeAt   time.Duration // earliest time given to WakeAt
	wake     bool          // wakeAt is set
}

// Add appends a command.
func (o *Outbox) Add(c Command) { o.commands = append(o.commands, c) }

// WakeAt requests a tick no later than t, a monotonic offset from process start.
func (o *Outbox) WakeAt(t time.Duration) {
	if !o.wake || t < o.wakeAt {
		o.wakeAt, o.wake = t, true
	}
}

// Deadline returns the earliest time given to WakeAt. ok is false if there is none.
func (o *Outbox) Deadline() (t time.Duration, ok bool) { return o.wakeAt, o.wake }

// Take returns the commands and empties the outbox, including its deadline.
func (o *Outbox) Take() []Command {
	commands := o.commands
	o.commands, o.wake = nil, false
	return commands
}

// Count adds Delta to a counter. Systems use it to report refusals, retries and changes
// of state. Tags are the labels of the counter.
type Count struct {
	Counter string
	Tags    map[string]string
	Delta   int64
}

// Name implements Command.
func (Count) Name() string { return "count" }

// LogChange writes a log line about a change of state.
type LogChange struct {
	Message string
	Fields  []Field
}

// Field is a name and value pair of a log line.
type Field struct{ Key, Value string }

// Name implements Command.
func (LogChange) Name() string { return "log_change" }
