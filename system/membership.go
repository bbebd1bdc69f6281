package system

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

const (
	// listIntervalPerServer is the time between two reads of the host list per server
	// that it names: an answer holds about 200 bytes for each.
	listIntervalPerServer = time.Millisecond
	// maxListInterval bounds the growth, so that a server which the list calls
	// leaving gets no new work after 5 s.
	maxListInterval = 3 * time.Second
	// missingTTL is how long the row of a server that is no longer listed is
	// kept, in case it returns. Without a limit, daily replacements would add
	// rows forever.
	missingTTL = 10 * time.Minute
)

// Membership keeps the backend rows in line with the platform's host list and
// reads the list every period, which grows with the length of the list. A failed
// read changes no row: the list lags anyway, and the servers' own reports tell of
// departures meanwhile.
func Membership(period time.Duration) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		l := &t.HostList
		for _, e := range in {
			if read, ok := e.(event.HostListRead); ok {
				l.Pending = false
				applyHostList(now, t, read)
			}
		}
		if !l.Pending && now >= l.Next {
			l.Pending, l.Next = true, now+listInterval(period, t.Backends.Len())
			out.Add(command.ReadHostList{})
		}
		// While a read is pending its answer wakes the loop; a deadline that has
		// passed would make it tick without a pause.
		if !l.Pending {
			out.WakeAt(l.Next)
		}
	}
}

func listInterval(shortest time.Duration, servers int) time.Duration {
	return max(shortest, min(time.Duration(servers)*listIntervalPerServer, maxListInterval))
}

func applyHostList(now time.Duration, t *table.Tables, read event.HostListRead) {
	if read.Failure != nil {
		return
	}
	for _, b := range t.Backends.All() {
		if !b.ListMissing {
			b.ListMissing, b.MissingSince = true, now
		}
	}
	for _, h := range read.Hosts {
		if h.Kind != "entry" {
			applyListedBackend(now, t, h)
		}
	}
	for name, b := range t.Backends.All() {
		if b.ListMissing && now-b.MissingSince > missingTTL {
			t.Backends.Delete(name)
		}
	}
}

// roundingOffset returns a fixed number from 0 to 1 for a host and a server.
func roundingOffset(host, server string) float64 {
	return float64(xxhash.Sum64String(host+"/"+server)>>11) / (1 << 53)
}

func applyListedBackend(now time.Duration, t *table.Tables, h tablestore.ListedHost) {
	b, created := t.Backends.Upsert(h.Name)
	if created {
		b.Name = h.Name
		b.Counters = new(plan.Counters)
		b.RoundingOffset = roundingOffset(t.Self.Host, h.Name)
	}
	b.Kind, b.Model = table.BackendKind(h.Kind), h.Model
	b.Address, b.Zone = h.Address, h.Zone
	b.ChecksFence, b.ChecksIdentity = h.ChecksFence, h.ChecksIdentity
	b.ListMissing, b.MissingSince = false, 0
	b.ListLeaving = h.State != tablestore.StateLive
	if !b.ListLeaving {
		b.ListSeen = now
	}
}
