package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// presenceRetryDelay is the wait after a write of the row of this host before the next
// one. Within this time the feed shows a write whose answer was lost.
const presenceRetryDelay = 700 * time.Millisecond

// Presence maintains the presence row of this host and publishes the addresses of the
// other hosts.
func Presence(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	changed := false
	for _, e := range in {
		switch e := e.(type) {
		case event.PresenceRead:
			for _, h := range e.Rows {
				changed = applyPresenceRow(now, r, h) || changed
			}
		case event.PresenceWritten:
			r.Presence.Writing, r.Presence.NextWrite = false, now+presenceRetryDelay
			if e.Failure != nil {
				out.Add(command.Count{Counter: "host_row_not_written", Tags: map[string]string{"reason": string(e.Failure.Reason)}, Delta: 1})
			}
		}
	}
	if changed {
		out.Add(command.PublishPeers{Addresses: peerAddresses(r)})
	}
	writePresence(now, r, out)
}

// applyPresenceRow updates a peer from its row and reports whether its address changed.
func applyPresenceRow(now time.Duration, r *table.Rollout, h event.PresenceRow) bool {
	p, _ := r.Peers.Upsert(h.Host)
	if h.Version <= p.Version {
		return false
	}
	changed := p.Address != h.Address
	*p = table.PeerHost{Address: h.Address, BootID: h.BootID, LimitedEngines: h.LimitedEngines, Version: h.Version, VersionSeenAt: now, Deleted: h.Deleted}
	return changed
}

// presenceRenewalDue reports whether this host must write its row to show that it is
// alive: the row lists engines with a limit, which others believe for limitMemory, or it cannot
// write the head of a lot that it owns, or it loads a lot that it has adopted, and the row is
// older than headRenewInterval. Without the row, another host would adopt the lot, and the
// results that wait for their commit, or what has been loaded, would be lost.
func presenceRenewalDue(now time.Duration, r *table.Rollout, own *table.PeerHost) bool {
	if now-own.VersionSeenAt < headRenewInterval {
		return false
	}
	if len(own.LimitedEngines) > 0 && now-own.VersionSeenAt > limitMemory/2 {
		return true
	}
	for _, l := range r.Lots.All() {
		switch {
		case l.Stage == table.LotOwned && l.Write != nil && now-l.VersionSeenAt > 2*headRenewInterval:
			return true
		case l.Stage == table.LotAdopting && l.Head.Owner == r.Self && now-l.VersionSeenAt > headRenewInterval:
			return true
		}
	}
	return false
}

// peerAddresses returns the addresses of the other hosts by host name.
func peerAddresses(r *table.Rollout) map[string]string {
	all := make(map[string]string)
	for host, p := range r.Peers.All() {
		if host != r.Self.Host && p.Address != "" {
			all[host] = p.Address
		}
	}
	return all
}

// writePresence writes the row of this host when it is missing, out of date or due for
// renewal, and removes it during a graceful shutdown.
func writePresence(now time.Duration, r *table.Rollout, out *command.Outbox) {
	feed := r.Feeds.Find(feedCoordination)
	if feed == nil || feed.Down || r.Presence.Address == "" || r.Presence.Writing {
		return
	}
	own := r.Peers.Find(r.Self.Host)
	limited := ownLimitedEngines(now, r)
	upToDate := own != nil && !own.Deleted && own.Address == r.Presence.Address && (r.Draining || slices.Equal(own.LimitedEngines, limited))
	if upToDate != r.Draining && (r.Draining || !presenceRenewalDue(now, r, own)) {
		return
	}
	if now < r.Presence.NextWrite {
		out.WakeAt(r.Presence.NextWrite)
		return
	}
	r.Presence.Writing = true
	c := command.WritePresence{LimitedEngines: limited, Remove: r.Draining}
	if own != nil && !own.Deleted {
		c.Version = own.Version
	}
	out.Add(c)
}
