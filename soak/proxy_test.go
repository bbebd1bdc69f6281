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

// mode is what a proxy does to the connections through it.
type mode int32

const (
	forward     mode = iota
	blackhole        // bytes are swallowed both ways, nothing is closed
	reset            // connections are reset, also new ones
	dropAnswers      // requests arrive, answers do not
	delay            // each piece waits before it is passed on
)

// forwardDelay is below the time-outs of the host, so that a slow store still serves.
const forwardDelay = 60 * time.Millisecond

// proxy passes connections from one host to one address on.
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

// set changes the mode; reset also ends what is open.
func (p *proxy) set(m mode) {
	p.mode.Store(int32(m))
	if m == reset {
		p.resetAll()
	}
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

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
