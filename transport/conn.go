package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// errWritesBlocked is returned by writes to a connection whose request was reported as
// not sent.
var errWritesBlocked = errors.New("writes to connection are blocked: it was closed, or a request was reported as not sent")

// maxCarried bounds the number of requests that a connection remembers. A late copy of a
// response arrives before that many further requests.
const maxCarried = 128

// countingConn counts its writes and can block further ones. It remembers the requests that
// it carried, and follows the heads of their responses. Its reads report a reset also if a write
// got the error.
type countingConn struct {
	net.Conn
	writing  sync.Mutex // held during a write
	writeErr error      // set by a write that found the connection lost; guarded by writing

	mu            sync.Mutex
	writes        uint64
	writesBlocked bool
	carried       []uint64    // hashes of the ids of the newest requests
	next          int         // index in carried of the oldest one, once there are maxCarried
	head          headScanner // of the bytes that were read
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
	c.writing.Lock()
	n, err := c.Conn.Write(p)
	if meansLost(err) {
		c.writeErr = err
	}
	c.writing.Unlock()
	if n == 0 && err != nil {
		c.uncountWrite()
	}
	return n, err
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.head.scan(p[:n])
	c.mu.Unlock()
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// awaitHead records that the next byte is the first one of a response.
func (c *countingConn) awaitHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.next()
}

// foldedHead reports whether a response on the connection had a folded field line.
func (c *countingConn) foldedHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.folded
}

// endError returns io.EOF if the server ended its side of the connection in order, otherwise
// the error with which the connection was lost. A socket reports such an error once. If a write
// gets it, reads return an ordinary end, possibly before the write has returned.
//
// A write in progress is therefore awaited. It is aborted, because one that got no error lasts
// until the server reads on; no response can follow the end, so the request is abandoned anyway.
func (c *countingConn) endError() error {
	if err := c.SetWriteDeadline(time.Unix(0, 1)); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return fmt.Errorf("connection lost during a write: %w", c.writeErr)
	}
	return io.EOF
}

// meansLost reports whether the error of a write means that the connection was lost before the
// server ended its side. EPIPE follows an end in order or an error that was reported before, and
// only endError sets a deadline.
func meansLost(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
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
