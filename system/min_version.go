package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/table"
)

// activationGrace is the time after the first activation of a version by a
// engine, after which engines that run an older version get no training work.
// Activation is ordered on all engines at once and reports lag by about a
// second, so an engine that still runs an older version then is quarantined, has
// restarted or has followed an invalid order.
const activationGrace = 5 * time.Second

// updateMinVersions raises the minimum version of each model after engines have
// reported its activation. Every controller does this, because the holder of a
// trainer's partition need not hold the partition of its model.
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

// minTrainingVersion returns the oldest version of a model that may generate
// samples for training.
func minTrainingVersion(t *table.Tables, model string) ledger.Version {
	if w := t.Weights.Find(model); w != nil {
		return w.MinVersion
	}
	return 0
}

// servable reports whether any engine of the model may run the version oldest
// or a newer one. During a rollout, samples that all entry hosts would refuse are
// not sent, because each refusal increases the backoff before the next attempt.
// If no engine of the model has reported, the entry hosts decide.
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
