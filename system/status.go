package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/table"
)

// Status publishes the status snapshot for operators: once per period, and
// immediately when the configuration version, readiness or drain state changes.
// It runs after the other systems.
func Status(period time.Duration) System {
	return func(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
		s := &t.Status
		changed := s.ConfigVersion != t.Config.Version || s.Ready != t.Config.Ready || s.Draining != t.Self.Draining
		if s.Published && !changed && now < s.Next {
			out.WakeAt(s.Next)
			return
		}
		*s = table.PublishedStatus{
			Published: true, Next: now + period,
			ConfigVersion: t.Config.Version, Ready: t.Config.Ready, Draining: t.Self.Draining,
		}
		out.Add(command.PublishStatus{Snapshot: snapshot(now, t)})
		out.WakeAt(s.Next)
	}
}

func snapshot(now time.Duration, t *table.Tables) *status.Snapshot {
	c := &t.Config
	s := &status.Snapshot{
		Process: status.Process{
			ID: t.Self.ID, Host: t.Self.Host, Zone: t.Self.Zone, Role: string(t.Self.Role),
			Ready: c.Ready, Draining: t.Self.Draining, UptimeMS: now.Milliseconds(),
		},
		Config: status.Config{
			Version: c.Version, PendingVersion: c.Pending, Confirmed: c.Confirmed,
			ConfirmedAgeMS: (now - c.ConfirmedAt).Milliseconds(), Body: c.Body,
		},
		Hosts:    make([]status.Host, 0, t.Hosts.Len()),
		Backends: make([]status.Backend, 0, t.Backends.Len()),
		Classes:  make([]status.Class, 0, t.Classes.Len()),
	}
	for _, h := range t.Hosts.All() {
		s.Hosts = append(s.Hosts, hostStatus(now, h))
	}
	for _, b := range t.Backends.All() {
		s.Backends = append(s.Backends, backendStatus(now, b))
	}
	for _, class := range t.Classes.All() {
		s.Classes = append(s.Classes, status.Class{
			Name: class.Name, LatencyMS: class.Target.Latency.Milliseconds(), TargetShare: class.Target.OnTimeShare,
			OnTimeShare: class.OnTimeShare, Priority: class.Priority, Share: class.Share,
		})
	}
	return s
}

func hostStatus(now time.Duration, h *table.Host) status.Host {
	s := status.Host{
		ID: h.ID, Host: h.Host, Zone: h.Zone, Role: string(h.Role), Address: h.Address,
		RenewedAgeMS: (now - h.RowSeen).Milliseconds(), ConfigVersion: h.ConfigVersion,
	}
	if h.LastContact > 0 {
		s.ContactAgeMS = (now - h.LastContact).Milliseconds()
	}
	return s
}

func backendStatus(now time.Duration, b *table.Backend) status.Backend {
	s := status.Backend{
		Name: b.Name, Kind: string(b.Kind), Model: b.Model, Zone: b.Zone, Address: b.Address,
		State: status.BackendLive, Running: b.Report.Running, Queued: b.Report.Queued, Slots: b.Report.Slots,
		TokenRate: b.Report.TokensPerSecond, Version: int64(b.Active), Failures: b.ConsecutiveFailures,
	}
	if b.ReportSeen > 0 {
		s.ReportAgeMS = (now - b.ReportSeen + b.Report.Age).Milliseconds()
	}
	switch {
	case b.Leaving():
		s.State = status.BackendLeaving
	case !b.Routable():
		s.State = status.BackendEjected
	}
	return s
}
