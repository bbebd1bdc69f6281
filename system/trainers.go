package system

import (
	"maps"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Bounds of the delay before a failed write, load, sample or scoring call is
// repeated.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// backoff returns the delay after the given number of consecutive failures.
func backoff(failures int) time.Duration {
	return min(minBackoff<<min(max(failures-1, 0), 10), maxBackoff)
}

// Trainers admits trainers' calls, loads the rows of trainers whose partition
// this process holds, claims them by writing its fence, and applies the outcomes
// of writes.
func Trainers(partitions int) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			switch e := e.(type) {
			case event.TrainerLoaded:
				applyLoaded(now, t, e, out)
			case event.RowsCommitted:
				applyCommitResult(now, t, e, out)
			default:
				admitCall(now, t, partitions, e, out)
			}
		}
		addConfiguredTrainers(t, partitions)
		refuseCalls(t, out)
		for _, tr := range t.Trainers.All() {
			if p := t.Partitions.Find(table.PartitionKey(tr.Partition)); !p.Held || p.Releasing {
				continue
			}
			loadTrainer(now, tr, out)
			claimTrainer(now, t, tr, out)
		}
	}
}

func partitionOf(t *table.Tables, name string, partitions int) *table.Partition {
	return t.Partitions.Find(table.PartitionKey(ledger.PartitionOf(name, partitions)))
}

func addConfiguredTrainers(t *table.Tables, partitions int) {
	for _, name := range slices.Sorted(maps.Keys(t.Config.Body.Trainers)) {
		addTrainer(t, name, partitions)
	}
	for _, p := range t.Partitions.All() {
		p.Loaded = p.Held
	}
	for _, tr := range t.Trainers.All() {
		if p := t.Partitions.Find(table.PartitionKey(tr.Partition)); !tr.Claimed {
			p.Loaded = false
		}
	}
}

// addTrainer adds a row for the trainer if this process holds its partition, and
// reports whether it does.
func addTrainer(t *table.Tables, name string, partitions int) bool {
	p := partitionOf(t, name, partitions)
	if p == nil || !p.Held {
		return false
	}
	if tr, created := t.Trainers.Upsert(name); created {
		tr.Name, tr.Partition = name, p.Number
	}
	return true
}

func loadTrainer(now time.Duration, tr *table.Trainer, out *command.Outbox) {
	if tr.Loaded || tr.LoadPending || tr.Pending || tr.RowsPending {
		return
	}
	if now < tr.RetryAt {
		out.WakeAt(tr.RetryAt)
		return
	}
	tr.LoadPending = true
	out.Add(command.LoadTrainer{Trainer: tr.Name})
}

// claimTrainer writes this holder's fence to the trainer row after each load. An
// earlier write by a previous holder, or one by this holder whose outcome is
// unknown, then fails if it arrives after the claim, because the row version has
// changed.
func claimTrainer(now time.Duration, t *table.Tables, tr *table.Trainer, out *command.Outbox) {
	if !tr.Loaded || tr.Claimed || tr.Pending {
		return
	}
	if now < tr.RetryAt {
		out.WakeAt(tr.RetryAt)
		return
	}
	writeTrainer(t, tr, &table.Commit{Kind: table.CommitClaim, Record: tr.Record}, nil, out)
}

func trainerFence(t *table.Tables, tr *table.Trainer) uint64 {
	return t.Partitions.Find(table.PartitionKey(tr.Partition)).Fence
}

// canStartWork reports whether work for the trainer may be started.
func canStartWork(t *table.Tables, tr *table.Trainer) bool {
	p := t.Partitions.Find(table.PartitionKey(tr.Partition))
	return tr.Claimed && p.Held && !p.Releasing
}

// canWrite reports whether rows of the trainer may be written now.
func canWrite(now time.Duration, t *table.Tables, tr *table.Trainer) bool {
	return now >= tr.RetryAt && canStartWork(t, tr)
}

// writeTrainer sends a write of the trainer row together with the given rows.
func writeTrainer(t *table.Tables, tr *table.Trainer, c *table.Commit, rows []command.RowWrite, out *command.Outbox) {
	c.Record.Fence = trainerFence(t, tr)
	record := c.Record
	tr.Pending = true
	first := command.RowWrite{Key: ledger.TrainerKey(tr.Name), Trainer: &record, IfVersion: tr.RowVersion}
	sendCommit(t, tr, c, append([]command.RowWrite{first}, rows...), out)
}

// writeRows sends a write of group and sample rows.
func writeRows(t *table.Tables, tr *table.Trainer, c *table.Commit, rows []command.RowWrite, out *command.Outbox) {
	tr.RowsPending = true
	sendCommit(t, tr, c, rows, out)
}

func sendCommit(t *table.Tables, tr *table.Trainer, c *table.Commit, rows []command.RowWrite, out *command.Outbox) {
	t.Controller.LastID++
	c.ID, c.Trainer, c.Fence = t.Controller.LastID, tr.Name, trainerFence(t, tr)
	row, _ := t.Commits.Upsert(table.CommitKey(c.ID))
	*row = *c
	out.Add(command.CommitRows{ID: c.ID, Rows: rows})
}

// dropTrainer removes the rows of a trainer whose partition is no longer held.
// The Trainers system refuses its waiting calls in the next tick.
func dropTrainer(t *table.Tables, name string) {
	for key, g := range t.Groups.All() {
		if g.Trainer == name {
			dropGroup(t, key)
		}
	}
	for key, c := range t.Commits.All() {
		if c.Trainer == name {
			t.Commits.Delete(key)
		}
	}
	t.Trainers.Delete(name)
}

func dropGroup(t *table.Tables, key string) {
	g := t.Groups.Find(key)
	for i := range g.Samples {
		t.Samples.Delete(table.SampleKey(g.Trainer, g.Record.Spec.ID, i))
	}
	t.Groups.Delete(key)
}

// countReason increments a counter that is tagged with a reason.
func countReason(out *command.Outbox, counter, reason string) {
	out.Add(command.Count{Counter: counter, Tags: map[string]string{"reason": reason}, Delta: 1})
}

func failureReason(f *event.Failure) string {
	if f == nil {
		return string(verdict.ReasonConflict)
	}
	return string(f.Reason)
}

// refuse returns the failure for a call that had no effect.
func refuse(reason verdict.Reason, message string) *event.Failure {
	return &event.Failure{Verdict: verdict.NotRun, Reason: reason, Message: message}
}
