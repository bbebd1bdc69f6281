package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// applyCommitResult applies the outcome of a write. After a conflict or an
// unknown outcome the trainer's rows are reloaded before anything else is decided.
func applyCommitResult(now time.Duration, t *table.Tables, e event.RowsCommitted, out *command.Outbox) {
	key := table.CommitKey(e.ID)
	row := t.Commits.Find(key)
	if row == nil {
		return
	}
	c := *row
	t.Commits.Delete(key)
	tr := t.Trainers.Find(c.Trainer)
	if c.Kind <= table.CommitFreeze {
		tr.Pending = false
	} else {
		tr.RowsPending = false
	}
	if e.Failure != nil || !e.Committed {
		commitFailed(now, t, tr, &c, e.Failure, out)
		return
	}
	tr.Failures, tr.RetryAt = 0, 0
	applyCommit(now, t, tr, &c, e.Versions, out)
}

func commitFailed(now time.Duration, t *table.Tables, tr *table.Trainer, c *table.Commit, f *event.Failure, out *command.Outbox) {
	countReason(out, "commit_failed", failureReason(f))
	if call := t.Calls.Find(c.Call); call != nil {
		call.Writing = false
	}
	for _, key := range c.Keys {
		if s := t.Samples.Find(key); c.Kind == table.CommitSamples && s != nil && s.Phase == table.SampleCommitting {
			s.Phase = table.SampleFinished
			tr.FinishedSamples = append(tr.FinishedSamples, t.Samples.Handle(key))
		}
	}
	if f != nil {
		tr.Failures++
		tr.RetryAt = now + backoff(tr.Failures)
	}
	if f == nil || f.Verdict != verdict.NotRun {
		tr.Loaded, tr.Claimed = false, false
	}
}

func applyCommit(now time.Duration, t *table.Tables, tr *table.Trainer, c *table.Commit, versions map[string]uint64, out *command.Outbox) {
	if c.Kind <= table.CommitFreeze {
		tr.Record, tr.RowVersion = c.Record, versions[ledger.TrainerKey(tr.Name)]
	}
	if len(c.Objects) > 0 {
		out.Add(command.DeleteObjects{Keys: c.Objects})
	}
	switch c.Kind {
	case table.CommitClaim:
		tr.Claimed = tr.Loaded && c.Fence == trainerFence(t, tr)
	case table.CommitSubmit:
		applySubmitted(now, t, tr, c, versions)
		answerSubmit(t, tr, c.Call, out)
	case table.CommitDeclare:
		answerDeclared(t, tr, c.Call, out)
	case table.CommitFreeze:
		applyFrozen(now, t, tr, c, out)
	case table.CommitSamples:
		applySamples(now, t, tr, c)
	case table.CommitScores:
		applyScores(now, t, tr, c, versions)
	case table.CommitRegenerate:
		applyRegenerated(now, t, tr, c, versions)
	case table.CommitDelete:
		applyDeleted(t, tr, c, out)
	}
}

func applySubmitted(now time.Duration, t *table.Tables, tr *table.Trainer, c *table.Commit, versions map[string]uint64) {
	for _, record := range c.Groups {
		addGroup(now, t, tr, record, versions[ledger.GroupKey(tr.Name, record.Spec.ID)])
	}
}

func applyFrozen(now time.Duration, t *table.Tables, tr *table.Trainer, c *table.Commit, out *command.Outbox) {
	if old := tr.Batch; old != nil && old.Step < c.Batch.Step {
		setPhase(t, old, table.GroupAcked)
		tr.DeletingBatches = append(tr.DeletingBatches, *old)
	}
	tr.Batch, tr.BatchAgeFrom = c.Batch, now
	setPhase(t, c.Batch, table.GroupFrozen)
	out.Add(command.Count{Counter: "lots_frozen", Delta: 1})
}

func applySamples(now time.Duration, t *table.Tables, tr *table.Trainer, c *table.Commit) {
	for _, key := range c.Keys {
		s := t.Samples.Find(key)
		if s == nil || s.Phase != table.SampleCommitting {
			continue
		}
		s.Phase = table.SampleCommitted
		g := t.Groups.Find(table.GroupKey(s.Trainer, s.Group))
		countCommitted(g, s)
		advanceGroup(now, g)
		if isStale(g, tr.Record.Version) {
			tr.StalenessCheckedFor = -1 // the version increased while the write was in flight
		}
	}
}

func applyScores(now time.Duration, t *table.Tables, tr *table.Trainer, c *table.Commit, versions map[string]uint64) {
	for _, record := range c.Groups {
		g := t.Groups.Find(table.GroupKey(tr.Name, record.Spec.ID))
		if g == nil {
			continue
		}
		g.Record, g.RowVersion, g.Scores = record, versions[ledger.GroupKey(tr.Name, record.Spec.ID)], nil
		advanceGroup(now, g)
	}
}

func applyRegenerated(now time.Duration, t *table.Tables, tr *table.Trainer, c *table.Commit, versions map[string]uint64) {
	for _, record := range c.Groups {
		g := t.Groups.Find(table.GroupKey(tr.Name, record.Spec.ID))
		if g == nil {
			continue
		}
		samples := g.Samples
		*g = table.Group{
			Trainer: tr.Name, RowVersion: versions[ledger.GroupKey(tr.Name, record.Spec.ID)],
			Record: record, StartedAt: now, Samples: samples, Waiting: len(samples),
		}
		for i, h := range samples {
			*t.Samples.Get(h) = table.Sample{Trainer: tr.Name, Group: record.Spec.ID, Index: i}
		}
	}
}

func applyDeleted(t *table.Tables, tr *table.Trainer, c *table.Commit, out *command.Outbox) {
	for _, key := range c.Keys {
		if t.Groups.Find(key) != nil {
			dropGroup(t, key)
		}
	}
	if c.Last {
		tr.DeletingBatches = tr.DeletingBatches[1:]
		out.Add(command.Count{Counter: "lots_deleted", Delta: 1})
	}
	compactGroupOrder(t, tr)
}

// compactGroupOrder removes the handles of deleted groups.
func compactGroupOrder(t *table.Tables, tr *table.Trainer) {
	kept := tr.GroupOrder[:0]
	for _, h := range tr.GroupOrder {
		if t.Groups.Get(h) != nil {
			kept = append(kept, h)
		}
	}
	tr.GroupOrder = kept
}
