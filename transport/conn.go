package transport

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes after a request was reported as not sent.
var errSealed = errors.New("connection sealed: request reported as not sent")

// countingConn counts its writes and can forbid later ones.
type countingConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	if !c.begin() {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

// begin counts a write before it happens, because a failed write may have sent a
// part. It fails on a sealed connection.
func (c *countingConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
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

// seal reports that there was no write since base was counted. If so it forbids
// further ones: the transport's writer may still hold the request after a
// cancellation.
func (c *countingConn) seal(base uint64) bool {
	if !c.forbid(base) {
		return false
	}
	_ = c.Close()
	return true
}

func (c *countingConn) forbid(base uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != base {
		return false
	}
	c.sealed = true
	return true
}
