package frontend

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply until the first desired state is
	// known and when it sets no limit. They are longer than callers need.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultWriteStall    = 10 * time.Second
	writeChunk           = 64 << 10
	// CallerBuffer is the size of the socket buffers of a caller's connection. The kernel may
	// keep unread requests and answers of this size for each connection. largeBuffer is for
	// the time in which a large body is read or a large answer is written.
	CallerBuffer = 16 << 10
	largeBuffer  = 128 << 10
	// bodyRead is the size of a read that only a body causes: heads are read in pieces of
	// 4 KiB.
	bodyRead = 16 << 10
)

// CallerConns bounds what connections of callers hold. The limits of the desired state may
// change while connections are open, unlike those of http.Server.
type CallerConns struct {
	Limits func() desired.Limits
	Max    int   // connections; 0 for no bound
	Heads  int64 // bytes of all heads together; 0 for no bound
	// WriteStall is the time within which a caller must take writeChunk bytes of a response;
	// 0 for defaultWriteStall.
	WriteStall time.Duration
	// OnRefused is called for each connection that is refused or closed; nil for none.
	OnRefused func(reason verdict.Reason)

	open  atomic.Int64
	heads byteSum
}

func (c *CallerConns) refused(reason verdict.Reason) {
	if c.OnRefused != nil {
		c.OnRefused(reason)
	}
}

// connPhase is what a connection waits for.
type connPhase int32

const (
	phaseIdle   connPhase = iota // the first byte of a request
	phaseHead                    // the end of a head
	phaseBody                    // a part of a body
	phaseActive                  // the answer
)

// callerConn is a connection of a caller. Only the goroutine that serves the connection uses
// the fields that are not atomic.
type callerConn struct {
	net.Conn
	conns      *CallerConns
	closeTimer *time.Timer // calls expire
	meter      headMeter
	reserved   int64 // bytes of the head in conns.heads
	enlarged   bool  // the socket buffers have largeBuffer bytes

	phase   atomic.Int32
	since   atomic.Int64 // Unix nanoseconds of the last change of phase
	served  atomic.Bool  // a head was completed
	closed  atomic.Bool
	expired atomic.Bool
	// writeLimit is the write deadline that the server has set.
	writeLimit atomic.Pointer[time.Time]
}

// CloseWrite closes the write side of the connection. http.Server calls it when it has sent a
// response before the whole request was read, so that the connection is not reset.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if !c.closed.Swap(true) {
		c.conns.open.Add(-1)
	}
	return c.Conn.Close()
}

