package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// presenceRetryDelay is the wait before the row of this host is written again. A write
// whose answer was lost shows in the feed before.
const presenceRetryDelay = 700 * time.Millisecond

// Presence keeps the row of this host and publishes the addresses of the others.
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

func applyPresenceRow(now time.Duration, r *table.Rollout, h event.PresenceRow) bool {
	p, _ := r.Peers.Upsert(h.Host)
	if h.Version <= p.Version {
		return false
	}
	changed := p.Address != h.Address
	*p = table.PeerHost{Address: h.Address, BootID: h.BootID, Version: h.Version, VersionSeenAt: now, Deleted: h.Deleted}
	return changed
}

// presenceRenewalDue reports whether the owner of a lot cannot write its head and has not
// shown otherwise that it lives. Others would take the lot, with all results that wait,
// as soon as the head can be written again.
func presenceRenewalDue(now time.Duration, r *table.Rollout, own *table.PeerHost) bool {
	if now-own.VersionSeenAt < headRenewInterval {
		return false
	}
	for _, l := range r.Lots.All() {
		if l.Stage == table.LotOwned && l.Write != nil && now-l.VersionSeenAt > 2*headRenewInterval {
			return true
		}
	}
	return false
}

// peerAddresses returns where the other hosts answer, by name.
func peerAddresses(r *table.Rollout) map[string]string {
	all := make(map[string]string)
	for host, p := range r.Peers.All() {
		if host != r.Self.Host && p.Address != "" {
			all[host] = p.Address
		}
	}
	return all
}

func writePresence(now time.Duration, r *table.Rollout, out *command.Outbox) {
	feed := r.Feeds.Find(feedCoordination)
	if feed == nil || feed.Down || r.Presence.Address == "" || r.Presence.Writing {
		return
	}
	own := r.Peers.Find(r.Self.Host)
	there := own != nil && !own.Deleted && own.Address == r.Presence.Address
	if there != r.Draining && (r.Draining || !presenceRenewalDue(now, r, own)) {
		return
	}
	if now < r.Presence.NextWrite {
		out.WakeAt(r.Presence.NextWrite)
		return
	}
	r.Presence.Writing = true
	c := command.WritePresence{Remove: r.Draining}
	if own != nil && !own.Deleted {
		c.Version = own.Version
	}
	out.Add(c)
}
