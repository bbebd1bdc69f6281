package system

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/table"
)

// maxMissedPolls is the number of poll intervals without a report after which
// the last load report counts as stale. One lost report is common, five in a row
// are not.
const maxMissedPolls = 5

// maxStatePollInterval bounds the poll interval, which grows with the number of
// servers. A server that reports that it is leaving must get no new work after
// 5 s, and a weight rollout ignores reports older than that.
const maxStatePollInterval = 2 * time.Second

// LoadReports polls the state of every backend server and applies the reports.
// The poll interval is at least period and grows with the number of servers; the
// polls are spread over it. A backend whose reports stop is marked stale: routing
// then assumes that it is fully loaded.
func LoadReports(period time.Duration) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			if report, ok := e.(event.StateReported); ok {
				applyState(now, t, report, out)
			}
		}
		if !scanDue(now, &t.NextScans.Load, t.Backends.Len(), out) {
			return
		}
		interval := pollInterval(period, maxStatePollInterval, t.Backends.Len())
		for _, b := range t.Backends.All() {
			pollState(now, interval, b, out)
			markStale(now, interval, b, out)
		}
	}
}

func pollState(now, interval time.Duration, b *table.Backend, out *command.Outbox) {
	if b.StateNext == 0 {
		b.StateSince = now
		b.StateNext = now + pollOffset(b.Name, interval)
	}
	if now >= b.StateNext && !b.StatePending {
		b.StatePending = true
		b.StateNext += interval * (1 + (now-b.StateNext)/interval)
		b.RecordSent(now)
		out.Add(command.ReadState{Backend: b.Name, Address: b.Address})
	}
	if !b.StatePending {
		out.WakeAt(b.StateNext)
	}
}

// pollOffset returns an offset within the interval that depends only on the name, so
// that polls are not all sent at once. It is at least 1 ns, because 0 means not
// scheduled.
func pollOffset(name string, interval time.Duration) time.Duration {
	return 1 + time.Duration(xxhash.Sum64String(name)%uint64(max(interval, 1)))
}

func markStale(now, interval time.Duration, b *table.Backend, out *command.Outbox) {
	stale := now-max(b.ReportSeen, b.StateSince) > maxMissedPolls*interval
	if stale && !b.ReportStale {
		b.ReportStale = true
		out.Add(command.Count{Counter: "load_reports_stopped", Delta: 1})
		out.Add(command.LogChange{Message: "load reports stopped", Fields: []command.Field{{Key: "backend", Value: b.Name}}})
	}
}

func applyState(now time.Duration, t *table.Tables, report event.StateReported, out *command.Outbox) {
	b := t.Backends.Find(report.Backend)
	if b == nil {
		return
	}
	b.StatePending = false
	if report.Failure != nil {
		out.Add(command.Count{Counter: "load_reports_failed", Delta: 1})
		return
	}
	s := report.State
	age := time.Duration(s.AgeMS) * time.Millisecond
	if b.BootID != "" && b.BootID != s.BootID {
		resetAfterRestart(b, out)
	}
	b.BootID, b.ReportSeen, b.ReportStale = s.BootID, now, false
	b.ReportLeaving = s.Leaving
	b.RecordSent(now)
	b.SentAtReport = b.SentBy(now - age)
	b.Report = plan.Report{
		Running: s.Running, Queued: s.Queued, Slots: s.Slots, TokensPerSecond: s.TokensPerSecond, Age: age,
	}
	b.Active, b.Loading, b.LoadFailures, b.Fence = s.Active, s.Loading, s.LoadFailures, s.Fence
	if !slices.Equal(b.Loaded, s.Loaded) {
		b.Loaded = slices.Clone(s.Loaded)
	}
}

// resetAfterRestart discards what is known about the server's previous process.
// The new process has an empty cache, and the failures of the previous process do
// not apply to it.
func resetAfterRestart(b *table.Backend, out *command.Outbox) {
	b.Hints.Clear()
	b.CacheAfter = 0
	b.ConsecutiveFailures = 0
	out.Add(command.Count{Counter: "backend_restarts", Delta: 1})
	out.Add(command.LogChange{Message: "backend server restarted", Fields: []command.Field{{Key: "backend", Value: b.Name}}})
}
