package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// capacityProbeInterval is the time after which an entry host that refused a
// sample for lack of capacity is offered one sample more than it held at the
// refusal, and the time between further increases.
const capacityProbeInterval = 250 * time.Millisecond

// chooseEntry returns the entry host with the fewest samples of this controller,
// or nil if all of them are at capacity. It ignores zones: each host may fill
// only its own part of the engines' slots, and a few milliseconds of network
// delay are negligible compared with the seconds that a sample takes.
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

// recordSampleEnd updates the number of samples at the entry host when one ends.
// A refusal for lack of capacity shows how many samples the host accepts at the
// moment. Further samples wait in order at this controller. If they were sent
// anyway, they would be refused repeatedly, each with its own backoff, which
// leaves slots empty.
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

// refusedForCapacity reports whether the entry host refused the sample because it
// had no free capacity. Such a refusal is not a failure of the sample itself.
func refusedForCapacity(f *event.Failure) bool {
	return f != nil && f.Verdict == verdict.NotRun && f.Reason == verdict.ReasonOverload
}
