package frontend

import (
	"net"
	"net/http"
	"time"

	"github.com/lavenderstand/lavenderstand/desired"
)

const (
	// defaultHeaderTimeout and defaultIdleTimeout hold until the first desired state is
	// known. They are longer than what callers have been seen to need.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// ConnTimeouts bounds the channels of callers by the limits of the desired state, which may
// change while channels are open; the time-outs of http.Server cannot.
type ConnTimeouts struct{ Limits func() desired.Limits }

// Listener returns a listener for a server whose ConnState is c.ConnState.
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

// callerConn is a channel of a caller. Only the goroutine that serves it changes it.
type callerConn struct {
	net.Conn
	closeTimer *time.Timer // closes the channel unless it is stopped
}

// CloseWrite lets the server end an answer before the rest of a request was read without
// a reset of the channel.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// ConnState is the ConnState of a server. A channel is closed when its first header takes
// too long, or when no further request has been read within the idle limit.
func (c *ConnTimeouts) ConnState(conn net.Conn, state http.ConnState) {
	ch, ok := conn.(*callerConn)
	if !ok {
		return
	}
	limits := c.Limits()
	switch state {
	case http.StateNew:
		ch.scheduleClose(limits.HeaderTimeout, defaultHeaderTimeout)
	case http.StateIdle:
		ch.scheduleClose(limits.IdleTimeout, defaultIdleTimeout)
	default:
		ch.closeTimer.Stop()
	}
}

func (c *callerConn) scheduleClose(limit, missing time.Duration) {
	if limit <= 0 {
		limit = missing
	}
	if c.closeTimer == nil {
		c.closeTimer = time.AfterFunc(limit, func() { _ = c.Close() }) // the caller has left if it fails
		return
	}
	c.closeTimer.Reset(limit)
}
