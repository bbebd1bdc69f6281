package e2e

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// relay passes TCP connections on to an address until it is cut.
type relay struct {
	listener net.Listener
	target   string

	delay atomic.Int64 // nanoseconds, of answers

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close(); r.setCut(true) })
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil || !r.add(in, out) {
			_ = in.Close()
			continue
		}
		go r.pipe(in, out, &r.delay)
		go r.pipe(out, in, new(atomic.Int64))
	}
}

// add keeps the connections of a pair, or closes them while the relay is cut.
func (r *relay) add(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		closeAll(conns)
		return false
	}
	r.conns = append(r.conns, conns...)
	return true
}

// setCut cuts the relay and all its connections, or lets new ones pass again.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		closeAll(r.conns)
		r.conns = nil
	}
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

func (r *relay) pipe(to, from net.Conn, delay *atomic.Int64) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(delay.Load()))
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

// relayTables lets a process reach the table service only through a relay. It
// must be called before the process starts.
func (d *deployment) relayTables(name string) *relay {
	d.t.Helper()
	r := newRelay(d.t, d.plan.Platform)
	file := filepath.Join(d.dir, "settings", name+".toml")
	data, err := os.ReadFile(file)
	require.NoError(d.t, err)
	base := "http://" + d.plan.Platform
	changed := strings.Replace(string(data), "tables = '"+base, "tables = 'http://"+r.listener.Addr().String(), 1)
	require.NotEqual(d.t, string(data), changed)
	require.NoError(d.t, os.WriteFile(file, []byte(changed), 0o600))
	return r
}
