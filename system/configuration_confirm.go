package system

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// ownContact is what this process tells a peer about the configuration.
func ownContact(now time.Duration, t *table.Tables) event.Contact {
	c := &t.Config
	contact := event.Contact{
		Host: t.Self.Host, ConfigVersion: c.Version, PendingVersion: c.Pending,
		StoreReadAge: neverReadAge, EverRead: c.CountsVote, Body: c.Body,
	}
	if c.EverRead {
		contact.StoreReadAge = now - c.StoreReadAt
	}
	return contact
}

// contactHosts asks the other known hosts when the row was not read for a while.
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

// applyContact notes a peer's view as of the time when the contact was sent.
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
	h.PendingVersion, h.CountsVote = contact.PendingVersion, contact.EverRead
	h.StoreReachable = contact.StoreReadAge <= contactMaxAge
	if h.StoreReachable {
		// Asks again as soon as the read is too old to show a local outage.
		wait := max(minContactInterval, contactMaxAge-contact.StoreReadAge)
		h.NextContact = min(h.NextContact, now+wait)
	}
}

// confirmByPeers applies the majority rule: a change accepted before the oldest
// of a majority's contacts was prepared by a host of that majority, which would
// have reported it. The configuration is confirmed as of that contact.
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

// votes returns the contact time of each host that counts, by host name. ok is
// false if any fresh contact forbids to continue.
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

// knownHosts returns the names of the known entry hosts, this one included. A
// restarted host may have two rows and counts once.
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

// majority returns the number of known hosts that a decision needs.
func majority(t *table.Tables) int { return len(knownHosts(t))/2 + 1 }
