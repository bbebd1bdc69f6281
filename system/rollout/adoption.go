package rollout

import (
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

const (
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
