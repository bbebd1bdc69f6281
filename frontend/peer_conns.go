package frontend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/stats"

	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// PeerBuffer is the size of the socket buffers of a connection of another host.
	PeerBuffer = 32 << 10
	// freeMessageBytes are what a connection of another host may send of unfinished messages
	// when all hosts together exceed their bound. Most calls are smaller.
	freeMessageBytes = 64 << 10
	// maxIdleBytes are what a connection may send while it has no call. Hosts send pings and
	// the rest of calls that have ended, which the window of a call bounds.
	maxIdleBytes = 128 << 10
)

// PeerConns bounds what connections of other hosts hold. It is the stats handler of their
// gRPC server, which tells it when a message is complete.
type PeerConns struct {
	Max      int   // connections; 0 for no bound
	Messages int64 // bytes of unfinished messages of all connections; 0 for no bound
	// OnRefused is called for each connection that is refused or closed; nil for none.
	OnRefused func(reason verdict.Reason)

	open      atomic.Int64
	messages  byteSum
	byAddress sync.Map // remote address to *peerConn
}

// Listener wraps l. Only one listener may use p.
func (p *PeerConns) Listener(l net.Listener) net.Listener {
	p.messages.bound = p.Messages
	return &peerListener{Listener: l, conns: p}
}

func (p *PeerConns) refused(reason verdict.Reason) {
	if p.OnRefused != nil {
		p.OnRefused(reason)
	}
}

type peerListener struct {
	net.Listener
	conns *PeerConns
}

// Accept implements net.Listener.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.conns.Max > 0 && l.conns.open.Load() >= int64(l.conns.Max) {
			l.conns.refused(verdict.ReasonOverload)
			_ = conn.Close()
			continue
		}
		l.conns.open.Add(1)
		pc := &peerConn{Conn: conn, conns: l.conns}
		l.conns.byAddress.Store(conn.RemoteAddr().String(), pc)
		return pc, nil
	}
}

// peerConn is a connection of another host.
type peerConn struct {
	net.Conn
	conns      *PeerConns
	unfinished atomic.Int64 // bytes that were read and belong to no complete message
	calls      atomic.Int64 // that have begun and not ended
	closed     atomic.Bool
}

// Read implements net.Conn. It closes the connection if its unfinished messages exceed the
// bound, or if it sends something else than calls.
func (c *peerConn) Read(p []byte) (int, error) {
	if c.calls.Load() == 0 && c.unfinished.Load() > maxIdleBytes {
		c.conns.refused(verdict.ReasonBadRequest)
		_ = c.Close()
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	held := c.unfinished.Add(int64(n))
	if !c.conns.messages.resize(0, int64(n)) {
		c.conns.messages.held.Add(int64(n)) // counted until the connection is closed
		if held > freeMessageBytes {
			c.conns.refused(verdict.ReasonMemory)
			_ = c.Close()
			return 0, net.ErrClosed
		}
	}
	if c.closed.Load() { // Close may have returned the bytes before these were added
		c.finish(c.unfinished.Load())
	}
	return n, err
}

// Write implements net.Conn. It fails if the other host does not read.
func (c *peerConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(defaultWriteStall)) // fails only if the connection is closed, like the write
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.conns.open.Add(-1)
		c.conns.byAddress.CompareAndDelete(c.RemoteAddr().String(), c)
		c.finish(c.unfinished.Load())
	}
	return err
}

// finish returns n bytes of unfinished messages, or all if there are fewer.
func (c *peerConn) finish(n int64) {
	for {
		held := c.unfinished.Load()
		n = min(n, held)
		if c.unfinished.CompareAndSwap(held, held-n) {
			c.conns.messages.resize(n, 0)
			return
		}
	}
}

type peerConnKey struct{}

// TagConn implements stats.Handler.
func (p *PeerConns) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	if c, ok := p.byAddress.Load(info.RemoteAddr.String()); ok {
		return context.WithValue(ctx, peerConnKey{}, c)
	}
	return ctx
}

// HandleConn implements stats.Handler.
func (*PeerConns) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (*PeerConns) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (*PeerConns) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(peerConnKey{}).(*peerConn)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.InHeader:
		c.calls.Add(1)
	case *stats.InPayload:
		c.finish(int64(s.WireLength))
	case *stats.End:
		if c.calls.Add(-1) == 0 { // what is left are frames of control
			c.finish(c.unfinished.Load())
		}
	}
}
