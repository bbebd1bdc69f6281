package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/table"
)

// maxRowsPerWrite bounds the group and sample rows of one transaction. The table
// service allows 1,024 rows. Half of that uses up its write rate limit for about
// two seconds.
const maxRowsPerWrite = 512

// RowWrites writes finished samples, scores, new attempts of stale groups and
// deletions. At most one such write per trainer is in flight, so results that
// arrive in the meantime share the next one. The kinds of writes take turns.
func RowWrites() System {
	writers := []func(*table.Tables, *table.Trainer, *command.Outbox) bool{
		writeSamples, writeScores, regenerateStale, deleteDelivered,
	}
	return func(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
		for _, tr := range t.Trainers.All() {
			if now < tr.RetryAt {
				out.WakeAt(tr.RetryAt)
			}
			if tr.RowsPending || now < tr.RetryAt || !tr.Claimed {
				continue
			}
			if !canStartWork(t, tr) {
				writeSamples(t, tr, out) // finished samples are still written before the handover
				continue
			}
			for range writers {
				turn := tr.RowsTurn
				tr.RowsTurn = (turn + 1) % len(writers)
				if writers[turn](t, tr, out) {
					break
				}
			}
		}
	}
}

func writeSamples(t *table.Tables, tr *table.Trainer, out *command.Outbox) bool {
	c := table.Commit{Kind: table.CommitSamples}
	var rows []command.RowWrite
	taken := 0
	for _, h := range tr.FinishedSamples {
		if len(rows) == maxRowsPerWrite {
			break
		}
		taken++
		s := t.Samples.Get(h)
		if s == nil || s.Phase != table.SampleFinished {
			continue
		}
		if expireUnwritten(t, tr, s, out) {
			continue
		}
		s.Phase = table.SampleCommitting
		record := s.Record
		rows = append(rows, command.RowWrite{
			Key: ledger.SampleKey(tr.Name, record.Group, record.Attempt, record.Index), Sample: &record,
		})
		c.Keys = append(c.Keys, table.SampleKey(tr.Name, s.Group, s.Index))
	}
	tr.FinishedSamples = append(tr.FinishedSamples[:0], tr.FinishedSamples[taken:]...)
	if len(rows) == 0 {
		return false
	}
	writeRows(t, tr, &c, rows, out)
	return true
}

// expireUnwritten requeues a finished sample that became too stale before it was
// written, for example during an outage of the table service. It reports whether
// it did so.
func expireUnwritten(t *table.Tables, tr *table.Trainer, s *table.Sample, out *command.Outbox) bool {
	g := t.Groups.Find(table.GroupKey(tr.Name, s.Group))
	if ledger.Staleness(s.Record.Ranges, tr.Record.Version) <= g.Record.Spec.StalenessBound {
		return false
	}
	countReason(out, "sample_failed", reasonExpired)
	out.Add(command.DeleteObjects{Keys: []string{s.Record.ObjectKey}})
	s.Phase, s.Record, s.RetryAt = table.SampleWaiting, ledger.SampleRecord{}, 0
	g.Waiting++
	return true
}

func writeScores(t *table.Tables, tr *table.Trainer, out *command.Outbox) bool {
	c := table.Commit{Kind: table.CommitScores}
	var rows []command.RowWrite
	for _, h := range tr.GroupOrder {
		g := t.Groups.Get(h)
		if g == nil || g.Scores == nil || g.Phase != table.GroupScoring || len(rows) == maxRowsPerWrite {
			continue
		}
		record := g.Record
		record.Scores, record.Scored = g.Scores, true
		rows = append(rows, groupWrite(tr, record, g.RowVersion))
		c.Groups = append(c.Groups, record)
	}
	if len(rows) == 0 {
		return false
	}
	writeRows(t, tr, &c, rows, out)
	return true
}

func groupWrite(tr *table.Trainer, record ledger.GroupRecord, version uint64) command.RowWrite {
	return command.RowWrite{Key: ledger.GroupKey(tr.Name, record.Spec.ID), Group: &record, IfVersion: version}
}

