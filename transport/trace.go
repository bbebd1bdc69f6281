package transport

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// Trace follows the connections that net/http uses for one attempt. The zero
// value is ready.
type Trace struct {
	mu   sync.Mutex
	used []usedConn
}

type usedConn struct {
	conn         net.Conn
	writesBefore uint64 // writes before the attempt
}

// Attach returns a context for the request of the attempt.
func (t *Trace) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *Trace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := usedConn{conn: info.Conn}
	if c, ok := info.Conn.(*countingConn); ok {
		used.writesBefore = c.count()
	}
	t.used = append(t.used, used)
}

// NothingSent reports that no byte of the attempt was written and none will be.
// A connection that does not count its writes may have sent everything.
func (t *Trace) NothingSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, used := range t.used {
		if c, ok := used.conn.(*countingConn); !ok || !c.closeIfUnwritten(used.writesBefore) {
			return false
		}
	}
	return true
}
