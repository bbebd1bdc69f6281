package system

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// HostRowExpiry is the time without renewal after which a host is no
	// longer known. It leaves room for three lost renewals at 15 s.
	HostRowExpiry = 60 * time.Second
	// hostRowRetryDelay is the pause after a failed read or write.
	hostRowRetryDelay = time.Second
	// minHostRowsReadInterval is the shortest period of reading the host rows. Until it has
	// read the row of an entry host, a controller gives it no samples and a
	// change of the configuration is not announced to it.
	minHostRowsReadInterval = time.Second
	// readIntervalPerHost lengthens the period with the number of rows, at most to the
	// period of renewals: a read of 720 rows takes 127 KB.
	readIntervalPerHost = 20 * time.Millisecond
)

// Hosts renews the row of this process every period and keeps t.Hosts in line
// with the rows of the other processes.
func Hosts(period time.Duration) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		for _, e := range in {
			applyHostEvent(now, t, e, period, out)
		}
		if d := &t.HostRowSync; !d.ReadPending && now >= d.NextRead {
			d.ReadPending, d.NextRead = true, now+hostRowsReadInterval(period, t.Hosts.Len())
			out.Add(command.ReadHostRows{})
		}
		writeOwnRow(now, t, period, out)
		if d := &t.HostRowSync; !d.ReadPending {
			out.WakeAt(d.NextRead)
		}
	}
}

// hostRowsReadInterval returns the period of reads of a number of host rows.
func hostRowsReadInterval(renewal time.Duration, hosts int) time.Duration {
	return min(renewal, max(minHostRowsReadInterval, time.Duration(hosts)*readIntervalPerHost))
}

func applyHostEvent(now time.Duration, t *table.Tables, e event.Event, period time.Duration, out *command.Outbox) {
	d := &t.HostRowSync
	switch e := e.(type) {
	case event.DrainFinished:
		d.Leaving, d.NextWrite = true, now
	case event.HostRowWritten:
		d.WritePending = false
		if e.Failure != nil {
			d.NextWrite = now + hostRowRetryDelay
		} else if d.DeleteSent {
			d.Deleted = true
			out.Add(command.HostRowDeleted{})
		}
	case event.HostRowsRead:
		d.ReadPending = false
		if e.Failure != nil {
			d.NextRead = now + hostRowRetryDelay
			return
		}
		applyHostRows(now, t, e.Rows, period)
	}
}

// writeOwnRow renews the own row, or deletes it once the drain has ended.
func writeOwnRow(now time.Duration, t *table.Tables, period time.Duration, out *command.Outbox) {
	d := &t.HostRowSync
	if d.WritePending || d.Deleted || now < d.NextWrite {
		return
	}
	d.WritePending, d.NextWrite, d.DeleteSent = true, now+period, d.Leaving
	out.Add(command.WriteHostRow{Delete: d.Leaving, Row: event.HostRow{
		ID: t.Self.ID, Host: t.Self.Host, Zone: t.Self.Zone,
		Role: string(t.Self.Role), Address: t.Self.Address,
	}})
}

func applyHostRows(now time.Duration, t *table.Tables, rows []event.HostRow, period time.Duration) {
	elapsed := now - t.HostRowSync.ReadAt
	if elapsed > 2*period {
		// After an outage of the store, or a pause of this process, no host
		// can have been seen renewing.
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

// expired reports whether a row belongs to a host that has left by not renewing
// it; a renewal makes the host known again.
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
