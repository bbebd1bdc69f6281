package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/table"
)

// Limits of sample generation.
const (
	// DefaultMaxAheadGroups is the maximum number of groups in flight beyond those
	// of one batch, unless the policy sets another one.
	DefaultMaxAheadGroups = 64
	// maxSamplesPerTick bounds the samples that are sent in one tick, so that a new
	// submission of 8,192 samples does not delay lease renewals.
	maxSamplesPerTick = 1024
	// urgentDivisor sets how many samples are urgent: the last 1/urgentDivisor of
	// a group's samples are sent with raised priority.
	urgentDivisor = 4
)

// Generate sends waiting samples to entry hosts and processes the results.
func Generate() System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			if e, ok := e.(event.SampleGenerated); ok {
				applyGenerated(now, t, e, out)
			}
		}
		entries := liveEntries(t)
		if len(entries) == 0 {
			return
		}
		budget := maxSamplesPerTick
		for _, tr := range t.Trainers.All() {
			if !canStartWork(t, tr) {
				continue
			}
			d := dispatcher{now: now, t: t, tr: tr, entries: entries, out: out, budget: budget}
			d.run()
			budget = d.budget
		}
	}
}

func liveEntries(t *table.Tables) []*table.Host {
	var entries []*table.Host
	for _, h := range t.Hosts.All() {
		if h.Role == table.RoleEntry {
			entries = append(entries, h)
		}
	}
	return entries
}

// dispatcher sends the samples of one trainer during one tick.
type dispatcher struct {
	now     time.Duration
	t       *table.Tables
	tr      *table.Trainer
	entries []*table.Host
	out     *command.Outbox
	budget  int
}

func (d *dispatcher) run() {
	policy := d.t.Config.Body.Policy
	groups := d.tr.BatchGroups + DefaultMaxAheadGroups
	if policy.MaxAheadGroups > 0 {
		groups = d.tr.BatchGroups + policy.MaxAheadGroups
	}
	for _, h := range d.tr.GroupOrder {
		g := d.t.Groups.Get(h)
		if g == nil || g.Phase >= table.GroupFrozen {
			continue
		}
		if groups--; groups < 0 {
			return
		}
		if g.Phase != table.GroupGenerating {
			continue
		}
		if g.Waiting > 0 && servable(d.t, g.Record.Spec.Model, d.minVersion(g)) {
			d.sendWaiting(g, policy.Stragglers)
		}
		if stragglerPolicy(policy) == plan.StragglersHedged {
			d.hedge(g)
		}
	}
}

func stragglerPolicy(p plan.PolicyConfig) plan.StragglerPolicy {
	if p.Stragglers == "" {
		return plan.StragglersHedged
	}
	return p.Stragglers
}

func (d *dispatcher) sendWaiting(g *table.Group, policy plan.StragglerPolicy) {
	for _, h := range g.Samples {
		s := d.t.Samples.Get(h)
		if s.Phase != table.SampleWaiting {
			continue
		}
		if d.now < s.RetryAt {
			d.out.WakeAt(s.RetryAt)
			continue
		}
		urgent := policy != plan.StragglersIgnored && g.Waiting <= len(g.Samples)/urgentDivisor
		if !d.send(g, s, urgent, false) {
			return
		}
		s.Phase, s.StartedAt = table.SampleRunning, d.now
		g.Waiting--
	}
}

// send sends one sample to an entry host. It returns false if no more samples can
// be sent in this tick.
func (d *dispatcher) send(g *table.Group, s *table.Sample, urgent, hedge bool) bool {
	if d.budget == 0 {
		d.out.WakeAt(d.now)
		return false
	}
	entry := chooseEntry(d.now, d.entries, d.out)
	if entry == nil {
		return false
	}
	d.budget--
	entry.Samples++
	s.InFlight++
	d.out.Add(command.GenerateSample{
		EntryID: entry.ID, Address: entry.Address, Trainer: d.tr.Name,
		Class: d.t.Config.Body.Trainers[d.tr.Name].Class, Spec: g.Record.Spec,
		Index: s.Index, Attempt: g.Record.Attempt, Urgent: urgent, Hedge: hedge,
		MinVersion: d.minVersion(g),
	})
	return true
}

// minVersion returns the oldest version that may generate samples of the group.
func (d *dispatcher) minVersion(g *table.Group) ledger.Version {
	spec := &g.Record.Spec
	return max(minTrainingVersion(d.t, spec.Model), d.tr.Record.Version-ledger.Version(spec.StalenessBound))
}