// regenerateStale starts a new attempt of groups with samples that are too stale
// for the trainer's version.
func regenerateStale(t *table.Tables, tr *table.Trainer, out *command.Outbox) bool {
	if tr.StalenessCheckedFor == tr.Record.Version {
		return false
	}
	c := table.Commit{Kind: table.CommitRegenerate}
	var rows []command.RowWrite
	for _, h := range tr.GroupOrder {
		g := t.Groups.Get(h)
		if g == nil || g.Phase >= table.GroupFrozen || !isStale(g, tr.Record.Version) {
			continue
		}
		if len(rows)+len(g.Samples)+1 > maxRowsPerWrite && len(rows) > 0 {
			break
		}
		record := g.Record
		record.Attempt, record.Scores, record.Scored = record.Attempt+1, nil, false
		rows = append(rows, groupWrite(tr, record, g.RowVersion))
		c.Groups = append(c.Groups, record)
		rows, c.Objects = expireSamples(t, g, rows, c.Objects)
	}
	if len(rows) == 0 {
		tr.StalenessCheckedFor = tr.Record.Version
		return false
	}
	writeRows(t, tr, &c, rows, out)
	out.Add(command.Count{Counter: "samples_expired", Delta: int64(len(c.Objects))})
	out.Add(command.Count{Counter: "groups_regenerated", Delta: int64(len(c.Groups))})
	return true
}

func isStale(g *table.Group, version ledger.Version) bool {
	return g.Oldest > 0 && int64(version-g.Oldest) > g.Record.Spec.StalenessBound
}

// expireSamples adds deletions of the sample rows of the group's attempt to rows
// and the keys of their texts to objects. The texts are deleted only after the
// deletion of the rows has been committed.
func expireSamples(t *table.Tables, g *table.Group, rows []command.RowWrite, objects []string) ([]command.RowWrite, []string) {
	for _, h := range g.Samples {
		s := t.Samples.Get(h)
		if s.Phase != table.SampleCommitted {
			continue
		}
		rows = append(rows, command.RowWrite{
			Key: ledger.SampleKey(g.Trainer, s.Group, g.Record.Attempt, s.Index), Delete: true, AnyVersion: true,
		})
		objects = append(objects, s.Record.ObjectKey)
	}
	return rows, objects
}

// deleteDelivered deletes rows and texts of the oldest acknowledged batch, as many
// groups at a time as fit into maxRowsPerWrite, but at least one. The batch row is
// deleted last, so that another holder can continue.
func deleteDelivered(t *table.Tables, tr *table.Trainer, out *command.Outbox) bool {
	if len(tr.DeletingBatches) == 0 {
		return deleteOrphans(t, tr, out)
	}
	batch := &tr.DeletingBatches[0]
	c := table.Commit{Kind: table.CommitDelete, Last: true}
	chosen := make(map[string]bool)
	var rows []command.RowWrite
	planned := 0
	for _, id := range batch.Groups {
		key := table.GroupKey(tr.Name, id)
		g := t.Groups.Find(key)
		if g == nil {
			continue
		}
		if planned += len(g.Samples) + 1; planned > maxRowsPerWrite && len(chosen) > 0 {
			c.Last = false
			break
		}
		chosen[id] = true
		c.Keys = append(c.Keys, key)
		rows = append(rows, command.RowWrite{Key: ledger.GroupKey(tr.Name, id), Delete: true, IfVersion: g.RowVersion})
	}
	rows = deleteBatchSamples(batch, chosen, rows, out)
	if c.Last {
		rows = append(rows, command.RowWrite{Key: ledger.BatchKey(tr.Name, batch.Step, batch.Attempt), Delete: true, AnyVersion: true})
	}
	writeRows(t, tr, &c, rows, out)
	return true
}

func deleteBatchSamples(batch *ledger.BatchRecord, groups map[string]bool, rows []command.RowWrite, out *command.Outbox) []command.RowWrite {
	var objects []string
	for i := range batch.Samples {
		s := &batch.Samples[i]
		if !groups[s.Group] {
			continue
		}
		key := ledger.SampleKey(batch.Trainer, s.Group, s.Attempt, s.Index)
		rows = append(rows, command.RowWrite{Key: key, Delete: true, AnyVersion: true})
		objects = append(objects, s.ObjectKey)
	}
	if len(objects) > 0 {
		out.Add(command.DeleteObjects{Keys: objects})
	}
	return rows
}

// deleteOrphans deletes sample rows that a delayed write left behind.
func deleteOrphans(t *table.Tables, tr *table.Trainer, out *command.Outbox) bool {
	n := min(len(tr.OrphanSamples), maxRowsPerWrite)
	if n == 0 {
		return false
	}
	var rows []command.RowWrite
	for _, key := range tr.OrphanSamples[:n] {
		rows = append(rows, command.RowWrite{Key: key, Delete: true, AnyVersion: true})
	}
	tr.OrphanSamples = tr.OrphanSamples[n:]
	writeRows(t, tr, &table.Commit{Kind: table.CommitDelete}, rows, out)
	return true
}
