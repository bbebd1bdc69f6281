package rollout

import (
	"fmt"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
)

// Names of the feeds whose state affects decisions.
const (
	feedServers      = "servers"
	feedCoordination = lot.TableCoordination
)

const (
	// headRenewInterval is the maximum time between two writes of the head of an open lot
	// by its owner. The writes are heartbeats, which show other hosts that the owner is
	// alive.
	headRenewInterval = 900 * time.Millisecond
	// runnerTTL is the time after the last change of a lot's head for which its owner is
	// given further lots.
	runnerTTL = 1300 * time.Millisecond
)

// Lots maintains the table of lots: those that this process accepted or adopted, and
// the stored heads of all others.
func Lots(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	for _, e := range in {
		switch e := e.(type) {
		case event.LotAccepted:
			takeOwnership(now, t, e.Head, e.Version, e.Submission, nil, nil, out)
		case event.LotAdopted:
			handleAdopted(now, t, e, out)
		case event.HeadsRead:
			applyHeads(now, t, e, out)
		case event.HeadChecked:
			handleChecked(now, t, e, out)
		case event.LotWritten:
			handleWritten(now, t, e, out)
		}
	}
}

// takeOwnership makes this process the owner of a lot and creates rows for the items
// whose results are not listed yet.
func takeOwnership(now time.Duration, t *table.Tables, h lot.Head, version uint64, s *lot.Submission, listed []string, progress []lot.Progress, out *command.Outbox) {
	r := &t.Rollout
	l, created := r.Lots.Upsert(h.ID)
	if created {
		l.SeenAt = now
	}
	if l.Version != version && !replacesHead(l, h, version) {
		if l.Stage == table.LotAdopting {
			l.Stage = table.LotNotOwned
		}
		return // a head that takes precedence has been read meanwhile
	}
	*l = table.Lot{
		Head: h, Version: version, VersionSeenAt: now, SeenAt: l.SeenAt, Stage: table.LotOwned, Submission: s, LastWriteAt: now,
		AcceptedAt: now, LastProgressAt: now, Listed: make(map[string]bool, len(listed)),
	}
	beginStep(now, r, l)
	for _, id := range listed {
		l.Listed[id] = true
	}
	stored := make(map[string]lot.Progress, len(progress))
	for _, p := range progress {
		stored[p.Item] = p
	}
	for i := range s.Items {
		spec := &s.Items[i]
		if l.Listed[spec.ID] {
			continue
		}
		item, _ := r.Items.Upsert(table.ItemKey(h.ID, spec.ID))
		*item = newItem(now, h.ID, spec, stored[spec.ID])
	}
	r.LotsChanged = true
	logLot("lot owned", l, out, field("resumed_items", strconv.Itoa(len(progress))))
}

// replacesHead reports whether a head replaces the known head of its lot. Of heads that
// were created in several candidate partitions, the one created first is authoritative;
// of the versions of one head, the newest is.
func replacesHead(l *table.Lot, h lot.Head, version uint64) bool {
	knownAt, createdAt := l.Head.CreationVersion(l.Version), h.CreationVersion(version)
	return l.Version == 0 || createdAt < knownAt || (createdAt == knownAt && version > l.Version)
}

// headConfirmed reports whether all heads are known that were created before the known
// head of the lot, so that no earlier head of the same lot can appear. Until then no
// item of the lot runs and no result is listed, because another host may have accepted
// the lot before.
func headConfirmed(r *table.Rollout, l *table.Lot) bool {
	return r.HeadsKnown && l.Head.CreationVersion(l.Version) <= r.HeadsVersion
}

// newItem returns an item that continues from its stored progress.
func newItem(now time.Duration, id string, spec *lot.Item, p lot.Progress) table.Item {
	item := table.Item{Lot: id, Spec: spec, Stage: table.ItemWaiting, WaitingSince: now, Events: p.Events, Versions: p.Versions, Software: p.Software, StoredEvents: len(p.Events)}
	if p.Complete && spec.Scorer != nil {
		item.Stage, item.NotBefore = table.ItemScoring, now
	}
	return item
}

// applyHeads applies a read of heads. After a full read, lots that are not owned and
// not among the heads are deleted.
func applyHeads(now time.Duration, t *table.Tables, e event.HeadsRead, out *command.Outbox) {
	listed := make(map[string]bool, len(e.Heads))
	for i := range e.Heads {
		listed[e.Heads[i].ID] = true
		applyHead(now, t, &e.Heads[i], out)
	}
	r := &t.Rollout
	if e.Full || (r.HeadsKnown && e.Version > r.HeadsVersion) {
		r.HeadsVersion, r.HeadsKnown, r.LotsChanged = max(r.HeadsVersion, e.Version), true, true
	}
	if !e.Full {
		return
	}
	for id, l := range t.Rollout.Lots.All() {
		if !listed[id] && l.Stage == table.LotNotOwned {
			t.Rollout.Lots.Delete(id)
			t.Rollout.LotsChanged = true
		}
	}
}

