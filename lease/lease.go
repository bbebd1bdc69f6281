// Package lease is a fenced lease without a shared clock. State decides from
// observed rows and from monotonic times that are passed in; it reads no clock
// and does no I/O. An observer takes over only after it has seen the same row
// version for the lease's length plus a margin on its own clock. A holder counts
// its lease from the time just before it sent the last successful write, so the
// holder's view ends before any observer's.
package lease

import "time"

// Record is the content of a lease row.
type Record struct {
	Holder  string // empty if released
	Address string
	Fence   uint64 // rises with each new holder
	TTL     time.Duration
}

// Released reports whether nobody holds the lease.
func (r Record) Released() bool { return r.Holder == "" }

// State is what one process knows about a lease. The zero value is a lease whose
// row has not been read.
type State struct {
	Version       uint64 // of the row; 0 if the row doesn't exist
	Record        Record
	Known         bool          // the row has been read or written
	VersionSeenAt time.Duration // when Version was first seen

	Held       bool
	ValidUntil time.Duration // only while Held
	OrdersFrom time.Duration // only while Held: orders of the holder before have lapsed
}

// Observe notes a row that was read; version 0 means that there is none. A read
// that was overtaken by a newer one is ignored. It reports whether a lease that
// was held has been lost to another holder.
func (s *State) Observe(now time.Duration, version uint64, r Record) (lost bool) {
	if s.Known && version <= s.Version {
		return false
	}
	lost = s.Held && (r.Holder != s.Record.Holder || r.Fence != s.Record.Fence)
	if lost {
		s.Held = false
	}
	s.Known, s.Version, s.Record, s.VersionSeenAt = true, version, r, now
	return lost
}

// Valid reports whether this process may act as holder. It must be asked before
// each order and after each wait.
func (s *State) Valid(now time.Duration) bool { return s.Held && now < s.ValidUntil }

// MayOrder reports whether this process may send orders to engines that ignore
// the fencing token: it holds the lease and older orders have lapsed.
func (s *State) MayOrder(now time.Duration) bool { return s.Valid(now) && now >= s.OrdersFrom }

// CanTakeOver reports whether this process may try to acquire the lease: it is
// released, it has no row yet, or its version has not changed for the length of
// the lease plus margin.
func (s *State) CanTakeOver(now, margin time.Duration) bool {
	switch {
	case !s.Known || s.Valid(now):
		return false
	case s.Version == 0 || s.Record.Released():
		return true
	}
	return now-s.VersionSeenAt >= s.Record.TTL+margin
}

// Acquire returns the record that takes the lease. The write is conditional on
// Version.
func (s *State) Acquire(holder, address string, length time.Duration) Record {
	return Record{Holder: holder, Address: address, Fence: s.Record.Fence + 1, TTL: length}
}

// Renew returns the record that renews the lease: unchanged but for the row
// version, which the write raises. The write is conditional on Version.
func (s *State) Renew() Record { return s.Record }

// Release returns the record that gives the lease up. The fence is kept, so that
// the next holder's is higher. The write is conditional on Version.
func (s *State) Release() Record { return Record{Fence: s.Record.Fence, TTL: s.Record.TTL} }

// Written notes a write of this process that committed. sentAt was taken before
// the first copy of the write was sent. orderLimit is the longest deadline of an
// order: a new holder waits for it before it sends orders of its own.
func (s *State) Written(sentAt, now time.Duration, version uint64, r Record, orderLimit time.Duration) {
	if s.Known && version < s.Version {
		return // a newer row has been read
	}
	acquired := !r.Released() && (!s.Held || s.Record.Fence != r.Fence)
	s.Known, s.Version, s.Record, s.VersionSeenAt = true, version, r, now
	s.Held = !r.Released()
	if !s.Held {
		return
	}
	s.ValidUntil = sentAt + r.TTL
	if acquired {
		s.OrdersFrom = now + orderLimit
	}
}

// Abandon notes that this process stops acting as holder before it releases the
// row, or after a write that lost.
func (s *State) Abandon() { s.Held = false }

// RenewAt returns when a held lease is due for renewal: after a third of its
// length, so that two renewals may fail.
func (s *State) RenewAt() time.Duration { return s.ValidUntil - s.Record.TTL*2/3 }
