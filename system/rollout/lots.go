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
)

// Names of the feeds that decisions depend on.
const (
	feedServers      = "servers"
	feedCoordination = lot.TableCoordination
)

const (
	// headRenewInterval is the period at which an owner writes the head of an open lot, so
	// that others see that it lives.
	headRenewInterval = 900 * time.Millisecond
	// adoptTimeout is the silence of an owner after which others take a lot: two
	// missed writes and the delay of the feed.
	adoptTimeout = 2300 * time.Millisecond
	// staggerStep is the additional wait of each host after the one before it in the order
	// of those that may take a lot. By then the feed shows that one of them has.
	staggerStep = 50 * time.Millisecond
	// handoverStaggerStep is the same after a planned hand-over, when all hosts before are known
	// to live.
	handoverStaggerStep = 8 * time.Millisecond
	// maxHandoverCPUDelay and weakAdopt are added to the waits of a host by what it lacks of
	// a whole core, so that strong hosts take lots first.
	maxHandoverCPUDelay = 150 * time.Millisecond
	maxAdoptCPUDelay    = 500 * time.Millisecond
	// runnerTTL is the silence up to which the owner of a lot is given further lots.
	runnerTTL = 1300 * time.Millisecond
	// ownWriteTimeout is the time in which a submission whose storing seemed to fail may
	// still turn out to be accepted by this process.
	ownWriteTimeout = 1500 * time.Millisecond
	// assignedOwnerTimeout is the time in which the process that was chosen to run a lot shows
	// that it does. The host that accepted the lot takes it after that: the chosen one may
	// have died shortly before.
	assignedOwnerTimeout = 600 * time.Millisecond
	// adoptRetryDelay is the wait after an adoption that failed.
	adoptRetryDelay = 300 * time.Millisecond
)

// Lots keeps the table of lots: those that this process accepted or adopted and
// what the store holds of all others.
func Lots(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	for _, e := range in {
		switch e := e.(type) {
		case event.LotAccepted:
			takeOwnership(now, t, e.Head, e.Version, e.Submission, nil, nil, out)
		case event.LotAdopted:
			handleAdopted(now, t, e, out)
		case event.HeadsRead:
			applyHeads(now, t, e, out)
		case event.LotWritten:
			handleWritten(now, t, e, out)
		}
	}
}

