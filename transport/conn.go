package transport

import (
	"errors"
	"net"
	"sync"
)

// errWritesBlocked is returned by writes after a request was reported as not sent.
var errWritesBlocked = errors.New("connection sealed: request reported as not sent")

// countingConn counts its writes and can forbid later ones.
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
	return c.Conn.Write(p)
}

// countWrite counts a write before it happens, because a failed write may have sent a
// part. It fails on a sealed connection.
func (c *countingConn) countWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesBlocked {
		return false
	}
	c.writes++
	return true
}

func (c *countingConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// closeIfUnwritten reports that there was no write since base was counted. If so it forbids
// further ones: the transport's writer may still hold the request after a
// cancellation.
func (c *countingConn) closeIfUnwritten(base uint64) bool {
	if !c.blockIfUnwritten(base) {
		return false
	}
	_ = c.Close()
	return true
}

func (c *countingConn) blockIfUnwritten(base uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != base {
		return false
	}
	c.writesBlocked = true
	return true
}
