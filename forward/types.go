// Package forward sends the requests of callers to backend servers: it selects a
// server, limits time and attempts, repeats what may be repeated and returns the
// answer of one server unchanged. Request goroutines read an immutable plan that
// control publishes.
package forward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/registry"
)

// Request is one attempt of a caller. ID is the attempt's own id. Target is path
// and query as the caller sent them.
type Request struct {
	ID       string
	Method   string
	Host     string
	Path     string // without query, for route selection
	Target   string
	Header   http.Header
	Body     []byte
	Deadline time.Time // zero if the caller set none
}

// Answer is the whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Stamp  string // proof of origin that the server put on its answer
	// Failures is the number of failures that servers answered, this one included.
	Failures int
}

// serverFailed reports whether the server failed the request after it had run.
func (a *Answer) serverFailed() bool { return a.Status >= http.StatusInternalServerError }

// ErrStreamEnd is the end of a complete stream. It differs from io.EOF, which may also be
// the cause of a broken one.
var ErrStreamEnd = errors.New("the stream is complete")

// Event is one event of a stream. Raw is the event as the server sent it.
type Event struct {
	ID      int
	Data    string
	Version registry.Version // of the weights that made the event, 0 if not stated
	Raw     []byte
}

// Stream is the running answer of a backend server to a streaming request. Next
// returns ErrStreamEnd after a complete stream.
type Stream interface {
	Header() http.Header
	Version() registry.Version
	Load() (registry.Load, bool)
	Next() (Event, error)
	Close()
}

// Sender talks to one backend server. Errors carry a verdict and a reason.
type Sender interface {
	Send(ctx context.Context, to *Target, r *Request, remaining time.Duration) (*Answer, error)
	// OpenStream resumes after event after if it is not 0.
	OpenStream(ctx context.Context, to *Target, r *Request, after int, remaining time.Duration) (Stream, error)
}

// Target is a backend server that may receive requests.
type Target struct {
	ID      string
	Address string
	Zone    string
	Slots   int
	Suspect bool // failed or was silent lately; used only if no other server is left
	Load    *Load
}

// Load holds the counters of one backend server. They are shared between plans
// and written by request goroutines.
type Load struct {
	InFlight   atomic.Int32 // requests of this process
	reported   atomic.Int32 // running and waiting requests of all callers
	reportedAt atomic.Int64 // Unix nanoseconds
}

// Report records what the server said about its load.
func (l *Load) Report(r registry.Load, at time.Time) {
	l.reported.Store(int32(r.Running + r.Waiting))
	l.reportedAt.Store(at.UnixNano())
}

// loadReportTTL is the time for which a load report is used: several times the time
// of a plain request, after which the reported requests have ended.
const loadReportTTL = 300 * time.Millisecond

// estimatedRequests estimates the requests at the server.
func (l *Load) estimatedRequests(now time.Time) int32 {
	own := l.InFlight.Load()
	if now.UnixNano()-l.reportedAt.Load() > int64(loadReportTTL) {
		return own
	}
	return max(own, l.reported.Load())
}

// Plan is what request goroutines route by.
type Plan struct {
	Desired  *desired.State // nil before the first desired state is known
	Zone     string         // availability zone of this host
	Services map[string][]*Target
}

// AtomicPlan publishes plans from control to traffic.
type AtomicPlan struct{ p atomic.Pointer[Plan] }

// Publish replaces the plan.
func (c *AtomicPlan) Publish(p *Plan) { c.p.Store(p) }

// Load returns the newest plan, nil before the first publication.
func (c *AtomicPlan) Load() *Plan { return c.p.Load() }

// Outcome is what one attempt at a server showed. It is reported to control.
type Outcome struct {
	Request  string
	Server   string
	Answered bool // the server sent an answer of its own
	Failed   bool // the answer was a failure, was lost or never came
	Refused  bool // the server was full
	Silent   bool // nothing came within the time of a slow answer
	Leaving  bool // the server closes its connections
	Took     time.Duration
}
