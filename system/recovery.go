package system

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// applyLoaded replaces the rows of a trainer by those of the table service.
// Samples that are being generated and results that are not stored yet are kept
// if their group is still at the same attempt.
func applyLoaded(now time.Duration, t *table.Tables, e event.TrainerLoaded, out *command.Outbox) {
	tr := t.Trainers.Find(e.Trainer.Name)
	if tr == nil || !tr.LoadPending {
		return
	}
	tr.LoadPending = false
	if !t.Partitions.Find(table.PartitionKey(tr.Partition)).Held {
		return
	}
	if e.Failure != nil {
		loadFailed(now, tr, failureReason(e.Failure), out)
		return
	}
	tr.Record, tr.RowVersion = e.Trainer.Record, e.Trainer.RowVersion
	if !installBatches(now, tr, e.Batches) {
		loadFailed(now, tr, string(verdict.ReasonBadAnswer), out)
		return
	}
	installGroups(now, t, tr, e)
	tr.Loaded, tr.Claimed, tr.Failures, tr.StalenessCheckedFor = true, false, 0, -1
}

func loadFailed(now time.Duration, tr *table.Trainer, reason string, out *command.Outbox) {
	tr.Failures++
	tr.RetryAt = now + backoff(tr.Failures)
	countReason(out, "trainer_load_failed", reason)
}

// installBatches sets the newest batch and the acknowledged batches that are to be
// deleted. It returns false if the batch that the trainer row names is missing,
// which means that the rows were read while another holder wrote them.
func installBatches(now time.Duration, tr *table.Trainer, batches []ledger.BatchRecord) bool {
	tr.Batch, tr.DeletingBatches = nil, nil
	for i := range batches {
		batch := &batches[i]
		switch {
		case batch.Step <= tr.Record.AckedStep:
			tr.DeletingBatches = append(tr.DeletingBatches, *batch)
		case batch.Step == tr.Record.BatchStep && batch.Attempt == tr.Record.BatchAttempt:
			tr.Batch, tr.BatchAgeFrom = batch, now
		}
	}
	if tr.Batch != nil {
		tr.BatchGroups = max(tr.BatchGroups, len(tr.Batch.Groups))
	}
	slices.SortFunc(tr.DeletingBatches, func(a, b ledger.BatchRecord) int { return cmp.Compare(a.Step, b.Step) })
	return tr.Batch != nil || tr.Record.BatchStep == tr.Record.AckedStep
}

func installGroups(now time.Duration, t *table.Tables, tr *table.Trainer, e event.TrainerLoaded) {
	kept := detachSamples(t, tr.Name)
	tr.GroupOrder, tr.FinishedSamples = nil, nil
	slices.SortFunc(e.Groups, func(a, b event.GroupRow) int { return cmp.Compare(a.Record.Sequence, b.Record.Sequence) })
	for i := range e.Groups {
		addGroup(now, t, tr, e.Groups[i].Record, e.Groups[i].RowVersion)
	}
	tr.OrphanSamples = nil
	for i := range e.Samples {
		if record := e.Samples[i].Record; !installSample(t, tr.Name, record) {
			tr.OrphanSamples = append(tr.OrphanSamples, ledger.SampleKey(tr.Name, record.Group, record.Attempt, record.Index))
		}
	}
	for _, s := range kept {
		restoreSample(t, tr, s)
	}
	for _, h := range tr.GroupOrder {
		recountGroup(now, t.Groups.Get(h), t)
	}
	markBatchGroups(t, tr)
}

// keptSample is a sample together with the attempt for which it was generated.
type keptSample struct {
	table.Sample
	attempt int
}

// detachSamples removes the groups of a trainer and returns their samples that
// have been generated or are being generated.
func detachSamples(t *table.Tables, trainer string) []keptSample {
	var kept []keptSample
	for key, g := range t.Groups.All() {
		if g.Trainer != trainer {
			continue
		}
		for _, h := range g.Samples {
			if s := t.Samples.Get(h); s.Phase != table.SampleWaiting {
				kept = append(kept, keptSample{*s, g.Record.Attempt})
			}
		}
		dropGroup(t, key)
	}
	return kept
}

