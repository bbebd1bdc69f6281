// Package transport provides HTTP clients for calls to backend servers that can
// tell whether any byte of a request was written, which decides between the
// verdicts NotRun and MayHaveRun.
package transport

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	maxIdlePerHost  = 256
	maxHeaderBytes  = 64 << 10
)

// Options bound what a client waits for and keeps. Zero values give the defaults.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration // an idle connection is closed after it
	KeepAlive   net.KeepAliveConfig
	// ResetOnClose resets a connection when it is closed. Otherwise bytes that wait behind
	// a partition are still delivered when it heals: an attempt that was given up would
	// reach its server seconds later.
	ResetOnClose bool
}

// NewClient returns a client with default options.
func NewClient() *http.Client { return NewClientWith(Options{}) }

// NewClientWith returns a client whose connections count writes. It follows no
// redirect, because a followed redirect is a second request.
func NewClientWith(o Options) *http.Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = dialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = idleConnTimeout
	}
	return &http.Client{
		Transport:     newTransport(o),
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
					_ = c.Close() // the error above says what is wrong with it
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
	}
}

// http1 allows HTTP/1 only: with one request per connection at a time, the
// bytes written to a connection belong to that request.
func http1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}