// takeOwnership makes this process the owner of a lot and creates the items that are not
// listed.
func takeOwnership(now time.Duration, t *table.Tables, h lot.Head, version uint64, s *lot.Submission, results []lot.Result, progress []lot.Progress, out *command.Outbox) {
	r := &t.Rollout
	l, _ := r.Lots.Upsert(h.ID)
	if l.Version != version && !replacesHead(l, h, version) {
		if l.Stage == table.LotAdopting {
			l.Stage = table.LotNotOwned
		}
		return // a head that counts more has been read meanwhile
	}
	*l = table.Lot{
		Head: h, Version: version, VersionSeenAt: now, Stage: table.LotOwned, Submission: s, LastWriteAt: now,
		AcceptedAt: now, LastProgressAt: now, Listed: make(map[string]bool, len(results)),
	}
	for _, res := range results {
		l.Listed[res.Item] = true
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

// replacesHead reports whether a head replaces the known one of its lot: it is newer, or was
// created before that in another place.
func replacesHead(l *table.Lot, h lot.Head, version uint64) bool {
	knownAt, createdAt := l.Head.CreationVersion(l.Version), h.CreationVersion(version)
	return l.Version == 0 || createdAt < knownAt || (createdAt == knownAt && version > l.Version)
}

// headConfirmed reports whether all heads of the lot that may count before this one are
// known. Until then no result is listed and no item runs: they could belong to a lot
// that another host accepted before.
func headConfirmed(r *table.Rollout, l *table.Lot) bool {
	return r.HeadsKnown && l.Head.CreationVersion(l.Version) <= r.HeadsVersion
}

// newItem returns an item that continues from what is stored of it.
func newItem(now time.Duration, id string, spec *lot.Item, p lot.Progress) table.Item {
	item := table.Item{Lot: id, Spec: spec, Stage: table.ItemWaiting, Events: p.Events, Versions: p.Versions, StoredEvents: len(p.Events)}
	if p.Complete && spec.Scorer != nil {
		item.Stage, item.NotBefore = table.ItemScoring, now
	}
	return item
}

func handleAdopted(now time.Duration, t *table.Tables, e event.LotAdopted, out *command.Outbox) {
	l := t.Rollout.Lots.Find(e.ID)
	if l == nil || l.Stage != table.LotAdopting {
		return
	}
	if e.ProgressLost != nil {
		logLot("progress of lot not read", l, out, field("reason", string(e.ProgressLost.Reason)), field("error", e.ProgressLost.Message))
	}
	if e.Failure == nil {
		takeOwnership(now, t, e.Head, e.Version, e.Submission, e.Results, e.Progress, out)
		return
	}
	l.Stage, l.RetryAt = table.LotNotOwned, now+adoptRetryDelay
	out.Add(command.Count{Counter: "lot_adoption_failed", Tags: map[string]string{"reason": string(e.Failure.Reason)}, Delta: 1})
	logLot("lot not adopted", l, out, field("reason", string(e.Failure.Reason)), field("error", e.Failure.Message))
}

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

// applyHead takes a head that is newer than the known one. A head that this process
// wrote itself is known as soon as its write ends; until then it is left to that.
func applyHead(now time.Duration, t *table.Tables, h *event.HeadRow, out *command.Outbox) {
	r := &t.Rollout
	if h.Deleted {
		if l := r.Lots.Find(h.ID); l != nil && h.Version > l.Version {
			dropLot(t, l, out)
			r.Lots.Delete(h.ID)
			r.LotsChanged = true
		}
		return
	}
	l, created := r.Lots.Upsert(h.ID)
	if created {
		l.Stage = table.LotNotOwned
	}
	if !replacesHead(l, h.Head, h.Version) {
		return // known, or left behind by a creation that came later
	}
	if l.Stage == table.LotOwned && l.Write != nil && l.Write.Head.WriteID == h.Head.WriteID {
		return // the outcome of the write says so too
	}
	replaceHead(now, t, l, h, out)
}

// replaceHead replaces the head of a lot by one that another process wrote.
func replaceHead(now time.Duration, t *table.Tables, l *table.Lot, h *event.HeadRow, out *command.Outbox) {
	r := &t.Rollout
	previous := l.Head
	l.Head, l.Version, l.VersionSeenAt = h.Head, h.Version, now
	r.LotsChanged = r.LotsChanged || previous.Listed != h.Head.Listed || previous.Ended != h.Head.Ended || previous.Total != h.Head.Total
	if l.Stage != table.LotOwned {
		return
	}
	if h.Head.Owner != r.Self || h.Head.Ended || h.Head.Place != previous.Place {
		reason := "ended"
		if !h.Head.Ended {
			reason = "another owner"
		}
		logLot("lot no longer run", l, out, field("reason", reason))
		dropLot(t, l, out)
		l.Stage = table.LotNotOwned
	}
}

// dropLot stops the runs of a lot's items and forgets them.
func dropLot(t *table.Tables, l *table.Lot, out *command.Outbox) {
	if l.Stage != table.LotOwned {
		return
	}
	for _, key := range itemKeys(l) {
		dropItem(t, key, out)
	}
	l.Submission, l.Listed, l.Pending, l.Write = nil, nil, nil, nil
}

func itemKeys(l *table.Lot) []string {
	keys := make([]string, 0, len(l.Submission.Items))
	for i := range l.Submission.Items {
		keys = append(keys, table.ItemKey(l.Head.ID, l.Submission.Items[i].ID))
	}
	return keys
}

func dropItem(t *table.Tables, key string, out *command.Outbox) {
	item := t.Rollout.Items.Find(key)
	if item == nil {
		return
	}
	if item.Stage == table.ItemRunning {
		out.Add(command.StopRun{Key: key, Run: item.Run})
		releaseSlot(t, item)
	}
	t.Rollout.Items.Delete(key)
}

// releaseSlot takes an item off the count of its server.
func releaseSlot(t *table.Tables, item *table.Item) {
	if s := t.Rollout.Servers.Find(item.Server); s != nil && s.Running > 0 {
		s.Running--
	}
}

// Adoption takes over open lots whose owner is silent, has handed them over, or was
// an earlier lifetime of this process.
func Adoption(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
	r := &t.Rollout
	feed := r.Feeds.Find(feedCoordination)
	if r.Draining || r.Desired == nil || (feed != nil && feed.Down) {
		return
	}
	for id, l := range r.Lots.All() {
		if l.Stage != table.LotNotOwned || !l.Head.Open() || !headConfirmed(r, l) {
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
		l.Stage = table.LotAdopting
		h := l.Head
		h.Owner, h.WriteID = r.Self, newWriteID(r)
		logLot("adopting lot", l, out, field("owner", l.Head.Owner.Host), field("silent_ms", millis(now-l.VersionSeenAt)))
		out.Add(command.Count{Counter: "lot_adoptions", Delta: 1})
		out.Add(command.AdoptLot{Head: h, Version: l.Version})
	}
}

// ownerLastSeen counts the silence of the owner from the last change of the head, or from
// the last sign of life of an owner that cannot write the head.
func ownerLastSeen(r *table.Rollout, l *table.Lot) time.Duration {
	seen := l.VersionSeenAt
	if p := r.Peers.Find(l.Head.Owner.Host); p != nil && p.BootID == l.Head.Owner.BootID {
		seen = max(seen, p.VersionSeenAt)
	}
	return seen
}

// adoptionWait is how long a head must not have changed before a host takes the lot, and
// the step of the turns in which hosts then try, 0 if only this one may.
func adoptionWait(r *table.Rollout, l *table.Lot) (wait, step time.Duration) {
	switch {
	case l.Head.Owner == r.Self && strings.HasPrefix(l.Head.WriteID, writeIDPrefix(r)):
		return ownWriteTimeout, 0 // this process stored it and has not heard of that yet
	case l.Head.Owner == r.Self:
		return 0, 0 // another host accepted it and chose this one
	case l.Head.Owner.Host == r.Self.Host:
		return 0, 0 // an earlier lifetime of this process: it cannot be alive
	case l.Head.Owner == lot.Process{}:
		return lowCPUDelay(r, maxHandoverCPUDelay), handoverStaggerStep
	case strings.HasPrefix(l.Head.WriteID, writeIDPrefix(r)) && !r.Self.LowCPU():
		feed := readbudget.MinInterval(r.StoreReadsPerSecond, r.Peers.Len(), readbudget.CoordinationShare)
		return assignedOwnerTimeout + 2*feed, 0 // this process accepted it for another one
	default:
		return adoptTimeout + lowCPUDelay(r, maxAdoptCPUDelay), staggerStep
	}
}

// lowCPUDelay scales a wait by what the host lacks of a whole core.
func lowCPUDelay(r *table.Rollout, most time.Duration) time.Duration {
	return most * time.Duration(max(0, 1000-r.Self.CPUMillicores)) / 1000
}

// staggerDelay is the wait of this host until those before it have had their turn to take a
// thing. Without an order all hosts of a large deployment would try at the same time,
// each with a write that cannot succeed.
func staggerDelay(r *table.Rollout, id string, step time.Duration) time.Duration {
	own := xxhash.Sum64String(id + r.Self.Host)
	before := 0
	for host, p := range r.Peers.All() {
		if host != r.Self.Host && !p.Deleted && xxhash.Sum64String(id+host) < own {
			before++
		}
	}
	return time.Duration(before) * (step + readbudget.MinInterval(r.StoreReadsPerSecond, r.Peers.Len(), readbudget.CoordinationShare))
}

// newWriteID returns a value that no other write has.
func newWriteID(r *table.Rollout) string {
	r.WriteCount++
	return fmt.Sprintf("%s%d", writeIDPrefix(r), r.WriteCount)
}

func writeIDPrefix(r *table.Rollout) string { return r.Self.Host + "/" + r.Self.BootID + "/" }

func logLot(message string, l *table.Lot, out *command.Outbox, more ...command.Field) {
	out.Add(command.LogChange{Message: message, Fields: append([]command.Field{
		field("lot", l.Head.ID), field("row_version", strconv.FormatUint(l.Version, 10)),
		field("listed", strconv.Itoa(l.Head.Listed)), field("total", strconv.Itoa(l.Head.Total)),
	}, more...)})
}
