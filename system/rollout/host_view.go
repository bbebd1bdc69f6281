package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/table"
)

// HostView answers operators' requests for the state of this host.
func HostView(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	for _, e := range in {
		if req, ok := e.(event.HostViewRequested); ok {
			out.Add(command.AnswerHostView{RequestID: req.RequestID, View: hostView(now, t)})
		}
	}
}

func hostView(now time.Duration, t *table.Tables) status.HostView {
	r := &t.Rollout
	v := status.HostView{
		Host: r.Self.Host, BootID: r.Self.BootID, Draining: r.Draining, Models: make(map[string]int), SoftwareHistories: make(map[string]string), Peers: slices.Sorted(maps.Values(peerAddresses(r))),
		OrderLease: status.OrderLeaseView{
			Holder: r.OrderLease.Holder.Host, Held: r.OrderLease.Held, Fence: r.OrderLease.Fence,
			SilentMS: status.Millis(now - r.OrderLease.VersionSeenAt), RowVersion: r.OrderLease.Version,
		},
	}
	if s := t.Duties.Settings; s.Usage || s.Scaling {
		v.Duties = dutiesView(now, &r.OrderLease, &t.Duties)
	}
	if r.Desired != nil {
		v.DesiredVersion = r.Desired.Version
	}
	v.Organisations = r.Organisations.Keys.Names()
	v.Quarantined = slices.Sorted(maps.Keys(quarantinedContents(r)))
	for name, f := range r.Feeds.All() {
		v.Feeds = append(v.Feeds, status.FeedView{Table: name, Down: f.Down, AgeMS: status.Millis(now - f.Since)})
	}
	for name, m := range r.Models.All() {
		v.Models[name] = int(m.NamedVersion)
	}
	for id, s := range r.Servers.All() {
		v.Servers = append(v.Servers, serverView(now, r, id, s))
	}
	for service, h := range r.SoftwareHistories.All() {
		v.SoftwareHistories[service] = joinVersions(h.Versions)
	}
	for id, l := range r.Lots.All() {
		v.Lots = append(v.Lots, status.LotView{
			ID: id, Model: l.Head.Model, Organisation: l.Head.Organisation, Owner: l.Head.Owner.Host, Stage: string(l.Stage), Listed: l.Head.Listed,
			Total: l.Head.Total, Ended: l.Head.Ended, SilentMS: status.Millis(now - l.VersionSeenAt), RowVersion: l.Version,
		})
	}
	return v
}

func dutiesView(now time.Duration, lease *table.OrderLease, d *table.Duties) *status.DutiesView {
	v := &status.DutiesView{
		Holder: d.Holder.Host, ForMS: status.Millis(now - d.HolderSince), Acting: lease.MayAct(now), Last: make(map[string]status.DutyCallView),
		FixedThrough: d.Usage.Delivery.FixedThrough, ClockCorrectionMS: status.Millis(d.Usage.Clock.Correction),
	}
	for duty, c := range d.Last.All() {
		v.Last[duty] = status.DutyCallView{Subject: c.Subject, AgeMS: status.Millis(now - c.At), Outcome: c.Outcome}
	}
	for _, w := range d.Usage.Collection.Windows.All() {
		if w.Stage == table.WindowFixed {
			v.WindowsWaiting++
		}
	}
	for _, o := range d.Scaling.Orders.All() {
		v.Servers = append(v.Servers, status.OrderedServersView{
			Service: o.Service, Zone: o.Zone, Spot: o.Spot, Ordered: o.Ordered, Number: o.Number, Outcome: o.Outcome, AgeMS: status.Millis(now - o.At),
		})
	}
	return v
}

func serverView(now time.Duration, r *table.Rollout, id string, s *table.Server) status.ServerView {
	v := status.ServerView{
		ID: id, Service: s.Service, Zone: s.Zone, Leaving: s.Leaving, Missing: s.MissingSince != 0,
		Suspect: s.SuspectUntil != 0, Running: s.Running, EventIntervalMS: float64(eventInterval(r, s).Microseconds()) / 1000, PreferredModel: s.PreferredModel, RequestLimit: s.RequestLimit,
		Software: string(s.Software), Answers: speedView(now, s.Answers), Events: speedView(now, s.Pace.Events),
		Versions: make(map[string]int, len(s.Models)),
	}
	for model, version := range s.Models {
		v.Versions[model] = int(version)
	}
	return v
}

// speedView returns the view of an estimate, nil if nothing is known.
func speedView(now time.Duration, s *table.Speed) *status.SpeedView {
	if !s.Known() {
		return nil
	}
	e := s.Estimate
	return &status.SpeedView{
		AloneMS: float64(e.Unit.Microseconds()) / 1000, Growth: e.Growth, Useful: e.Capacity, Trust: e.Trust, AgeMS: status.Millis(now - e.At),
	}
}
