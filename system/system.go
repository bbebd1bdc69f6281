// Package system holds the decisions of the control loop. A system is a
// function over the tables: it reads events, changes rows and adds commands. It
// reads no clock, draws no random numbers of its own, starts no goroutine and
// does no I/O, so that the same events always give the same commands.
package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// System runs once per tick. now is the monotonic offset from process start.
type System func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox)

// Named is a system with the name that is used in metrics and sessions.
type Named struct {
	Name string
	Run  System
}
