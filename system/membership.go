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
	// listIntervalPerServer is the read interval of the host list per listed
	// server, because an answer holds about 200 bytes for each of them.
	listIntervalPerServer = time.Millisecond
	// maxListInterval bounds the read interval, so that a server that the list
	// marks as leaving gets no new work after 5 s.
	maxListInterval = 3 * time.Second
	// missingTTL is the time for which the row of a server that is no longer listed
	// is kept in case it returns. Without a limit, daily replacements of servers
	// would add rows forever.
	missingTTL = 10 * time.Minute
)

// Membership updates the backend rows from the platform's host list. The interval
// between reads is at least period and grows with the length of the list. A failed
// read changes no row: the list always lags, and until the next read the servers'
// own reports show which of them are leaving.
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
		// While a read is pending, its answer wakes the loop. A wake time in the
		// past would make the loop tick without a pause.
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

// roundingOffset returns a number in [0, 1) that depends only on the host and the
// server.
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
