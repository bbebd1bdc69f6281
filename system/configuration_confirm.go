package system

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// ownContact returns what this process reports to a peer about its configuration.
func ownContact(now time.Duration, t *table.Tables) event.Contact {
	c := &t.Config
	contact := event.Contact{
		Host: t.Self.Host, ConfigVersion: c.Version, PendingVersion: c.Pending,
		StoreReadAge: neverReadAge, CountsVote: c.CountsVote, Body: c.Body,
	}
	if c.EverRead {
		contact.StoreReadAge = now - c.StoreReadAt
	}
	return contact
}

// contactHosts contacts the other known entry hosts if the row has not been read
// for timing.ContactAfter.
func contactHosts(now time.Duration, t *table.Tables, timing ConfigTiming, out *command.Outbox) {
	if now-t.Config.StoreReadAt < timing.ContactAfter {
		return
	}
	for id, h := range t.Hosts.All() {
		if !isPeer(t, h) || h.ContactPending || now < h.NextContact {
			continue
		}
		h.ContactPending, h.ContactSentAt, h.NextContact = true, now, now+contactInterval
		out.Add(command.ContactHost{HostID: id, Address: h.Address, ConfigVersion: t.Config.Version})
	}
}

// isPeer reports whether h is another known entry host.
func isPeer(t *table.Tables, h *table.Host) bool {
	return h.Role == table.RoleEntry && h.Host != t.Self.Host
}

// applyContact records what a peer reported, as of the time when the contact was
// sent.
func applyContact(now time.Duration, t *table.Tables, made event.ContactMade, out *command.Outbox) {
	h := t.Hosts.Find(made.HostID)
	if h == nil {
		return
	}
	h.ContactPending = false
	if made.Failure != nil {
		return
	}
	contact := made.Contact
	adoptConfig(t, contact.ConfigVersion, contact.Body, "peer "+contact.Host, out)
	h.LastContact, h.ConfigVersion = h.ContactSentAt, contact.ConfigVersion
	h.PendingVersion, h.CountsVote = contact.PendingVersion, contact.CountsVote
	h.StoreReachable = contact.StoreReadAge <= contactMaxAge
	if h.StoreReachable {
		// Contact the peer again as soon as its read is too old to show that the
		// outage is local.
		wait := max(minContactInterval, contactMaxAge-contact.StoreReadAge)
		h.NextContact = min(h.NextContact, now+wait)
	}
}

// confirmByPeers confirms the configuration without the store if a majority of
// hosts votes for it. Any change accepted before the oldest contact of that
// majority was prepared by at least one of its hosts, which would have reported
// the pending version. The configuration is therefore confirmed as of the time
// of that contact.
func confirmByPeers(now time.Duration, t *table.Tables, timing ConfigTiming) {
	c := &t.Config
	if now-c.StoreReadAt < timing.ContactAfter || !t.HostRowSync.EverRead || c.Pending != 0 || c.Version == 0 {
		return
	}
	times, ok := votes(now, t)
	need := majority(t)
	if !ok || len(times) < need {
		return
	}
	slices.Sort(times)
	c.ConfirmedAt = max(c.ConfirmedAt, times[len(times)-need])
}

// votes returns the contact times of the hosts that count towards a majority,
// one per host name. ok is false if a recent contact reports a pending or newer
// version, or a peer that can read the store: then the configuration must not be
// confirmed by peers.
func votes(now time.Duration, t *table.Tables) (times []time.Duration, ok bool) {
	byHost := make(map[string]time.Duration)
	if t.Config.CountsVote && t.Self.Role == table.RoleEntry {
		byHost[t.Self.Host] = now
	}
	for _, h := range t.Hosts.All() {
		if !isPeer(t, h) || h.LastContact == 0 || now-h.LastContact > contactMaxAge {
			continue
		}
		if h.PendingVersion > t.Config.Version || h.ConfigVersion > t.Config.Version || h.StoreReachable {
			return nil, false
		}
		if h.CountsVote {
			byHost[h.Host] = max(byHost[h.Host], h.LastContact)
		}
	}
	for _, at := range byHost {
		times = append(times, at)
	}
	return times, true
}

// knownHosts returns the names of the known entry hosts, including this one. A
// restarted host may have two rows but counts once.
func knownHosts(t *table.Tables) map[string]bool {
	names := make(map[string]bool)
	if t.Self.Role == table.RoleEntry {
		names[t.Self.Host] = true
	}
	for _, h := range t.Hosts.All() {
		if h.Role == table.RoleEntry {
			names[h.Host] = true
		}
	}
	return names
}

// majority returns the number of hosts that form a majority of the known ones.
func majority(t *table.Tables) int { return len(knownHosts(t))/2 + 1 }
