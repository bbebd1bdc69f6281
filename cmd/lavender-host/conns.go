package main

import (
	"log"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/frontend"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// refusalLogInterval is the shortest time between two log lines about connections that were
// refused for one reason.
const refusalLogInterval = time.Minute

// checkLimits are the limits of connections for readiness checks and metrics.
func checkLimits() desired.Limits {
	return desired.Limits{HeaderBytes: adminHeaderBytes, HeaderTimeout: adminHeaderTimeout, IdleTimeout: adminIdleTimeout}
}

// newServer returns an HTTP server and the bounds of its connections. refused is the name of
// the counter of connections that are refused.
func (h *host) newServer(handler http.Handler, limits func() desired.Limits, maxConns int, refused string) (*http.Server, *frontend.CallerConns) {
	conns := &frontend.CallerConns{Limits: limits, Max: maxConns, Heads: h.connBounds.HeadBytes, OnRefused: h.refusals(refused)}
	return &http.Server{ //nolint:gosec // conns bounds the time for the header
		Handler: handler, ConnState: conns.ConnState, ErrorLog: log.New(zap.NewStdLog(h.log).Writer(), "", 0),
		ReadTimeout: adminReadTimeout, WriteTimeout: adminWriteTimeout, IdleTimeout: adminIdleTimeout,
	}, conns
}

// refusals returns a function that counts and logs connections that are refused or closed.
func (h *host) refusals(counter string) func(verdict.Reason) {
	r := &refusalLog{states: make(map[verdict.Reason]*refusalState)}
	return func(reason verdict.Reason) {
		h.count(counter, reason)
		if n := r.add(reason, time.Now()); n > 0 {
			h.log.Warn("connections outside the limits refused", zap.String("counter", counter), zap.String("reason", string(reason)), zap.Int("number", n))
		}
	}
}

// refusalLog decides which refusals of connections get a log line: the first of a reason, and
// at most one each refusalLogInterval after it.
type refusalLog struct {
	mu     sync.Mutex
	states map[verdict.Reason]*refusalState
}

type refusalState struct {
	logged time.Time
	number int // since the last line
}

// add adds a refusal. It returns the number of refusals for a line, 0 for no line.
func (r *refusalLog) add(reason verdict.Reason, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[reason]
	if s == nil {
		s = new(refusalState)
		r.states[reason] = s
	}
	s.number++
	if now.Sub(s.logged) < refusalLogInterval {
		return 0
	}
	n := s.number
	s.logged, s.number = now, 0
	return n
}
