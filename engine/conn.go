package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	maxIdlePerHost  = 256
	maxHeaderBytes  = 64 << 10
)

// errSealed is returned by writes after a request was reported as not sent.
var errSealed = errors.New("connection sealed: request reported as not sent")

// countingConn counts written bytes, so that an attempt can tell whether any
// byte of its request was written, and can forbid later writes.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written uint64
	sealed  bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	// Counted before the write: a failed write may have sent a part.
	c.written += uint64(len(p))
	return c.Conn.Write(p)
}

func (c *countingConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal forbids further writes if none happened since base was counted. It
// reports whether that is so.
func (c *countingConn) seal(base uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != base {
		return false
	}
	c.sealed = true
	return true
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		Protocols:              http1(),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// http1 allows HTTP/1 only: with one request per connection at a time, the
// bytes written to a connection belong to that request.
func http1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// attempt follows one request to the connection it was given.
type attempt struct {
	conn *countingConn
	base uint64
	got  bool
}

func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.got = true
		if conn, ok := info.Conn.(*countingConn); ok {
			a.conn, a.base = conn, conn.count()
		}
	}})
}

// notSent reports whether no byte of the request was or will be written.
func (a *attempt) notSent() bool {
	if !a.got {
		return true
	}
	return a.conn != nil && a.conn.seal(a.base)
}

// failure turns an error of a round trip into one with a verdict.
func (a *attempt) failure(err error) error {
	v, reason := verdict.MayHaveRun, verdict.ReasonConnectionLost
	if a.notSent() {
		v, reason = verdict.NotRun, verdict.ReasonConnectFailed
	}
	return verdict.Wrap(err, v, contextReason(err, reason), "call backend server")
}

// contextReason returns the reason of an ended context, otherwise fallback.
func contextReason(err error, fallback verdict.Reason) verdict.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case errors.Is(err, context.Canceled):
		return verdict.ReasonCanceled
	default:
		return fallback
	}
}
