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

// relay forwards TCP connections to the target address unless it is cut.
type relay struct {
	listener net.Listener
	target   string

	delay atomic.Int64 // nanoseconds, added to each chunk of an answer

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

// add registers both connections of a pair. If the relay is cut, it closes them and
// returns false.
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

// setCut closes all connections and refuses new ones if cut is true, and forwards new
// ones again otherwise.
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

// pipe copies chunks from one connection to another until either fails, then closes
// both. It waits for the delay before it forwards a chunk.
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

// relayTables changes the settings of a process so that it reaches the table service
// only through a relay. It must be called before the process starts.
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
