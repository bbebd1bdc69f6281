// Package transport provides HTTP clients for requests to backend servers. The clients
// record whether any byte of a request was written, which decides between the verdicts
// NotRun and MayHaveRun.
package transport

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Defaults and limits of a client.
const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	maxIdlePerHost  = 256      // idle connections per host
	maxHeaderBytes  = 64 << 10 // response header
)

// Options configures a client. Zero timeouts select the defaults.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration // time after which an idle connection is closed
	KeepAlive   net.KeepAliveConfig
	// ResetOnClose resets a connection when it is closed. Otherwise the kernel delivers
	// unsent bytes when a network partition heals, and an abandoned attempt would reach
	// its server seconds later.
	ResetOnClose bool
	// SingleUse closes each connection after one request.
	SingleUse bool
}

// NewClient returns a client with default options.
func NewClient() *http.Client { return NewClientWith(Options{}) }

// NewClientWith returns a client whose connections count their writes. The client does
// not follow redirects, because following a redirect sends a second request. A malformed response
// is an error, see ResponseError.
func NewClientWith(o Options) *http.Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = dialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = idleConnTimeout
	}
	return &http.Client{
		Transport:     responseChecker{newTransport(o)},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func newTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAliveConfig: o.KeepAlive}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if tcp, ok := c.(*net.TCPConn); ok && o.ResetOnClose {
				if err := tcp.SetLinger(0); err != nil {
					_ = c.Close() // the error of SetLinger is returned instead
					return nil, err
				}
			}
			return &countingConn{Conn: c}, nil
		},
		Protocols:              http1(),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		DisableKeepAlives:      o.SingleUse,
	}
}

// http1 allows HTTP/1 only. It sends one request at a time on a connection, so the bytes
// written to the connection belong to that request.
func http1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}
