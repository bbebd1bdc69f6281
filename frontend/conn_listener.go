package frontend

import (
	"net"
	"time"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// evictionAge is the time after which a connection that waits for its caller makes room for a
// new one when all are in use. Callers send their head at once.
const evictionAge = 250 * time.Millisecond

const (
	// lookedAt is the number of connections that are looked at for each new one.
	lookedAt = 64
	// idleWeight divides the waiting time of idle connections that have served requests.
	idleWeight = 100
)

// Listener wraps l for an http.Server whose ConnState hook is c.ConnState. Only one listener
// may use c.
func (c *CallerConns) Listener(l net.Listener) net.Listener {
	c.heads.bound = c.Heads
	return &connListener{Listener: l, conns: c}
}

// connListener accepts connections. Its fields belong to the goroutine that accepts.
type connListener struct {
	net.Listener
	conns  *CallerConns
	known  []*callerConn // open ones, and some that were closed
	cursor int           // of the next connection in known to look at
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		if !l.makeRoom(now) {
			l.conns.refused(verdict.ReasonOverload)
			refuseConn(conn)
			continue
		}
		l.conns.open.Add(1)
		cc := &callerConn{Conn: conn, conns: l.conns}
		cc.since.Store(now.UnixNano())
		l.known = append(l.known, cc)
		return cc, nil
	}
}

// makeRoom reports whether a connection may be added. If all are in use, it closes the one
// of those looked at that should be closed first.
func (l *connListener) makeRoom(now time.Time) bool {
	victim := l.look(now)
	if l.conns.Max <= 0 || l.conns.open.Load() < int64(l.conns.Max) {
		return true
	}
	if victim == nil {
		return false
	}
	l.conns.refused(verdict.ReasonOverload)
	_ = victim.Close()
	return true
}

// look forgets closed connections among the next ones and returns the one that should be
// closed first, or nil.
func (l *connListener) look(now time.Time) *callerConn {
	var victim *callerConn
	var most time.Duration
	for range min(lookedAt, len(l.known)) {
		if l.cursor >= len(l.known) {
			l.cursor = 0
		}
		c := l.known[l.cursor]
		if c.closed.Load() {
			last := len(l.known) - 1
			l.known[l.cursor], l.known[last] = l.known[last], nil
			l.known = l.known[:last]
			continue
		}
		l.cursor++
		if w := c.evictionWeight(now); w > most {
			victim, most = c, w
		}
	}
	return victim
}

// evictionWeight tells connections that should be closed earlier from others, by a larger
// value. It is 0 for one that must not be closed. Callers within the limits send a head and
// a body at once, so the longest wait comes first, and an idle connection after those.
func (c *callerConn) evictionWeight(now time.Time) time.Duration {
	waited := now.Sub(time.Unix(0, c.since.Load()))
	if waited < evictionAge {
		return 0
	}
	switch connPhase(c.phase.Load()) {
	case phaseActive:
		return 0
	case phaseIdle:
		if c.served.Load() {
			return waited / idleWeight
		}
	}
	return waited
}

// refuseConn answers that no request has run and closes the connection.
func refuseConn(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Millisecond)) // the buffer of a new connection has room
	_, _ = conn.Write(refusalAnswer(refusalStatus(verdict.ReasonOverload)))
	_ = conn.Close()
}
