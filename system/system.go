// Package system contains the decision logic of the control loop. A system is a
// function that runs over the tables once per tick: it reads events, updates
// rows and emits commands. It reads no clock, generates no random numbers,
// starts no goroutine and does no I/O, so the same sequence of events always
// produces the same commands.
package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// System is called once per tick. now is the monotonic time since process start.
type System func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox)

// Named is a system with the name under which it appears in metrics and
// recorded sessions.
type Named struct {
	Name string
	Run  System
}
