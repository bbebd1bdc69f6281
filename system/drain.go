package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// Drain controls the graceful shutdown of this process. Readiness is cleared
// immediately, but new requests are still accepted during delay, because the
// load balancer needs that long to notice. A repeated drain request has no effect.
func Drain(delay time.Duration) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			if _, ok := e.(event.DrainRequested); ok && !t.Self.Draining {
				t.Self.Draining, t.Self.RefuseFrom = true, now+delay
				out.Add(command.SetReady{Ready: false})
				out.Add(command.LogChange{Message: "drain started"})
			}
		}
		if !t.Self.Draining || t.Self.Refusing {
			return
		}
		if now < t.Self.RefuseFrom {
			out.WakeAt(t.Self.RefuseFrom)
			return
		}
		t.Self.Refusing = true
		out.Add(command.LogChange{Message: "new requests are refused; waiting for requests in flight"})
	}
}