// Read implements net.Conn. While a head is read, it refuses one that exceeds the limits.
func (c *callerConn) Read(p []byte) (int, error) {
	if connPhase(c.phase.Load()) >= phaseBody {
		return c.readInRequest(p)
	}
	if reason := c.meter.check(c.conns.Limits()); reason != "" {
		return 0, c.refuse(reason)
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.expired.Load() {
		return 0, c.refuse(verdict.ReasonCallerTooSlow)
	}
	if n == 0 {
		return n, err
	}
	if connPhase(c.phase.Load()) == phaseIdle {
		c.setPhase(phaseHead)
		if c.served.Load() { // the timer of a new connection runs since it was opened
			c.scheduleClose(c.conns.Limits().HeaderTimeout, defaultHeaderTimeout)
		}
	}
	c.meter.add(p[:n])
	if size := c.meter.memory(); size > c.reserved {
		if !c.conns.heads.resize(c.reserved, size) {
			c.reserved = 0 // resize has released it
			return 0, c.refuse(verdict.ReasonMemory)
		}
		c.reserved = size
	}
	return n, err
}

// readInRequest reads a part of a body. Reads of a single byte wait for the end of the
// connection while the request is served.
func (c *callerConn) readInRequest(p []byte) (int, error) {
	if len(p) == 1 {
		c.setPhase(phaseActive)
		return c.Conn.Read(p)
	}
	c.setPhase(phaseBody)
	if len(p) >= bodyRead {
		c.enlarge()
	}
	return c.Conn.Read(p)
}

func (c *callerConn) setPhase(p connPhase) {
	if connPhase(c.phase.Swap(int32(p))) != p {
		c.since.Store(time.Now().UnixNano())
	}
}

// Write implements net.Conn. It fails if the caller does not read.
func (c *callerConn) Write(p []byte) (int, error) {
	if len(p) > writeChunk {
		c.enlarge()
	}
	written := 0
	for {
		deadline := time.Now().Add(cmp.Or(c.conns.WriteStall, defaultWriteStall))
		if limit := c.writeLimit.Load(); limit != nil && !limit.IsZero() && limit.Before(deadline) {
			deadline = *limit
		}
		_ = c.Conn.SetWriteDeadline(deadline) // fails only if the connection is closed, like the write
		n, err := c.Conn.Write(p[written:min(len(p), written+writeChunk)])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.conns.refused(verdict.ReasonCallerTooSlow)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn. Write applies the deadline in addition to its own.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.writeLimit.Store(&t)
	return nil
}

// refuse answers a head that is not complete and returns the error for its reader, which does
// not answer again. No request has run.
func (c *callerConn) refuse(reason verdict.Reason) error {
	c.conns.refused(reason)
	status := refusalStatus(reason)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = c.Conn.Write(refusalAnswer(status)) // the caller may have closed the connection
	_ = c.Close()
	return &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
}

func refusalStatus(reason verdict.Reason) int {
	switch reason {
	case verdict.ReasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case verdict.ReasonBadRequest:
		return http.StatusBadRequest
	case verdict.ReasonCallerTooSlow:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

func refusalAnswer(status int) []byte {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	return []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + retry + "Connection: close\r\nContent-Length: 0\r\n\r\n")
}

// ConnState is the ConnState hook of an http.Server. A connection is closed if a request
// header takes longer than the header timeout, or if it is idle for longer than the idle
// timeout.
func (c *CallerConns) ConnState(conn net.Conn, state http.ConnState) {
	cc, ok := conn.(*callerConn)
	if !ok {
		return
	}
	limits := c.Limits()
	switch state {
	case http.StateNew:
		cc.scheduleClose(limits.HeaderTimeout, defaultHeaderTimeout)
	case http.StateIdle:
		cc.endRequest()
		cc.scheduleClose(limits.IdleTimeout, defaultIdleTimeout)
	case http.StateActive:
		cc.closeTimer.Stop()
		cc.served.Store(true)
		cc.setPhase(phaseActive)
		if cc.expired.Load() { // its read deadline has passed
			_ = cc.Close()
		}
	default:
		cc.closeTimer.Stop()
		cc.endRequest()
	}
}

// endRequest returns what the last request held.
func (c *callerConn) endRequest() {
	c.setPhase(phaseIdle)
	c.conns.heads.resize(c.reserved, 0)
	c.reserved, c.meter = 0, headMeter{first: unknownFirst} // the server may have read the first bytes already
	if c.enlarged {
		c.enlarged = false
		c.setBuffers(CallerBuffer)
	}
}

// scheduleClose closes the connection after timeout, or after fallback if timeout is not
// set.
func (c *callerConn) scheduleClose(timeout, fallback time.Duration) {
	if timeout <= 0 {
		timeout = fallback
	}
	if c.closeTimer == nil {
		c.closeTimer = time.AfterFunc(timeout, c.expire)
		return
	}
	c.closeTimer.Reset(timeout)
}

// expire ends the wait for a head, whose reader answers, or closes an idle connection.
func (c *callerConn) expire() {
	if connPhase(c.phase.Load()) == phaseHead {
		c.expired.Store(true)
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if !c.served.Load() {
		c.conns.refused(verdict.ReasonCallerTooSlow)
	}
	_ = c.Close() // an error means that the caller has already disconnected
}

func (c *callerConn) enlarge() {
	if !c.enlarged {
		c.enlarged = true
		c.setBuffers(largeBuffer)
	}
}

func (c *callerConn) setBuffers(n int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(n) // the former sizes remain
		_ = tcp.SetWriteBuffer(n)
	}
}