func installSample(t *table.Tables, trainer string, record ledger.SampleRecord) bool {
	g := t.Groups.Find(table.GroupKey(trainer, record.Group))
	if g == nil || g.Record.Attempt != record.Attempt || record.Index < 0 || record.Index >= len(g.Samples) {
		return false
	}
	s := t.Samples.Get(g.Samples[record.Index])
	s.Phase, s.Record = table.SampleCommitted, record
	return true
}

func restoreSample(t *table.Tables, tr *table.Trainer, kept keptSample) {
	g := t.Groups.Find(table.GroupKey(kept.Trainer, kept.Group))
	if g == nil || g.Record.Attempt != kept.attempt || kept.Index >= len(g.Samples) {
		return
	}
	s := t.Samples.Get(g.Samples[kept.Index])
	s.InFlight, s.StartedAt = kept.InFlight, kept.StartedAt
	if s.Phase == table.SampleCommitted || kept.Phase == table.SampleCommitted {
		return
	}
	s.Phase, s.Record = kept.Phase, kept.Record
	if s.Phase >= table.SampleFinished {
		s.Phase = table.SampleFinished
		tr.FinishedSamples = append(tr.FinishedSamples, g.Samples[kept.Index])
	}
}

// addGroup inserts a group, all of whose samples are waiting.
func addGroup(now time.Duration, t *table.Tables, tr *table.Trainer, record ledger.GroupRecord, version uint64) {
	key := table.GroupKey(tr.Name, record.Spec.ID)
	g, created := t.Groups.Upsert(key)
	if !created {
		return
	}
	*g = table.Group{Trainer: tr.Name, RowVersion: version, Record: record, StartedAt: now, Waiting: record.Spec.Samples}
	g.Samples = make([]table.Handle, record.Spec.Samples)
	for i := range g.Samples {
		sampleKey := table.SampleKey(tr.Name, record.Spec.ID, i)
		s, _ := t.Samples.Upsert(sampleKey)
		*s = table.Sample{Trainer: tr.Name, Group: record.Spec.ID, Index: i}
		g.Samples[i] = t.Samples.Handle(sampleKey)
	}
	tr.GroupOrder = append(tr.GroupOrder, t.Groups.Handle(key))
}

// recountGroup derives the counts and the phase of a group from its samples.
func recountGroup(now time.Duration, g *table.Group, t *table.Tables) {
	g.Finished, g.Waiting, g.Oldest = 0, 0, 0
	for _, h := range g.Samples {
		s := t.Samples.Get(h)
		switch s.Phase {
		case table.SampleWaiting:
			g.Waiting++
		case table.SampleCommitted:
			countCommitted(g, s)
		}
	}
	advanceGroup(now, g)
}

func countCommitted(g *table.Group, s *table.Sample) {
	g.Finished++
	if v := ledger.Oldest(s.Record.Ranges); g.Oldest == 0 || v < g.Oldest {
		g.Oldest = v
	}
}

// advanceGroup moves a group to its next phase once all its samples are committed.
func advanceGroup(now time.Duration, g *table.Group) {
	if g.Phase > table.GroupScoring || g.Finished < len(g.Samples) {
		return
	}
	if g.Record.Spec.Scorer != "" && !g.Record.Scored {
		g.Phase = table.GroupScoring
		return
	}
	g.Phase, g.CompletedAt = table.GroupComplete, now
}

// markBatchGroups sets the phase of the groups that belong to batches. A group of
// the newest batch that has a later attempt is left out: it was reopened because
// the batch became too stale before its delivery.
func markBatchGroups(t *table.Tables, tr *table.Trainer) {
	for i := range tr.DeletingBatches {
		setPhase(t, &tr.DeletingBatches[i], table.GroupAcked)
	}
	if tr.Batch == nil {
		return
	}
	for i := range tr.Batch.Samples {
		s := &tr.Batch.Samples[i]
		if g := t.Groups.Find(table.GroupKey(tr.Name, s.Group)); g != nil && g.Record.Attempt == s.Attempt {
			g.Phase = table.GroupFrozen
		}
	}
}

func setPhase(t *table.Tables, batch *ledger.BatchRecord, phase table.GroupPhase) {
	for _, id := range batch.Groups {
		if g := t.Groups.Find(table.GroupKey(batch.Trainer, id)); g != nil {
			g.Phase = phase
		}
	}
}
