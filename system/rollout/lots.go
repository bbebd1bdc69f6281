package rollout

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/readbudget"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
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
	// adoptTimeout is the time without a heartbeat of the owner after which another host
	// adopts a lot. It covers two missed writes and the delay of the feed.
	adoptTimeout = 2300 * time.Millisecond
	// staggerStep is the time between the attempts of two successive hosts to adopt a lot
	// or acquire the order lease, in addition to the read interval of the feed; see staggerDelay.
	// It allows the feed to show an attempt that succeeded before the next host tries.
	staggerStep = 50 * time.Millisecond
	// handoverStaggerStep replaces staggerStep after a planned handover, when all hosts
	// that try earlier are known to be alive.
	handoverStaggerStep = 8 * time.Millisecond
	// maxHandoverCPUDelay and maxAdoptCPUDelay bound the additional wait of hosts with less
	// than one CPU core, see lowCPUDelay. Hosts with more CPU adopt lots first.
	maxHandoverCPUDelay = 150 * time.Millisecond
	maxAdoptCPUDelay    = 500 * time.Millisecond
	// runnerTTL is the time after the last change of a lot's head for which its owner is
	// given further lots.
	runnerTTL = 1300 * time.Millisecond
	// ownWriteTimeout is the time for which this process waits for the outcome of its own
	// write of a head that it has read from the store. After it, this process adopts the
	// lot, because the write may have been reported as failed although it took effect.
	ownWriteTimeout = 1500 * time.Millisecond
	// assignedOwnerTimeout is the time within which the process that was chosen to run a
	// lot must change its head. After it, the host that accepted the lot adopts it, since
	// the chosen process may have died shortly before it was chosen.
	assignedOwnerTimeout = 600 * time.Millisecond
	// adoptRetryDelay is the wait after a failed adoption.
	adoptRetryDelay = 300 * time.Millisecond
	// loadRetryDelay is the wait of a host that could not load a lot before it adopts the lot
	// again. All other hosts can try within it, also if the handover is not written.
	loadRetryDelay = 2 * adoptTimeout
	// ownerReturnDelay is the time that an owner is given to renew the head of its lot after
	// the partition of the head has become available again. It covers a write that was sent
	// during the outage, its timeout and its repetition.
	ownerReturnDelay = 1500 * time.Millisecond
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

// handleAdopted applies the outcome of an adoption.
func handleAdopted(now time.Duration, t *table.Tables, e event.LotAdopted, out *command.Outbox) {
	l := t.Rollout.Lots.Find(e.ID)
	if l == nil || l.Stage != table.LotAdopting {
		return
	}
	if e.ProgressLost != nil {
		logLot("stored progress of lot could not be read", l, out, field("reason", string(e.ProgressLost.Reason)), field("error", e.ProgressLost.Message))
	}
	if e.Failure == nil {
		takeOwnership(now, t, e.Head, e.Version, e.Submission, e.Listed, e.Progress, out)
		return
	}
	l.Stage, l.RetryAt = table.LotNotOwned, now+adoptRetryDelay
	if e.Version != 0 {
		giveUpLot(now, t, l, e, out)
	}
	l.PartitionDown = e.Failure.Reason == verdict.ReasonStoreUnavailable && mayHaveLiveOwner(&t.Rollout, l)
	out.Add(command.Count{Counter: "lot_adoption_failed", Tags: map[string]string{"reason": string(e.Failure.Reason)}, Delta: 1})
	logLot("lot not adopted", l, out, field("reason", string(e.Failure.Reason)), field("error", e.Failure.Message))
}

