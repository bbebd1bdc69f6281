package frontend_test

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/stats"

	"github.com/lavenderstand/lavenderstand/frontend"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// startPeers returns the address of a listener whose connections are read to their end, and
// functions that tell the last one that a call begins, and that a call of a size has ended.
func startPeers(t *testing.T, p *frontend.PeerConns) (address string, beginCall func(), endCall func(size int)) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address = l.Addr().String()
	l = p.Listener(l)
	t.Cleanup(func() { _ = l.Close() })
	var last atomic.Pointer[net.Addr]
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			remote := conn.RemoteAddr()
			last.Store(&remote)
			go func() { _, _ = io.Copy(io.Discard, struct{ io.Reader }{conn}); _ = conn.Close() }()
		}
	}()
	report := func(s ...stats.RPCStats) {
		ctx := p.TagConn(context.Background(), &stats.ConnTagInfo{RemoteAddr: *last.Load()})
		for _, s := range s {
			p.HandleRPC(ctx, s)
		}
	}
	return address, func() { report(&stats.InHeader{}) }, func(size int) { report(&stats.InPayload{WireLength: size}, &stats.End{}) }
}

// TestUnfinishedMessagesShareMemory guards against connections that together send more of
// unfinished messages than their bound, and against the end of one whose calls are complete.
func TestUnfinishedMessagesShareMemory(t *testing.T) {
	const size = 128 << 10
	refused := make(chan verdict.Reason, 100)
	address, beginCall, endCall := startPeers(t, &frontend.PeerConns{Messages: 3 * size, OnRefused: func(r verdict.Reason) { refused <- r }})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		time.Sleep(20 * time.Millisecond) // until it is accepted
		beginCall()
		return conn
	}
	sound := dial()
	beginCall() // one call is always open
	for range 10 {
		_, err := sound.Write(make([]byte, size))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond) // until it is read
		endCall(size)
		beginCall()
	}
	require.Empty(t, refused)
	for range 4 {
		_, err := dial().Write(make([]byte, size))
		require.NoError(t, err)
	}
	select {
	case r := <-refused:
		require.Equal(t, verdict.ReasonMemory, r)
	case <-time.After(5 * time.Second):
		t.Fatal("no connection was closed")
	}
	_, err := sound.Write([]byte("x"))
	require.NoError(t, err)
}

// TestFramesWithoutCallsAreBounded guards against a connection that sends pings without end
// and no call.
func TestFramesWithoutCallsAreBounded(t *testing.T) {
	refused := make(chan verdict.Reason, 100)
	address, _, _ := startPeers(t, &frontend.PeerConns{OnRefused: func(r verdict.Reason) { refused <- r }})
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	for err == nil {
		_, err = conn.Write(make([]byte, 16<<10))
	}
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is closed")
	require.Equal(t, verdict.ReasonBadRequest, <-refused)
}

// TestPeerConnectionsAreBounded guards against connections that use up the descriptors, and
// against a bound that is not free again after their end.
func TestPeerConnectionsAreBounded(t *testing.T) {
	var refused atomic.Int32
	address, _, _ := startPeers(t, &frontend.PeerConns{Max: 3, OnRefused: func(verdict.Reason) { refused.Add(1) }})
	var conns []net.Conn
	for range 5 {
		conn, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	require.Eventually(t, func() bool { return refused.Load() == 2 }, 5*time.Second, time.Millisecond)
	for _, c := range conns {
		_ = c.Close()
	}
	require.Eventually(t, func() bool {
		before := refused.Load()
		conn, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, _ = conn.Read(make([]byte, 1))
		return refused.Load() == before
	}, 5*time.Second, time.Millisecond)
}
