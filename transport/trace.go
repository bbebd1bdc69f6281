package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
)

// Trace records the connections that net/http uses for one attempt. The zero value is
// ready to use.
type Trace struct {
	// RequestID is an id that the server repeats in its response, or empty. No connection
	// carries two requests with the same id: a late copy of the first response could not be
	// told from the second one.
	RequestID string

	mayRepeat bool // net/http may repeat the request on another connection

	mu   sync.Mutex
	used []usedConn
}

// traceKey is the key of the Trace in the context of a request.
type traceKey struct{}

// usedConn is a connection that net/http obtained for the attempt.
type usedConn struct {
	conn         net.Conn
	writesBefore uint64 // number of writes before the attempt
}

// Attach returns a context with which the request of the attempt must be sent.
func (t *Trace) Attach(ctx context.Context) context.Context {
	ctx = context.WithValue(ctx, traceKey{}, t)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn, PutIdleConn: t.putIdleConn})
}

// traceOf returns the trace of a request, and the request, to which it attaches a trace if it has
// none.
func traceOf(r *http.Request) (*Trace, *http.Request) {
	if t, ok := r.Context().Value(traceKey{}).(*Trace); ok {
		return t, r
	}
	t := &Trace{mayRepeat: true}
	return t, r.WithContext(t.Attach(r.Context()))
}

// gotConn records a connection. net/http obtains a further one for the same request if the
// first is lost, and repeats a GET request on it. That is prevented, because the sender
// decides about repetitions, unless nothing was written before.
func (t *Trace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := usedConn{conn: info.Conn}
	if c, ok := info.Conn.(*countingConn); ok {
		used.writesBefore = c.count()
		if !t.mayRepeat && t.written() {
			c.blockWrites()
		} else if t.RequestID != "" && !c.carry(t.RequestID) {
			c.blockWrites()
			_ = c.Close()
		}
	}
	t.used = append(t.used, used)
}

// putIdleConn is called when the response has been read and its connection may carry the next
// request.
func (t *Trace) putIdleConn(err error) {
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.used[len(t.used)-1].conn.(*countingConn); ok {
		c.awaitHead()
	}
}

// foldedHead reports whether a connection of the attempt has carried a response with a folded
// field line.
func (t *Trace) foldedHead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.used, func(u usedConn) bool {
		c, ok := u.conn.(*countingConn)
		return ok && c.foldedHead()
	})
}

// written reports whether a byte may have been written to a connection of the attempt.
func (t *Trace) written() bool {
	for _, used := range t.used {
		if c, ok := used.conn.(*countingConn); !ok || c.count() != used.writesBefore {
			return true
		}
	}
	return false
}

// Reused reports whether a connection of the attempt was used for a request before.
func (t *Trace) Reused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.used, func(u usedConn) bool { return u.writesBefore > 0 })
}

// Close closes the connections of the request, so that bytes that follow a response are not
// read as the response to a later request. A later request that was given the connection
// before the HTTP client noticed that it is closed writes nothing and is reported as not sent.
func (t *Trace) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, used := range t.used {
		if c, ok := used.conn.(*countingConn); ok {
			c.blockWrites()
		}
		_ = used.conn.Close()
	}
}

// NothingSent reports whether no byte of the attempt was written. If it returns true, it
// has also closed the connections of the attempt, so that no byte will be written later.
// It returns false if a connection does not count its writes, because it may have sent
// the request.
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
