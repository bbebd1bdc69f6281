package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Limits of the ejection of failing backend servers.
const (
	// ejectionThreshold is the number of consecutive failures after which a
	// backend is ejected. A single broken connection is common during a restart.
	ejectionThreshold = 3
	minEjectionPeriod = time.Second
	maxEjectionPeriod = 30 * time.Second
	// ejectionResetAfter is the time without an ejection after which the next
	// period starts at minEjectionPeriod again.
	ejectionResetAfter = time.Minute
	// maxEjectedDivisor limits the ejected backends to 1/maxEjectedDivisor of a
	// pool.
	maxEjectedDivisor = 2
)

// Ejection removes backend servers with consecutive failures from the routing
// plan for increasing periods. Afterwards it probes them, one request at a time,
// and readmits those that succeed.
func Ejection() System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			if ended, ok := e.(event.AttemptEnded); ok {
				applyAttempt(now, t, ended, out)
			}
		}
		if scanDue(now, &t.NextScans.Ejection, t.Backends.Len(), out) {
			startProbes(now, t, out)
		}
	}
}

func applyAttempt(now time.Duration, t *table.Tables, ended event.AttemptEnded, out *command.Outbox) {
	b := t.Backends.Find(ended.Backend)
	switch {
	case b == nil || b.EjectedUntil > 0: // unknown backend, or the attempt began before the ejection
	case ended.Reason == "":
		b.ConsecutiveFailures = 0
		if b.Probing {
			b.Probing = false
			out.Add(backendLogChange("backend server readmitted", b.Name))
		}
	case indicatesFault(ended.Reason):
		b.ConsecutiveFailures++
		if b.Probing || b.ConsecutiveFailures >= ejectionThreshold {
			eject(now, t, b, out)
		}
	}
}

// indicatesFault reports whether the reason indicates a fault of the server.
// Refusals, overload, deadlines and cancellations do not.
func indicatesFault(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonConnectFailed, verdict.ReasonConnectionLost, verdict.ReasonBackendFailed,
		verdict.ReasonBadAnswer, verdict.ReasonTruncatedAnswer, verdict.ReasonForeignAnswer, verdict.ReasonUnlabelled:
		return true
	default:
		return false
	}
}

func eject(now time.Duration, t *table.Tables, b *table.Backend, out *command.Outbox) {
	p := poolCounts(t)[poolOf(b)]
	wasProbing := 0
	if b.Probing {
		wasProbing = 1
	}
	if (p.unavailable-wasProbing+1)*maxEjectedDivisor > p.total {
		out.Add(command.Count{Counter: "ejections_withheld", Delta: 1})
		return
	}
	if now-b.LastEjected > ejectionResetAfter {
		b.Ejections = 0
	}
	period := min(minEjectionPeriod<<min(b.Ejections, 10), maxEjectionPeriod)
	b.Ejections++
	b.LastEjected, b.EjectedUntil, b.Probing, b.ConsecutiveFailures = now, now+period, false, 0
	out.Add(command.Count{Counter: "ejections", Delta: 1})
	out.Add(backendLogChange("backend server ejected", b.Name))
}

// startProbes starts probing the backends whose ejection period has ended. If
// more than half of a pool is ejected, which happens when other servers of the
// pool leave, it also probes those whose period ends next.
func startProbes(now time.Duration, t *table.Tables, out *command.Outbox) {
	anyEjected := false
	for _, b := range t.Backends.All() {
		if b.EjectedUntil > 0 && now >= b.EjectedUntil {
			b.EjectedUntil, b.Probing = 0, true
		}
		if b.EjectedUntil > 0 {
			anyEjected = true
			out.WakeAt(b.EjectedUntil)
		}
	}
	if !anyEjected {
		return
	}
	for pool, counts := range poolCounts(t) {
		for ; counts.ejected*maxEjectedDivisor > counts.total; counts.ejected-- {
			b := nextToProbe(t, pool)
			b.EjectedUntil, b.Probing = 0, true
		}
	}
}

// poolKey identifies the pool of interchangeable backends of a model or service.
type poolKey struct {
	kind  table.BackendKind
	model string
}

type poolCount struct{ total, ejected, unavailable int } // unavailable includes ejected and probing backends

func poolOf(b *table.Backend) poolKey { return poolKey{b.Kind, b.Model} }

func poolCounts(t *table.Tables) map[poolKey]poolCount {
	counts := make(map[poolKey]poolCount)
	for _, b := range t.Backends.All() {
		if b.Leaving() {
			continue
		}
		c := counts[poolOf(b)]
		c.total++
		if b.EjectedUntil > 0 {
			c.ejected++
		}
		if b.EjectedUntil > 0 || b.Probing {
			c.unavailable++
		}
		counts[poolOf(b)] = c
	}
	return counts
}

func nextToProbe(t *table.Tables, pool poolKey) *table.Backend {
	var next *table.Backend
	for _, b := range t.Backends.All() {
		if poolOf(b) == pool && !b.Leaving() && b.EjectedUntil > 0 && (next == nil || b.EjectedUntil < next.EjectedUntil) {
			next = b
		}
	}
	return next
}

func backendLogChange(message, backend string) command.LogChange {
	return command.LogChange{Message: message, Fields: []command.Field{{Key: "backend", Value: backend}}}
}
