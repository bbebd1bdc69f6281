package transport

import (
	"errors"
	"net"
	"sync"
)

// errWritesBlocked is returned by writes to a connection whose request was reported as
// not sent.
var errWritesBlocked = errors.New("writes to connection are blocked: it was closed, or a request was reported as not sent")

// countingConn counts its writes and can block further ones.
type countingConn struct {
	net.Conn
	mu            sync.Mutex
	writes        uint64
	writesBlocked bool
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
