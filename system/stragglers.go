package system

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/table"
)

// hedgeFactor determines when a sample is sent a second time: after hedgeFactor
// times the time that a sample of maximum length takes at the median rate of its
// group. No healthy engine takes that long, so samples are not hedged just because
// they are long. Otherwise the second request, which may finish first, would
// favour short answers.
const hedgeFactor = 1.5

// hedge sends a second request for samples that have been running for longer than
// hedgeFactor allows, if at least half of the group has finished and an engine has
// a free slot.
func (d *dispatcher) hedge(g *table.Group) {
	if g.Median == 0 || len(g.Durations) < (len(g.Samples)+1)/2 {
		return
	}
	for _, h := range g.Samples {
		s := d.t.Samples.Get(h)
		if s.Phase != table.SampleRunning || s.InFlight != 1 {
			continue
		}
		due := s.StartedAt + time.Duration(hedgeFactor*float64(g.Median)*float64(g.Record.Spec.MaxTokens))
		if d.now < due {
			d.out.WakeAt(due)
			continue
		}
		if !freeSlot(d.t, g.Record.Spec.Model) || !d.send(g, s, true, true) {
			return
		}
		d.out.Add(command.Count{Counter: "samples_hedged", Delta: 1})
	}
}

// freeSlot reports whether an engine of the model reported a free slot.
func freeSlot(t *table.Tables, model string) bool {
	for _, b := range t.Backends.All() {
		if b.Kind == table.KindEngine && b.Model == model && b.Routable() && b.Report.Running+b.Report.Queued < b.Report.Slots {
			return true
		}
	}
	return false
}

// recordDuration records the time per token of a finished sample and updates the
// median of the group.
func recordDuration(g *table.Group, took time.Duration, tokens int) {
	took /= time.Duration(max(tokens, 1))
	i, _ := slices.BinarySearch(g.Durations, took)
	g.Durations = slices.Insert(g.Durations, i, took)
	g.Median = g.Durations[len(g.Durations)/2]
}