// applyHead applies a head that replaces the known one. A head from a write of this
// process that is still in flight is skipped: the outcome of the write applies it.
func applyHead(now time.Duration, t *table.Tables, h *event.HeadRow, out *command.Outbox) {
	r := &t.Rollout
	if h.Deleted {
		// The deletion of a head that another one supersedes does not delete the lot.
		if l := r.Lots.Find(h.ID); l != nil && h.Version > l.Version && h.Head.CandidateIndex == l.Head.CandidateIndex {
			dropLot(t, l, out)
			r.Lots.Delete(h.ID)
			r.LotsChanged = true
		}
		return
	}
	l, created := r.Lots.Upsert(h.ID)
	if created {
		l.Stage, l.SeenAt = table.LotNotOwned, now
	}
	if !replacesHead(l, h.Head, h.Version) {
		return // already known, or of a later creation
	}
	if l.Stage == table.LotOwned && l.Write != nil && l.Write.Head.WriteID == h.Head.WriteID {
		return // applied with the outcome of the write
	}
	replaceHead(now, t, l, h, out)
}

// replaceHead replaces the head of a lot by one that was read from the store. This
// process stops running the lot if the lot has ended, has another owner or has a head in
// another candidate partition that was created before.
func replaceHead(now time.Duration, t *table.Tables, l *table.Lot, h *event.HeadRow, out *command.Outbox) {
	r := &t.Rollout
	previous := l.Head
	l.Head, l.Version, l.VersionSeenAt, l.PartitionDown = h.Head, h.Version, now, false
	r.LotsChanged = r.LotsChanged || previous.Listed != h.Head.Listed || previous.Ended != h.Head.Ended || previous.Total != h.Head.Total || previous.Organisation != h.Head.Organisation
	if l.Stage != table.LotOwned {
		return
	}
	if h.Head.Owner != r.Self || h.Head.Ended || h.Head.CandidateIndex != previous.CandidateIndex {
		reason := "ended"
		if !h.Head.Ended {
			reason = "another owner"
		}
		logLot("lot no longer run", l, out, field("reason", reason))
		dropLot(t, l, out)
		l.Stage = table.LotNotOwned
	}
}

// dropLot stops the runs and scoring requests of an owned lot's items and deletes the items.
func dropLot(t *table.Tables, l *table.Lot, out *command.Outbox) {
	if l.Stage != table.LotOwned {
		return
	}
	for _, key := range itemKeys(l) {
		dropItem(t, key, out)
	}
	l.Submission, l.Listed, l.Pending, l.Write = nil, nil, nil, nil
}

// itemKeys returns the keys of all items of an owned lot.
func itemKeys(l *table.Lot) []string {
	keys := make([]string, 0, len(l.Submission.Items))
	for i := range l.Submission.Items {
		keys = append(keys, table.ItemKey(l.Head.ID, l.Submission.Items[i].ID))
	}
	return keys
}

// dropItem stops the run or the scoring request of an item and deletes the item.
func dropItem(t *table.Tables, key string, out *command.Outbox) {
	item := t.Rollout.Items.Find(key)
	if item == nil {
		return
	}
	stopItem(t, key, item, out)
	cancelReservation(&t.Rollout, item)
	t.Rollout.Items.Delete(key)
}

// releaseSlot removes a running item from the count of its server.
func releaseSlot(t *table.Tables, item *table.Item) {
	if s := t.Rollout.Servers.Find(item.Server); s != nil && s.Running > 0 {
		s.Running--
	}
}

// newWriteID returns a unique id for a write of a lot's head.
func newWriteID(r *table.Rollout) string {
	r.WriteCount++
	return fmt.Sprintf("%s%d", writeIDPrefix(r), r.WriteCount)
}

// writeIDPrefix returns the prefix of the write ids of this process.
func writeIDPrefix(r *table.Rollout) string { return r.Self.Host + "/" + r.Self.BootID + "/" }

func logLot(message string, l *table.Lot, out *command.Outbox, more ...command.Field) {
	out.Add(command.LogChange{Message: message, Fields: append([]command.Field{
		field("lot", l.Head.ID), field("row_version", strconv.FormatUint(l.Version, 10)),
		field("listed", strconv.Itoa(l.Head.Listed)), field("total", strconv.Itoa(l.Head.Total)),
	}, more...)})
}
