// Package lease implements a fenced lease that does not need synchronized clocks. State
// decides from the rows that it has observed and from monotonic times that are passed
// in. It reads no clock and does no I/O.
//
// An observer takes over a lease only after it has seen the same row version for the
// TTL of the lease plus a margin on its own clock. A holder measures its lease from
// the time just before it sent its last successful write, so for the holder the lease
// expires before any observer may take it over.
package lease

import "time"

// Record is the content of a lease row.
type Record struct {
	Holder  string // id of the holder, empty if the lease is released
	Address string // address of the holder
	Fence   uint64 // fencing token, increases with each new holder
	TTL     time.Duration
}

// Released reports whether the lease has no holder.
func (r Record) Released() bool { return r.Holder == "" }

// State is the view that one process has of a lease. The zero value is the state before
// the row of the lease has been read.
type State struct {
	Version       uint64        // version of the row, 0 if the row does not exist
	Record        Record        // content of the row
	Known         bool          // whether the row has been read or written
	VersionSeenAt time.Duration // time at which Version was first seen

	Held       bool          // whether this process acquired the lease and has not lost it
	ValidUntil time.Duration // end of the lease, set while Held
	OrdersFrom time.Duration // time at which the orders of the previous holder have expired, set while Held
}

// Observe records a row that was read; version 0 means that the row does not exist. A
// row that is not newer than the known one is ignored. Observe reports whether this
// process held the lease and has lost it to another holder.
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

// Valid reports whether this process may act as holder. It must be called before each
// order to an engine and after each wait.
func (s *State) Valid(now time.Duration) bool { return s.Held && now < s.ValidUntil }

// MayOrder reports whether this process may send orders to engines that ignore the
// fencing token. It may if it holds the lease and the orders of the previous holder
// have expired.
func (s *State) MayOrder(now time.Duration) bool { return s.Valid(now) && now >= s.OrdersFrom }

// CanTakeOver reports whether this process may try to acquire the lease. It may if the
// lease is released, if it has no row yet, or if the version of the row has not changed
// for the TTL of the lease plus margin.
func (s *State) CanTakeOver(now, margin time.Duration) bool {
	switch {
	case !s.Known || s.Valid(now):
		return false
	case s.Version == 0 || s.Record.Released():
		return true
	}
	return now-s.VersionSeenAt >= s.Record.TTL+margin
}

// Acquire returns the record that acquires the lease. Its write must be conditional on
// Version.
func (s *State) Acquire(holder, address string, ttl time.Duration) Record {
	return Record{Holder: holder, Address: address, Fence: s.Record.Fence + 1, TTL: ttl}
}

// Renew returns the record that renews the lease. It is the current record; only the
// write itself raises the row version. The write must be conditional on Version.
func (s *State) Renew() Record { return s.Record }

// Release returns the record that releases the lease. It keeps the fence, so that the
// fence of the next holder is higher. Its write must be conditional on Version.
func (s *State) Release() Record { return Record{Fence: s.Record.Fence, TTL: s.Record.TTL} }

// Written records a committed write of this process. sentAt is a time before the first
// copy of the write was sent. orderLimit is the longest deadline of an order; a new
// holder waits for that time before it sends orders of its own.
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

// Abandon records that this process no longer acts as holder, because it is about to
// release the lease or because its write lost to another one.
func (s *State) Abandon() { s.Held = false }

// RenewAt returns the time at which a held lease is due for renewal. It is a third of
// the TTL after the last write, so that two renewals may fail before the lease expires.
func (s *State) RenewAt() time.Duration { return s.ValidUntil - s.Record.TTL*2/3 }
