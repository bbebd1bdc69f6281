package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// capacityProbeInterval is the time after which an entry host that refused a sample for
// want of a free share is tried with one sample more than it held then.
const capacityProbeInterval = 250 * time.Millisecond

// chooseEntry returns the entry host with the fewest samples of this controller,
// nil if all of them are full. Zones don't count: each host fills only its own
// part of the engines' slots, and a delay of milliseconds is nothing beside a
// sample's seconds.
func chooseEntry(now time.Duration, entries []*table.Host, out *command.Outbox) *table.Host {
	var best *table.Host
	for _, h := range entries {
		if h.AtCapacity && h.Samples >= h.SamplesAtRefusal+int((now-h.RefusedAt)/capacityProbeInterval) {
			out.WakeAt(now + capacityProbeInterval - (now-h.RefusedAt)%capacityProbeInterval)
			continue
		}
		if best == nil || h.Samples < best.Samples {
			best = h
		}
	}
	return best
}

// recordSampleEnd counts the end of a sample at its entry host. A refusal for want of a
// free share says how many samples the host takes now. Samples beyond that wait
// here in order instead of being refused again and again, each with a backoff of
// its own that leaves slots empty.
func recordSampleEnd(now time.Duration, t *table.Tables, e event.SampleGenerated) {
	h := t.Hosts.Find(e.EntryID)
	if h == nil {
		return
	}
	h.Samples = max(0, h.Samples-1)
	if refusedForCapacity(e.Failure) {
		h.AtCapacity, h.SamplesAtRefusal, h.RefusedAt = true, h.Samples, now
	}
}

// refusedForCapacity reports a refusal that says nothing about the sample.
func refusedForCapacity(f *event.Failure) bool {
	return f != nil && f.Verdict == verdict.NotRun && f.Reason == verdict.ReasonOverload
}
