package transport

import (
	"errors"
	"net"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// errWritesBlocked is returned by writes to a connection whose request was reported as
// not sent.
var errWritesBlocked = errors.New("writes to connection are blocked: it was closed, or a request was reported as not sent")

// maxCarried bounds the number of requests that a connection remembers. A late copy of a
// response arrives before that many further requests.
const maxCarried = 128

// countingConn counts its writes and can block further ones. It remembers the requests that
// it carried.
type countingConn struct {
	net.Conn
	mu            sync.Mutex
	writes        uint64
	writesBlocked bool
	carried       []uint64 // hashes of the ids of the newest requests
	next          int      // index in carried of the oldest one, once there are maxCarried
}

// carry records that the connection is to carry a request, and reports whether it has not
// carried one with the same id before.
func (c *countingConn) carry(id string) bool {
	hash := xxhash.Sum64String(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.carried, hash) {
		return false
	}
	if len(c.carried) < maxCarried {
		c.carried = append(c.carried, hash)
		return true
	}
	c.carried[c.next] = hash
	c.next = (c.next + 1) % maxCarried
	return true
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	if !c.countWrite() {
		return 0, errWritesBlocked
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.uncountWrite()
	}
	return n, err
}

// countWrite counts a write before it starts, because a write that fails may have sent
// some bytes. It returns false if writes are blocked.
func (c *countingConn) countWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesBlocked {
		return false
	}
	c.writes++
	return true
}

// uncountWrite takes back the count of a write that failed without a byte being sent, as on
// a kept connection that the server has closed.
func (c *countingConn) uncountWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

// count returns the number of writes so far.
func (c *countingConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// closeIfUnwritten reports whether there was no write after the first writesBefore ones.
// In that case it blocks further writes and closes the connection, because the write
// loop of the http.Transport may still hold the request after a cancellation.
func (c *countingConn) closeIfUnwritten(writesBefore uint64) bool {
	if !c.blockIfUnwritten(writesBefore) {
		return false
	}
	_ = c.Close()
	return true
}

// blockIfUnwritten blocks further writes, and returns true, if there was no write after
// the first writesBefore ones.
func (c *countingConn) blockIfUnwritten(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.writesBlocked = true
	return true
}

// blockWrites makes all later writes fail.
func (c *countingConn) blockWrites() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
}