// giveUpLot hands over a lot that this process has adopted and could not load, so that another
// host tries. If the handover is not written, others adopt the lot after adoptTimeout.
func giveUpLot(now time.Duration, t *table.Tables, l *table.Lot, e event.LotAdopted, out *command.Outbox) {
	l.RetryAt = now + loadRetryDelay
	if e.Version != l.Version && !replacesHead(l, e.Head, e.Version) {
		return // the lot ended or has another owner
	}
	l.Head, l.Version, l.VersionSeenAt = e.Head, e.Version, now
	h := e.Head
	h.Owner, h.WriteID = lot.Process{}, newWriteID(&t.Rollout)
	out.Add(command.WriteLot{Head: h, Version: e.Version})
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

// Adoption takes over open lots whose owner sends no heartbeats, that were handed over,
// or whose owner is an earlier process of this host.
func Adoption(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
	r := &t.Rollout
	feed := r.Feeds.Find(feedCoordination)
	if r.Draining || r.Desired == nil || (feed != nil && feed.Down) {
		return
	}
	for id, l := range r.Lots.All() {
		if l.Stage != table.LotNotOwned || l.Checking || !l.Head.Open() || !headConfirmed(r, l) {
			continue
		}
		wait, step := adoptionWait(r, l)
		due := max(ownerLastSeen(r, l)+wait, l.RetryAt)
		if feed != nil {
			due = max(due, feed.Since+wait)
		}
		if now >= due && step > 0 {
			due += staggerDelay(r, id, step)
		}
		if now < due {
			out.WakeAt(due)
			continue
		}
		if l.PartitionDown {
			l.Checking = true
			out.Add(command.CheckHead{ID: id, CandidateIndex: l.Head.CandidateIndex})
			continue
		}
		l.Stage = table.LotAdopting
		h := l.Head
		h.Owner, h.WriteID = r.Self, newWriteID(r)
		logLot("adopting lot", l, out, field("owner", l.Head.Owner.Host), field("silent_ms", millis(now-l.VersionSeenAt)))
		out.Add(command.Count{Counter: "lot_adoptions", Delta: 1})
		out.Add(command.AdoptLot{Head: h, Version: l.Version})
	}
}

// mayHaveLiveOwner reports whether another host owns a lot and may still be alive.
func mayHaveLiveOwner(r *table.Rollout, l *table.Lot) bool {
	return l.Head.Owner != (lot.Process{}) && l.Head.Owner.Host != r.Self.Host
}

// handleChecked applies the outcome of a check whether the partition of a head is
// available. Once it is, the owner gets ownerReturnDelay to renew the head: it could not do
// so before, and an adoption would discard the results that it could not commit.
func handleChecked(now time.Duration, t *table.Tables, e event.HeadChecked, out *command.Outbox) {
	l := t.Rollout.Lots.Find(e.Row.ID)
	if l == nil || !l.Checking {
		return
	}
	l.Checking = false
	if e.Failure != nil {
		l.RetryAt = now + adoptRetryDelay
		return
	}
	l.PartitionDown, l.RetryAt = false, now+ownerReturnDelay
	if e.Row.Version > l.Version {
		applyHead(now, t, &e.Row, out)
	}
}

// ownerLastSeen returns the time of the owner's last heartbeat: the last change of the
// lot's head or of the owner's presence row, which an owner writes when it cannot write
// the head.
func ownerLastSeen(r *table.Rollout, l *table.Lot) time.Duration {
	seen := l.VersionSeenAt
	if p := r.Peers.Find(l.Head.Owner.Host); p != nil && p.BootID == l.Head.Owner.BootID {
		seen = max(seen, p.VersionSeenAt)
	}
	return seen
}

// adoptionWait returns the time without a heartbeat of the owner after which this host
// adopts the lot, and the step by which the attempts of several hosts are then staggered,
// 0 if no other host competes with this one.
func adoptionWait(r *table.Rollout, l *table.Lot) (wait, step time.Duration) {
	switch {
	case l.Head.Owner == r.Self && strings.HasPrefix(l.Head.WriteID, writeIDPrefix(r)):
		return ownWriteTimeout, 0 // stored by this process, the outcome is still unknown
	case l.Head.Owner == r.Self:
		return 0, 0 // accepted by another host, which chose this process
	case l.Head.Owner.Host == r.Self.Host:
		return 0, 0 // owned by an earlier process of this host, which cannot be alive
	case l.Head.Owner == lot.Process{}:
		return lowCPUDelay(r, maxHandoverCPUDelay), handoverStaggerStep
	case strings.HasPrefix(l.Head.WriteID, writeIDPrefix(r)) && !r.Self.LowCPU():
		feedInterval := readbudget.MinInterval(r.StoreReadsPerSecond, r.Peers.Len(), readbudget.CoordinationShare)
		return assignedOwnerTimeout + 2*feedInterval, 0 // accepted by this process for another one
	default:
		return adoptTimeout + lowCPUDelay(r, maxAdoptCPUDelay), staggerStep
	}
}

// lowCPUDelay returns limit, scaled by the fraction by which this host's CPU falls short
// of one core.
func lowCPUDelay(r *table.Rollout, limit time.Duration) time.Duration {
	return limit * time.Duration(max(0, 1000-r.Self.CPUMillicores)) / 1000
}

// staggerDelay returns the additional wait of this host before it tries to adopt the lot
// or acquire the lease with the given id. Hosts try one after the other in the order of a hash
// of the id and their name. Each waits for step and the read interval of the feed after
// the one before it. Otherwise all hosts of a large deployment would write at the same
// time, and all writes but one would fail.
func staggerDelay(r *table.Rollout, id string, step time.Duration) time.Duration {
	own := xxhash.Sum64String(id + r.Self.Host)
	ahead := 0
	for host, p := range r.Peers.All() {
		if host != r.Self.Host && !p.Deleted && xxhash.Sum64String(id+host) < own {
			ahead++
		}
	}
	return time.Duration(ahead) * (step + readbudget.MinInterval(r.StoreReadsPerSecond, r.Peers.Len(), readbudget.CoordinationShare))
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
