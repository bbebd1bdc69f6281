package forward

import (
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// MaxEndedServers is the number of servers that may end under one request, one after the
	// other, before it is given up and its content is put in quarantine. A single one may have
	// ended for another reason.
	MaxEndedServers = 2
	// quarantineRetryAfter is the time after which callers of quarantined requests come back.
	quarantineRetryAfter = time.Second
	// isolationPenalty is added for servers that run a request under which another server
	// ended, so that other requests are not lost with them.
	isolationPenalty = time.Second
)

// Quarantine holds the contents of requests that crash servers, which control publishes.
type Quarantine struct {
	p atomic.Pointer[map[string]bool]
}

// Publish replaces the contents, by fingerprint.
func (q *Quarantine) Publish(contents map[string]bool) { q.p.Store(&contents) }

func (q *Quarantine) empty() bool {
	contents := q.p.Load()
	return contents == nil || len(*contents) == 0
}

func (q *Quarantine) contains(content string) bool {
	contents := q.p.Load()
	return contents != nil && (*contents)[content]
}

// checkQuarantine returns an error if requests with the content of r crash servers. Requests
// in the background belong to items, which are owed whatever happens to servers.
func (f *Forwarder) checkQuarantine(r *Request) error {
	if r.Background || f.Quarantine.empty() || !f.Quarantine.contains(r.Fingerprint()) {
		return nil
	}
	err := verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "servers ended under requests with this content")
	return verdict.WithRetryAfter(err, quarantineRetryAfter)
}

// tooManyEnded reports whether a request under which a number of servers ended must be given
// up.
func tooManyEnded(r *Request, servers int) bool { return !r.Background && servers >= MaxEndedServers }

// errTooManyEnded returns the error of a request that is given up because servers ended.
func errTooManyEnded(cause error, servers int) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.ReasonQuarantined, "%d servers ended while they had the request", servers)
}
