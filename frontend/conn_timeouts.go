package frontend

import (
	"net"
	"net/http"
	"time"

	"github.com/lavenderstand/lavenderstand/desired"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply until the first desired state is
	// known and when it sets no limit. They are longer than callers need.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// ConnTimeouts closes connections of callers that exceed the timeouts of the desired state.
// These may change while connections are open, unlike the timeouts of http.Server.
type ConnTimeouts struct{ Limits func() desired.Limits }

// Listener wraps l for an http.Server whose ConnState hook is c.ConnState.
func (c *ConnTimeouts) Listener(l net.Listener) net.Listener { return &connListener{l} }

type connListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

// callerConn is a connection of a caller. Only the goroutine that serves the connection uses
// closeTimer.
type callerConn struct {
	net.Conn
	closeTimer *time.Timer // closes the connection when it fires
}

// CloseWrite closes the write side of the connection. http.Server calls it when it has sent a
// response before the whole request was read, so that the connection is not reset.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// ConnState is the ConnState hook of an http.Server. A connection is closed if its first
// request header takes longer than the header timeout, or if it is idle for longer than the
// idle timeout.
func (c *ConnTimeouts) ConnState(conn net.Conn, state http.ConnState) {
	cc, ok := conn.(*callerConn)
	if !ok {
		return
	}
	limits := c.Limits()
	switch state {
	case http.StateNew:
		cc.scheduleClose(limits.HeaderTimeout, defaultHeaderTimeout)
	case http.StateIdle:
		cc.scheduleClose(limits.IdleTimeout, defaultIdleTimeout)
	default:
		cc.closeTimer.Stop()
	}
}

// scheduleClose closes the connection after timeout, or after fallback if timeout is not
// set.
func (c *callerConn) scheduleClose(timeout, fallback time.Duration) {
	if timeout <= 0 {
		timeout = fallback
	}
	if c.closeTimer == nil {
		c.closeTimer = time.AfterFunc(timeout, func() { _ = c.Close() }) // an error means that the caller has already disconnected
		return
	}
	c.closeTimer.Reset(timeout)
}
