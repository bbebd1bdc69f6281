package traffic

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	connectTimeout     = 2 * time.Second
	idleTimeout        = 60 * time.Second
	idleConnsPerServer = 64
)

// NewTransport returns a transport for backend servers. Its connections count
// writes, so that a failed attempt is known to have sent nothing.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: idleConnsPerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

var errSealed = errors.New("connection was given up before the request was written")

// countedConn counts its writes.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal reports that there was no write since count. If so it forbids further
// ones: the transport's writer may still hold the request after a cancellation.
func (c *countedConn) seal(count uint64) bool {
	c.mu.Lock()
	if c.writes != count {
		c.mu.Unlock()
		return false
	}
	c.sealed = true
	c.mu.Unlock()
	_ = c.Close()
	return true
}

// sendTrace follows the connections that net/http used for one attempt.
type sendTrace struct {
	mu    sync.Mutex
	conns []tracedConn
}

type tracedConn struct {
	conn  net.Conn
	count uint64
}

func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := tracedConn{conn: info.Conn}
	if c, ok := info.Conn.(*countedConn); ok {
		used.count = c.count()
	}
	t.conns = append(t.conns, used)
}

// nothingSent reports that no byte was written and none will be. A connection
// that does not count its writes may have sent everything.
func (t *sendTrace) nothingSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, used := range t.conns {
		if c, ok := used.conn.(*countedConn); !ok || !c.seal(used.count) {
			return false
		}
	}
	return true
}
