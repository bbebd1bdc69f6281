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
func (c *ConnTimeouts) Listener(l net.Listener) net.Listener { return &channelListener{l} }

type channelListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *channelListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn}, nil
}

// channel is a channel of a caller. Only the goroutine that serves it changes it.
type channel struct {
	net.Conn
	close *time.Timer // closes the channel unless it is stopped
}

// CloseWrite lets the server end an answer before the rest of a request was read without
// a reset of the channel.
func (c *channel) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// ConnState is the ConnState of a server. A channel is closed when its first header takes
// too long, or when no further request has been read within the idle limit.
func (c *ConnTimeouts) ConnState(conn net.Conn, state http.ConnState) {
	ch, ok := conn.(*channel)
	if !ok {
		return
	}
	limits := c.Limits()
	switch state {
	case http.StateNew:
		ch.closeAfter(limits.HeaderTimeout, defaultHeaderTimeout)
	case http.StateIdle:
		ch.closeAfter(limits.IdleTimeout, defaultIdleTimeout)
	default:
		ch.close.Stop()
	}
}

func (c *channel) closeAfter(limit, missing time.Duration) {
	if limit <= 0 {
		limit = missing
	}
	if c.close == nil {
		c.close = time.AfterFunc(limit, func() { _ = c.Close() }) // the caller has left if it fails
		return
	}
	c.close.Reset(limit)
}
