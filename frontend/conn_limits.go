package frontend

import (
	"bytes"
	"sync/atomic"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// reservedDescriptors are for files, listeners and connections to the store.
	reservedDescriptors = 200
	// defaultDescriptors is assumed if the settings state no number. It is that of the
	// smallest hosts in use.
	defaultDescriptors = 3075
	// Shares of the other descriptors. Twice as many as callers get are left for connections
	// to backend servers, because a second attempt may run beside the first. Up to 360 hosts
	// connect to the holder of the order lease.
	callerDescriptorShare = 0.25
	peerDescriptorShare   = 0.20
	checkDescriptorShare  = 0.02 // readiness, and metrics
	minCheckConns         = 16   // load balancers and operators need a few at a time
	// Shares of the memory limit for what exists before and beside requests: connections of
	// callers and of other hosts, heads, and unfinished messages of other hosts.
	connMemoryShare    = 0.15
	peerMemoryShare    = 0.20
	headMemoryShare    = 0.05
	messageMemoryShare = 0.10
	// connBytes stands for goroutines, buffers, those of connections to backend servers, and
	// bytes in the kernel. A connection that is only open was measured at 7 KB, one with a
	// legal head of 16 KB that does not end at about 80 KB.
	connBytes = 64 << 10
	// freeHeadBytes of a head need no reservation; connBytes includes the buffer for them.
	freeHeadBytes = 4 << 10
	// A parsed head holds about twice its bytes and headFieldBytes for each field.
	headCopies     = 2
	headFieldBytes = 96
	// defaultHeaderBytes applies until the first desired state is known and when it sets no
	// limit.
	defaultHeaderBytes = 64 << 10
	// requestLineBytes is the room for the request line, which headerBytes does not count.
	requestLineBytes = 8 << 10
	// fieldSeparators are the bytes of a field that headerBytes does not count: colon, space
	// and line end. minFieldBytes is the smallest field that it does count.
	fieldSeparators = 4
	minFieldBytes   = 2
)

// ConnBounds bounds what connections hold outside of requests. A bound of 0 is not set.
type ConnBounds struct {
	Callers, Peers, Checks int   // connections of callers, other hosts, and readiness or metrics
	HeadBytes              int64 // heads of all connections together
	MessageBytes           int64 // unfinished messages of all other hosts together
}

// NewConnBounds derives the bounds from the memory limit in bytes and the number of
// descriptors of the process, 0 if it is unknown.
func NewConnBounds(memoryBytes int64, descriptors int) ConnBounds {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	free := float64(max(descriptors-reservedDescriptors, descriptors/2))
	memory := float64(memoryBytes)
	return ConnBounds{
		Callers:      max(1, int(min(callerDescriptorShare*free, connMemoryShare*memory/connBytes))),
		Peers:        max(1, int(min(peerDescriptorShare*free, peerMemoryShare*memory/connBytes))),
		Checks:       max(minCheckConns, int(checkDescriptorShare*free)),
		HeadBytes:    int64(headMemoryShare * memory),
		MessageBytes: int64(messageMemoryShare * memory),
	}
}

// byteSum is a number of bytes that connections share up to a bound. A bound of 0 is not set.
type byteSum struct {
	bound int64
	held  atomic.Int64
}

// resize changes a reservation from old to n bytes and reports whether the bound allows it. If it
// does not, the reservation is released in the same step: bytes of a head that is refused must not
// lead to the refusal of others. A decrease is always allowed.
func (s *byteSum) resize(old, n int64) bool {
	for {
		held := s.held.Load()
		next, allowed := held-old+n, true
		if n > old && s.bound > 0 && next > s.bound {
			next, allowed = held-old, false
		}
		if s.held.CompareAndSwap(held, next) {
			return allowed
		}
	}
}

// unknownFirst stands for the first byte of a request that was read before the head was
// counted. It counts as valid.
const unknownFirst = 'A'

// headMeter counts the bytes and lines of a request head that were read from a connection.
// It may count a part of what follows the head, but only in the last read before the head is
// complete. Its decisions are therefore made before the next read, which does not take place
// if the head is complete.
type headMeter struct {
	size, lines int
	first       byte // of the request; 0 until it is known
}

// add counts bytes that were read.
func (m *headMeter) add(p []byte) {
	m.size += len(p)
	m.lines += bytes.Count(p, []byte("\n"))
	if m.first == 0 {
		if rest := bytes.TrimLeft(p, "\r\n"); len(rest) > 0 {
			m.first = max(1, rest[0]) // 1 is as invalid as 0
		}
	}
}

// check returns the reason to refuse the head, or the empty reason.
func (m *headMeter) check(l desired.Limits) verdict.Reason {
	headerBytes := l.HeaderBytes
	if headerBytes <= 0 {
		headerBytes = defaultHeaderBytes
	}
	fields := headerBytes / minFieldBytes
	switch {
	case m.first != 0 && !isMethodByte(m.first):
		return verdict.ReasonBadRequest
	case m.size > requestLineBytes+headerBytes+fieldSeparators*fields, m.lines > fields+2: // request line and end
		return verdict.ReasonHeaderTooLarge
	}
	return ""
}

// memory returns the number of bytes to reserve for the parsed head.
func (m *headMeter) memory() int64 {
	return int64(headCopies*max(0, m.size-freeHeadBytes) + headFieldBytes*max(0, m.lines-freeHeadBytes/headFieldBytes))
}

// isMethodByte reports whether a method may begin with b. Greetings of TLS and binary
// protocols begin with other bytes.
func isMethodByte(b byte) bool {
	return b >= 'A' && b <= 'Z' || b >= 'a' && b <= 'z' || b >= '0' && b <= '9' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
}
