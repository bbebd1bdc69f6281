package system

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TrainerCalls answers trainers' calls. At most one write of a trainer's row is in
// flight, and no call of that trainer is decided until it completes.
func TrainerCalls() System {
	return func(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
		for _, c := range t.Calls.All() {
			tr := t.Trainers.Find(c.Trainer)
			if tr != nil && !tr.Pending && !c.Writing && canWrite(now, t, tr) {
				decideCall(t, tr, c, out)
			}
			if c.Kind == table.CallPull && c.ID != "" && !c.Writing {
				expirePull(now, t, c, out)
			}
		}
	}
}

func decideCall(t *table.Tables, tr *table.Trainer, c *table.Call, out *command.Outbox) {
	switch c.Kind {
	case table.CallSubmit:
		decideSubmit(t, tr, c, out)
	case table.CallDeclare:
		if c.Version <= tr.Record.Version {
			answerDeclared(t, tr, c.ID, out)
			return
		}
		declareVersion(t, tr, c, out)
	case table.CallPull:
		decidePull(t, tr, c, out)
	case table.CallConfirm:
		decideConfirm(t, tr, c, out)
	}
}

// expirePull refuses a pull whose wait time has ended.
func expirePull(now time.Duration, t *table.Tables, c *table.Call, out *command.Outbox) {
	if now < c.Until {
		out.WakeAt(c.Until)
		return
	}
	finishCall(t, c, refuse(verdict.ReasonNotReady, "too few groups are complete and fresh"), out)
}

func declareVersion(t *table.Tables, tr *table.Trainer, c *table.Call, out *command.Outbox) {
	record := tr.Record
	record.Version = c.Version
	commit := table.Commit{Kind: table.CommitDeclare, Record: record}
	if c.Kind == table.CallDeclare {
		commit.Call, c.Writing = c.ID, true
	}
	writeTrainer(t, tr, &commit, nil, out)
}

func answerDeclared(t *table.Tables, tr *table.Trainer, id string, out *command.Outbox) {
	if t.Calls.Find(id) != nil {
		out.Add(command.AnswerVersion{RequestID: id, Version: tr.Record.Version})
		t.Calls.Delete(id)
	}
}

// decideSubmit writes the groups that do not exist yet, together with the trainer
// row. A group that already exists with a different specification is a conflict.
func decideSubmit(t *table.Tables, tr *table.Trainer, c *table.Call, out *command.Outbox) {
	commit := table.Commit{Kind: table.CommitSubmit, Record: tr.Record, Call: c.ID}
	var rows []command.RowWrite
	seen := make(map[string]ledger.GroupSpec, len(c.Specs))
	for _, spec := range c.Specs {
		known, exists := seen[spec.ID]
		if g := t.Groups.Find(table.GroupKey(tr.Name, spec.ID)); g != nil {
			known, exists = g.Record.Spec, true
		}
		if exists && known != spec {
			finishCall(t, c, refuse(verdict.ReasonConflict, "group "+spec.ID+" already exists with a different specification"), out)
			return
		}
		if exists {
			continue
		}
		seen[spec.ID] = spec
		commit.Record.Sequence++
		record := ledger.GroupRecord{Spec: spec, Attempt: 1, Sequence: commit.Record.Sequence}
		commit.Groups = append(commit.Groups, record)
		rows = append(rows, groupWrite(tr, record, 0))
	}
	if len(rows) == 0 {
		answerSubmit(t, tr, c.ID, out)
		return
	}
	c.Writing = true
	writeTrainer(t, tr, &commit, rows, out)
}

func answerSubmit(t *table.Tables, _ *table.Trainer, id string, out *command.Outbox) {
	c := t.Calls.Find(id)
	if c == nil {
		return
	}
	accepted := make([]string, 0, len(c.Specs))
	for _, spec := range c.Specs {
		accepted = append(accepted, spec.ID)
	}
	out.Add(command.AnswerSubmit{RequestID: id, Accepted: accepted})
	t.Calls.Delete(id)
}

// decideConfirm allows the delivery of the newest batch while it is fresh.
func decideConfirm(t *table.Tables, tr *table.Trainer, c *table.Call, out *command.Outbox) {
	batch := tr.Batch
	if batch == nil || batch.Step != c.Step || batch.Attempt != c.Attempt || !batch.Fresh(tr.Record.Version) {
		finishCall(t, c, refuse(verdict.ReasonNotReady, "the batch was replaced or is too stale; pull it again"), out)
		return
	}
	out.Add(command.AnswerConfirm{RequestID: c.ID, CheckedVersion: tr.Record.Version})
	t.Calls.Delete(c.ID)
}

