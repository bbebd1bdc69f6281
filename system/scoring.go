package system

import (
	"fmt"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Scoring sends finished groups to scoring servers and repeats failed calls with
// backoff.
func Scoring() System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			if e, ok := e.(event.GroupScored); ok {
				applyScored(now, t, e, out)
			}
		}
		for _, tr := range t.Trainers.All() {
			if !canStartWork(t, tr) {
				continue
			}
			for _, h := range tr.GroupOrder {
				if g := t.Groups.Get(h); g != nil && g.Phase == table.GroupScoring {
					scoreGroup(now, t, g, out)
				}
			}
		}
	}
}

func applyScored(now time.Duration, t *table.Tables, e event.GroupScored, out *command.Outbox) {
	g := t.Groups.Find(table.GroupKey(e.Trainer, e.Group))
	if g == nil || g.Record.Attempt != e.Attempt || !g.ScorePending {
		return
	}
	g.ScorePending = false
	if e.Failure == nil && len(e.Scores) != len(g.Samples) {
		e.Failure = refuse(verdict.ReasonBadAnswer, fmt.Sprintf("scoring server returned %d scores for %d samples", len(e.Scores), len(g.Samples)))
	}
	if e.Failure != nil {
		scoringFailed(now, g, failureReason(e.Failure), out)
		return
	}
	g.Scores, g.Failures = e.Scores, 0
}

func scoringFailed(now time.Duration, g *table.Group, reason string, out *command.Outbox) {
	g.Failures++
	g.RetryAt = now + backoff(g.Failures)
	countReason(out, "scoring_failed", reason)
}

func scoreGroup(now time.Duration, t *table.Tables, g *table.Group, out *command.Outbox) {
	if g.ScorePending || g.Scores != nil {
		return
	}
	if now < g.RetryAt {
		out.WakeAt(g.RetryAt)
		return
	}
	address := scorerAddress(t, g)
	if address == "" {
		scoringFailed(now, g, string(verdict.ReasonNoBackend), out)
		return
	}
	g.ScorePending = true
	samples := make([]ledger.SampleRecord, 0, len(g.Samples))
	for _, h := range g.Samples {
		samples = append(samples, t.Samples.Get(h).Record)
	}
	out.Add(command.ScoreGroup{
		Address: address, Trainer: g.Trainer, Spec: g.Record.Spec, Attempt: g.Record.Attempt, Samples: samples,
	})
}

// scorerAddress returns the address of the scoring server for a group, or an empty
// string if there is none. It spreads groups over the servers and selects the next
// one after a failure.
func scorerAddress(t *table.Tables, g *table.Group) string {
	var addresses []string
	for _, b := range t.Backends.All() {
		if b.Kind == table.KindScoring && b.Model == g.Record.Spec.Scorer && b.Routable() {
			addresses = append(addresses, b.Address)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[(g.Record.Sequence+uint64(g.Failures))%uint64(len(addresses))]
}
