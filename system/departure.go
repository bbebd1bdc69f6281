package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Departure tracks backend servers that refuse requests because they are
// leaving. The host list and the state reports are the other two sources of this
// information. Any one of the three removes a backend from the routing plan, and
// it returns only when all of them agree that it is live.
func Departure() System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			if ended, ok := e.(event.AttemptEnded); ok && ended.Reason == verdict.ReasonBackendLeaving {
				recordRefusal(now, t.Backends.Find(ended.Backend), out)
			}
		}
		if len(in) == 0 || !scanDue(now, &t.NextScans.Departure, t.Backends.Len(), out) {
			return
		}
		for _, b := range t.Backends.All() {
			clearRefusal(b, out)
		}
	}
}

func recordRefusal(now time.Duration, b *table.Backend, out *command.Outbox) {
	if b == nil {
		return
	}
	b.RefusedAt = now
	if !b.RefusedLeaving {
		b.RefusedLeaving = true
		out.Add(command.Count{Counter: "departures", Tags: map[string]string{"source": "connection"}, Delta: 1})
		out.Add(command.LogChange{Message: "backend server refuses work because it is leaving", Fields: []command.Field{{Key: "backend", Value: b.Name}}})
	}
}

// clearRefusal marks a backend as live again once the host list and a state
// report that are both newer than the refusal show it as live. The age of the
// report is subtracted, because a delayed report describes an earlier state.
func clearRefusal(b *table.Backend, out *command.Outbox) {
	if !b.RefusedLeaving || b.ListLeaving || b.ListMissing || b.ReportLeaving {
		return
	}
	if b.ListSeen > b.RefusedAt && b.ReportSeen-b.Report.Age > b.RefusedAt {
		b.RefusedLeaving = false
		out.Add(command.LogChange{Message: "backend server returned", Fields: []command.Field{{Key: "backend", Value: b.Name}}})
	}
}