// decidePull returns the newest batch or freezes a new one. A pull with an older
// version than the declared one is a delayed duplicate: its trainer has continued,
// and acting on the pull could replace a batch that was already delivered.
func decidePull(t *table.Tables, tr *table.Trainer, c *table.Call, out *command.Outbox) {
	r := &tr.Record
	repeated := c.Step == r.BatchStep && c.Step > r.AckedStep
	switch {
	case c.Groups <= 0:
		finishCall(t, c, refuse(verdict.ReasonBadRequest, "a pull must request at least 1 group"), out)
		return
	case !repeated && c.Step != r.BatchStep+1:
		finishCall(t, c, refuse(verdict.ReasonConflict,
			fmt.Sprintf("the pull is for step %d, but the next step is %d and the newest batch is of step %d", c.Step, r.BatchStep+1, r.BatchStep)), out)
		return
	case c.Version < r.Version:
		finishCall(t, c, refuse(verdict.ReasonConflict,
			fmt.Sprintf("the pull has version %d, but version %d was already declared", c.Version, r.Version)), out)
		return
	case c.Version > r.Version:
		declareVersion(t, tr, c, out)
		return
	}
	tr.BatchGroups = c.Groups
	if repeated && tr.Batch.Fresh(r.Version) {
		batch := *tr.Batch
		batch.CheckedVersion = r.Version
		out.Add(command.AnswerPull{RequestID: c.ID, Batch: &batch})
		t.Calls.Delete(c.ID)
		return
	}
	if repeated {
		reopenBatch(t, tr, out)
	}
	freezeBatch(t, tr, c, out)
}

// reopenBatch makes the groups of a batch that became too stale before its
// delivery available again. Stale groups are generated again; the others can go
// into a new batch.
func reopenBatch(t *table.Tables, tr *table.Trainer, out *command.Outbox) {
	reopened := false
	for _, id := range tr.Batch.Groups {
		if g := t.Groups.Find(table.GroupKey(tr.Name, id)); g != nil && g.Phase == table.GroupFrozen {
			g.Phase, reopened = table.GroupComplete, true
		}
	}
	if reopened {
		tr.StalenessCheckedFor = -1
		out.Add(command.Count{Counter: "lots_expired", Delta: 1})
	}
}

// freezeBatch writes the trainer row and the batch row if enough groups are
// complete and fresh. Only stale groups are generated again, and a stale group
// never becomes fresh, so a delayed write of a new attempt cannot affect a group
// chosen here.
func freezeBatch(t *table.Tables, tr *table.Trainer, c *table.Call, out *command.Outbox) {
	groups := completeGroups(t, tr)
	if len(groups) < c.Groups {
		return
	}
	record := tr.Record
	rows := []command.RowWrite{{}}
	if c.Step == record.BatchStep {
		record.BatchAttempt++
		rows = append(rows, command.RowWrite{Key: ledger.BatchKey(tr.Name, tr.Batch.Step, tr.Batch.Attempt), Delete: true, AnyVersion: true})
	} else {
		record.AckedStep, record.BatchStep, record.BatchAttempt = record.BatchStep, c.Step, 1
	}
	batch := buildBatch(t, tr, &record, groups[:c.Groups])
	rows[0] = command.RowWrite{Key: ledger.BatchKey(tr.Name, batch.Step, batch.Attempt), Batch: batch}
	writeTrainer(t, tr, &table.Commit{Kind: table.CommitFreeze, Record: record, Batch: batch}, rows, out)
}

// completeGroups returns the groups that are complete and not stale, in order of
// completion.
func completeGroups(t *table.Tables, tr *table.Trainer) []*table.Group {
	var groups []*table.Group
	for _, h := range tr.GroupOrder {
		g := t.Groups.Get(h)
		if g != nil && g.Phase == table.GroupComplete && !isStale(g, tr.Record.Version) {
			groups = append(groups, g)
		}
	}
	slices.SortStableFunc(groups, func(a, b *table.Group) int { return cmp.Compare(a.CompletedAt, b.CompletedAt) })
	return groups
}

func buildBatch(t *table.Tables, tr *table.Trainer, r *ledger.TrainerRecord, groups []*table.Group) *ledger.BatchRecord {
	batch := &ledger.BatchRecord{Trainer: tr.Name, Step: r.BatchStep, Attempt: r.BatchAttempt, CheckedVersion: r.Version}
	for i, g := range groups {
		spec := &g.Record.Spec
		batch.Groups = append(batch.Groups, spec.ID)
		if i == 0 || spec.StalenessBound < batch.StalenessBound {
			batch.StalenessBound = spec.StalenessBound
		}
		for index, h := range g.Samples {
			s := ledger.BatchSample{SampleRecord: t.Samples.Get(h).Record, StalenessBound: spec.StalenessBound}
			if index < len(g.Record.Scores) {
				s.Score = g.Record.Scores[index]
			}
			batch.Samples = append(batch.Samples, s)
		}
	}
	return batch
}
