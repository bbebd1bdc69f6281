package system

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// HostRowExpiry is the time without a renewal after which a host is no longer
	// known. It tolerates three lost renewals at an interval of 15 s.
	HostRowExpiry = 60 * time.Second
	// hostRowRetryDelay is the delay before a failed read or write of host rows is repeated.
	hostRowRetryDelay = time.Second
	// minHostRowsReadInterval is the minimum time between reads of the host rows.
	// Until a controller has read the row of an entry host, it sends that host no
	// samples, and no configuration change is announced to the host.
	minHostRowsReadInterval = time.Second
	// readIntervalPerHost is the read interval per row: the interval grows with
	// the number of rows, up to the renewal interval, because a read of 720 rows
	// transfers 127 KB.
	readIntervalPerHost = 20 * time.Millisecond
)

// Hosts renews the row of this process once per period and updates t.Hosts from
// the rows of the other processes.
func Hosts(period time.Duration) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			applyHostEvent(now, t, e, period, out)
		}
		if s := &t.HostRowSync; !s.ReadPending && now >= s.NextRead {
			s.ReadPending, s.NextRead = true, now+hostRowsReadInterval(period, t.Hosts.Len())
			out.Add(command.ReadHostRows{})
		}
		writeOwnRow(now, t, period, out)
		if s := &t.HostRowSync; !s.ReadPending {
			out.WakeAt(s.NextRead)
		}
	}
}

// hostRowsReadInterval returns the time between reads of the host rows.
func hostRowsReadInterval(renewal time.Duration, hosts int) time.Duration {
	return min(renewal, max(minHostRowsReadInterval, time.Duration(hosts)*readIntervalPerHost))
}

func applyHostEvent(now time.Duration, t *table.Tables, e event.Event, period time.Duration, out *command.Outbox) {
	s := &t.HostRowSync
	switch e := e.(type) {
	case event.DrainFinished:
		s.Leaving, s.NextWrite = true, now
	case event.HostRowWritten:
		s.WritePending = false
		if e.Failure != nil {
			s.NextWrite = now + hostRowRetryDelay
		} else if s.DeleteSent {
			s.Deleted = true
			out.Add(command.HostRowDeleted{})
		}
	case event.HostRowsRead:
		s.ReadPending = false
		if e.Failure != nil {
			s.NextRead = now + hostRowRetryDelay
			return
		}
		applyHostRows(now, t, e.Rows, period)
	}
}

// writeOwnRow renews the row of this process, or deletes it once the drain has
// finished.
func writeOwnRow(now time.Duration, t *table.Tables, period time.Duration, out *command.Outbox) {
	s := &t.HostRowSync
	if s.WritePending || s.Deleted || now < s.NextWrite {
		return
	}
	s.WritePending, s.NextWrite, s.DeleteSent = true, now+period, s.Leaving
	out.Add(command.WriteHostRow{Delete: s.Leaving, Row: event.HostRow{
		ID: t.Self.ID, Host: t.Self.Host, Zone: t.Self.Zone,
		Role: string(t.Self.Role), Address: t.Self.Address,
	}})
}

func applyHostRows(now time.Duration, t *table.Tables, rows []event.HostRow, period time.Duration) {
	elapsed := now - t.HostRowSync.ReadAt
	if elapsed > 2*period {
		// After an outage of the store or a pause of this process, a missing
		// renewal does not show that a host is gone, because no renewal could have
		// been written or seen.
		elapsed = 0
	}
	listed := make(map[string]uint64, len(rows))
	for _, row := range rows {
		listed[row.ID] = row.RowVersion
		if row.ID != t.Self.ID && !expired(t, row) {
			applyHostRow(now, t, row, elapsed)
		}
	}
	for id, h := range t.Hosts.All() {
		_, present := listed[id]
		if h.Unrenewed >= HostRowExpiry {
			t.HostRowSync.Expired = append(t.HostRowSync.Expired, table.ExpiredHost{ID: id, RowVersion: h.RowVersion})
		}
		if !present || h.Unrenewed >= HostRowExpiry {
			t.Hosts.Delete(id)
		}
	}
	t.HostRowSync.Expired = slices.DeleteFunc(t.HostRowSync.Expired, func(x table.ExpiredHost) bool {
		return listed[x.ID] != x.RowVersion
	})
	t.HostRowSync.EverRead, t.HostRowSync.ReadAt = true, now
}

// expired reports whether a row belongs to a host that was removed because it did
// not renew the row. A renewal makes the host known again.
func expired(t *table.Tables, row event.HostRow) bool {
	return slices.Contains(t.HostRowSync.Expired, table.ExpiredHost{ID: row.ID, RowVersion: row.RowVersion})
}

func applyHostRow(now time.Duration, t *table.Tables, row event.HostRow, elapsed time.Duration) {
	h := t.Hosts.Find(row.ID)
	if h == nil {
		h, _ = t.Hosts.Upsert(row.ID)
		h.RowSeen = now
	} else if h.RowVersion == row.RowVersion {
		h.Unrenewed += elapsed
	} else {
		h.RowSeen, h.Unrenewed = now, 0
	}
	h.ID, h.Host, h.Zone = row.ID, row.Host, row.Zone
	h.Role, h.Address = table.Role(row.Role), row.Address
	h.RowVersion = row.RowVersion
}
