package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// reasonExpired is the failure reason of samples that became too stale.
const reasonExpired = "expired"

// applyGenerated processes the result of a sample. Only the first usable result
// of a sample counts. Its version ranges must cover all tokens, and it must be
// within the staleness bound.
func applyGenerated(now time.Duration, t *table.Tables, e event.SampleGenerated, out *command.Outbox) {
	recordSampleEnd(now, t, e)
	r := &e.Record
	tr := t.Trainers.Find(e.Trainer)
	g := t.Groups.Find(table.GroupKey(e.Trainer, r.Group))
	if tr == nil || g == nil || g.Record.Attempt != r.Attempt || r.Index < 0 || r.Index >= len(g.Samples) {
		discardResult(e, "superseded", out)
		return
	}
	s := t.Samples.Get(g.Samples[r.Index])
	s.InFlight = max(0, s.InFlight-1)
	if s.Phase >= table.SampleFinished {
		discardResult(e, "duplicate", out)
		return
	}
	if reason := rejectReason(tr, g, e); reason != "" {
		sampleFailed(now, g, s, e, reason, out)
		return
	}
	if s.Phase == table.SampleWaiting {
		g.Waiting--
	}
	s.Phase, s.Record, s.Failures = table.SampleFinished, *r, 0
	tr.FinishedSamples = append(tr.FinishedSamples, g.Samples[r.Index])
	recordDuration(g, e.Took, r.Tokens)
}

// rejectReason returns the reason why a result cannot be used for the sample, or
// an empty string if it can.
func rejectReason(tr *table.Trainer, g *table.Group, e event.SampleGenerated) string {
	switch {
	case e.Failure != nil:
		return string(e.Failure.Reason)
	case ledger.CheckRanges(e.Record.Ranges, e.Record.Tokens) != nil:
		return string(verdict.ReasonUnlabelled)
	case ledger.Staleness(e.Record.Ranges, tr.Record.Version) > g.Record.Spec.StalenessBound:
		return reasonExpired
	}
	return ""
}

// sampleFailed requeues the sample unless another request for it is still running.
func sampleFailed(now time.Duration, g *table.Group, s *table.Sample, e event.SampleGenerated, reason string, out *command.Outbox) {
	countReason(out, "sample_failed", reason)
	removeObject(e, out)
	if s.InFlight > 0 || s.Phase != table.SampleRunning {
		return
	}
	s.Phase = table.SampleWaiting
	g.Waiting++
	if refusedForCapacity(e.Failure) {
		return // the entry host was full; recordSampleEnd limits further attempts
	}
	s.Failures++
	s.RetryAt = now + backoff(s.Failures)
}

// discardResult deletes the text of a result that no row will refer to.
func discardResult(e event.SampleGenerated, reason string, out *command.Outbox) {
	countReason(out, "sample_discarded", reason)
	removeObject(e, out)
}

func removeObject(e event.SampleGenerated, out *command.Outbox) {
	if e.Failure == nil && e.Record.ObjectKey != "" {
		out.Add(command.DeleteObjects{Keys: []string{e.Record.ObjectKey}})
	}
}
