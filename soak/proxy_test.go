package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mode selects what a proxy does with its connections.
type mode int32

const (
	forward     mode = iota
	blackhole        // bytes are dropped both ways, connections stay open
	reset            // open and new connections are reset
	dropAnswers      // requests are forwarded, answers are dropped
	delay            // each chunk is forwarded after forwardDelay
)

// forwardDelay is below the timeouts of the host, so that calls to a slow store succeed.
const forwardDelay = 60 * time.Millisecond

// proxy forwards TCP connections from one host to the target address.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = l.Close() })
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. The mode reset also resets the open connections.
func (p *proxy) set(m mode) {
	p.mode.Store(int32(m))
	if m == reset {
		p.resetAll()
	}
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a reset instead of an orderly shutdown.
func abort(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode(p.mode.Load()) == reset {
			abort(c)
			continue
		}
		go p.connect(c)
	}
}

func (p *proxy) connect(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(from)
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	go p.copy(to, from, true)
	p.copy(from, to, false)
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn, request bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.passes(request) {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				abort(to)
			}
			break
		}
	}
	_ = to.Close()
}

// passes reports whether a chunk is to be forwarded. In mode delay it first waits
// for forwardDelay.
func (p *proxy) passes(request bool) bool {
	switch mode(p.mode.Load()) {
	case blackhole:
		return false
	case dropAnswers:
		return request
	case delay:
		time.Sleep(forwardDelay)
	}
	return true
}
