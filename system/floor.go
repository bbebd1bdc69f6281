package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/table"
)

// activationGrace is the time after the first sampler's activation of a version
// from which samplers of an older one get no training work. Activation is
// ordered on all samplers at once, and reports lag by about a second; one that
// still runs an older version is quarantined, restarted or obeyed a false order.
const activationGrace = 5 * time.Second

// updateMinVersions notes the activations that samplers report. Every controller does
// so, because the holder of a trainer's partition may not be that of its model.
func updateMinVersions(now time.Duration, t *table.Tables, out *command.Outbox) {
	for _, w := range t.Weights.All() {
		if w.Version == 0 || w.MinVersion == w.Version {
			continue
		}
		if w.FirstActive == 0 && isActive(t, w) {
			w.FirstActive = now
		}
		switch {
		case w.FirstActive == 0:
		case now < w.FirstActive+activationGrace:
			out.WakeAt(w.FirstActive + activationGrace)
		default:
			w.MinVersion = w.Version
		}
	}
}

func isActive(t *table.Tables, w *table.Weights) bool {
	for _, b := range t.Backends.All() {
		if b.Kind == table.KindEngine && b.Model == w.Model && b.Active == w.Version {
			return true
		}
	}
	return false
}

// minTrainingVersion returns the oldest version that may produce samples of a model.
func minTrainingVersion(t *table.Tables, model string) ledger.Version {
	if w := t.Weights.Find(model); w != nil {
		return w.MinVersion
	}
	return 0
}

// servable reports whether a sampler of the model may have the version. Samples
// that all entry hosts would refuse are not sent during a rollout, because each
// refusal lengthens the wait until the next attempt. A model without a report is
// left to the entry hosts.
func servable(t *table.Tables, model string, oldest ledger.Version) bool {
	known := false
	for _, b := range t.Backends.All() {
		if b.Kind != table.KindEngine || b.Model != model || b.ReportSeen == 0 {
			continue
		}
		if b.Active >= oldest {
			return true
		}
		known = true
	}
	return !known
}
