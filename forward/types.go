// Package forward sends the requests of callers to backend servers. It selects a server,
// bounds time and attempts, retries requests that may be repeated and returns the response
// of one server unchanged. Request goroutines read an immutable plan that control
// publishes.
package forward

import (
	"context"
	"errors"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/accesskey"
	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/memory"
	"github.com/lavenderstand/lavenderstand/registry"
)

// Request is a request of a caller. ID is the attempt id that the caller gave it, which is
// the same at all backend servers that the request is sent to. Target is the path and query
// as sent by the caller.
type Request struct {
	ID       string
	Method   string
	Host     string
	Path     string // without query, for route selection
	Target   string
	Header   http.Header
	Body     []byte
	Deadline time.Time // zero if the caller set none
	// Timeout replaces the timeout of the route, unless it is 0.
	Timeout time.Duration
	// Organisation is the organisation of the caller, empty if it has none or the deployment
	// does not tell callers apart.
	Organisation string
	// Identified is set if the deployment tells callers apart: the server gets Organisation in
	// place of the identity headers in Header.
	Identified bool
	// Resumes is the id of the attempt that brought the first event of the stream that the
	// caller resumes, and ResumeAfter the id of the last event that it received. They
	// are empty and 0 for a new stream.
	Resumes     string
	ResumeAfter int
	// Background is set for requests that no caller waits for. They do not take places in
	// the queues of servers.
	Background bool
	// Memory holds the bytes that are kept for the request. Nil means no bound.
	Memory *memory.Scope
}

// Answer is the complete response of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Stamp  string // proof of origin that the server adds to its response
	// UnconfirmedRefusal is set if the status guarantees to callers that the request has not run,
	// but the server did not confirm this, so that the request may have run.
	UnconfirmedRefusal bool
	// Failures is the number of responses, including this one, that state that the request
	// itself failed. It is set only in failure responses.
	Failures int
}

// serverFailed reports whether the server failed, so that another server may succeed. It may have
// run the request. An unconfirmed refusal may come sooner than the answer of a sound server, so it
// must not count as a response time.
func (a *Answer) serverFailed() bool {
	return a.UnconfirmedRefusal || a.Status >= http.StatusInternalServerError
}

// requestFailed reports whether the server states that the request failed. Other statuses from
// 500 on say nothing about the request: with 504, for example, a server stops at the deadline
// that it was given.
func (a *Answer) requestFailed() bool { return a.Status == http.StatusInternalServerError }

// ErrStreamEnd is returned at the end of a complete stream. It differs from io.EOF, which can
// also be the cause of a broken stream.
var ErrStreamEnd = errors.New("the stream is complete")

// Event is one event of a stream. Raw is the event as the server sent it.
type Event struct {
	ID      int
	Data    string
	Version registry.Version // version of the weights that generated the event, 0 if not stated
	Raw     []byte
}

// Stream is the response of a backend server to a streaming request. Next returns
// ErrStreamEnd after the last event of a complete stream.
type Stream interface {
	Header() http.Header
	Version() registry.Version
	Load() (registry.Load, bool)
	Next() (Event, error)
	Close()
}

// Sender sends requests to backend servers. Errors carry a verdict and a reason.
type Sender interface {
	Send(ctx context.Context, to *Target, r *Request, remaining time.Duration) (*Answer, error)
	// OpenStream opens a stream. If after is not 0, the stream resumes after the event with
	// that id.
	OpenStream(ctx context.Context, to *Target, r *Request, after int, remaining time.Duration) (Stream, error)
}

// Target is a backend server that may receive requests.
type Target struct {
	ID      string
	Address string
	// StartedUnixMS is the start time of the server as published, 0 if it is not.
	StartedUnixMS int64
	Zone          string
	Slots         int
	// Software is the version of the server's software.
	Software registry.Software
	// AvoidNewStreams is set if a stream that its caller may resume begins at the server only if
	// no other server will do, because other hosts may not know its software version yet.
	AvoidNewStreams bool
	// HoldNewStreams is set if such a stream does not begin at the server yet, also if there is
	// no other.
	HoldNewStreams bool
	Suspect        bool                        // recently failed or did not respond; used only if no other server is left
	Missing        bool                        // its record expired while the store was unavailable
	Models         map[string]registry.Version // weight versions by model
	Load           *Load
}

// Start returns the start of the server to which requests to the target go.
func (t *Target) Start() registry.Start {
	return registry.Start{Server: t.ID, Address: t.Address, StartedUnixMS: t.StartedUnixMS}
}

// Load holds the load counters of one start of a backend server. Successive plans share them,
// and request goroutines update them.
type Load struct {
	leaving    atomic.Bool   // the server has said that it leaves
	InFlight   atomic.Int32  // requests in flight from this process
	reported   atomic.Int32  // running and waiting requests of all callers, as last reported by the server
	reportedAt atomic.Int64  // time of the last report, Unix nanoseconds
	peak       atomic.Int32  // largest reported load since TakePeak was called
	response   atomic.Int64  // smoothed response time, nanoseconds
	measuredAt atomic.Int64  // time of the last measurement of response, Unix nanoseconds
	Held       memory.Holder // bytes of answers and streams of the server that this process holds
	suspects   atomic.Int32  // requests in flight under which another server ended
	fullUntil  atomic.Int64  // time until which the server is sent nothing after a refusal, Unix nanoseconds
	probedAt   atomic.Int64  // time of the last request sent although the server reported a queue, see hasTurn, Unix nanoseconds
	limit      atomic.Uint64 // requests per second that the server takes from all hosts, bits of a float64, 0 if it named no limit
	// nextCallerPermit and nextBackgroundPermit are the times at which the next permit of a
	// server with a limit is expected to be available, Unix nanoseconds.
	nextCallerPermit     atomic.Int64
	nextBackgroundPermit atomic.Int64

	slowdown    atomic.Uint64 // as last stated by the server, bits of a float64, 0 if not stated
	others      atomic.Uint64 // smoothed ratio of reported requests to those in flight from this process, bits of a float64
	surprise    atomic.Uint64 // ratio of the last response time to the expected one, bits of a float64
	surprisedAt atomic.Int64  // time of surprise, Unix nanoseconds
	responses   atomic.Pointer[capacity.Estimate]
	streams     atomic.Pointer[capacity.Estimate]
}

// Report records the load that the server reported.
func (l *Load) Report(r registry.Load, at time.Time) {
	requests := float64(r.Running + r.Waiting)
	smoothFloat(&l.others, min(maxOthers, max(1, requests/float64(max(1, l.InFlight.Load())))), loadSmoothing)
	l.reported.Store(int32(r.Running + r.Waiting))
	l.slowdown.Store(math.Float64bits(r.Slowdown))
	l.reportedAt.Store(at.UnixNano())
	l.peak.Store(max(l.peak.Load(), l.reported.Load())) // concurrent calls may lose one report
}

// TakePeak returns the largest load of the server since the last call: requests of all callers
// as the server reported them, or those in flight from this process.
func (l *Load) TakePeak() int { return int(max(l.peak.Swap(0), l.InFlight.Load())) }

// loadReportTTL is the time for which a load report is used. It is several times the duration
// of an ordinary request; after it, the reported requests have ended.
const loadReportTTL = 300 * time.Millisecond

const (
	// responseTTL is the time for which a measured response time is used. After it, the
	// server may have recovered and is measured again.
	responseTTL = 2 * time.Second
	// responseSmoothing is the weight, from 0 to 1, of a new measurement.
	responseSmoothing = 0.3
)

// recordResponse records the time that the server took to respond. Concurrent calls may
// lose a measurement.
func (l *Load) recordResponse(took time.Duration, now time.Time) {
	l.recordSurprise(took, now)
	if old := l.responseTime(now); old > 0 {
		took = time.Duration((1-responseSmoothing)*float64(old) + responseSmoothing*float64(took))
	}
	l.response.Store(int64(took))
	l.measuredAt.Store(now.UnixNano())
}

// responseTime returns the smoothed response time, or 0 if it was not measured lately.
func (l *Load) responseTime(now time.Time) time.Duration {
	if now.UnixNano()-l.measuredAt.Load() > int64(responseTTL) {
		return 0
	}
	return time.Duration(l.response.Load())
}

// recordRefusal records that the server refused a request because it is full.
func (l *Load) recordRefusal(pause time.Duration, now time.Time) {
	l.fullUntil.Store(now.Add(pause).UnixNano())
}

// refusedUntil returns the time until the server may be sent requests again after a refusal,
// 0 if it may be now.
func (l *Load) refusedUntil(now time.Time) time.Duration {
	return max(0, time.Duration(l.fullUntil.Load()-now.UnixNano()))
}

// Requests returns the estimated number of requests at the server.
func (l *Load) Requests(now time.Time) int { return int(l.estimatedRequests(now)) }

// estimatedRequests returns the estimated number of requests at the server: the larger of
// the requests in flight from this process and a recent load report.
func (l *Load) estimatedRequests(now time.Time) int32 {
	own := l.InFlight.Load()
	if now.UnixNano()-l.reportedAt.Load() > int64(loadReportTTL) {
		return own
	}
	return max(own, l.reported.Load())
}

// Plan is the state that request goroutines use to route requests.
type Plan struct {
	Desired  *desired.State       // nil before the first desired state is known
	Zone     string               // availability zone of this host
	Services map[string][]*Target // backend servers by service
	Keys     *accesskey.Index     // nil if the deployment does not tell callers apart
	Leaving  map[string][]*Target // servers that get no requests because they leave, by service
	At       time.Duration        // when control built the plan
}

// AtomicPlan holds the current plan, which control publishes to request goroutines.
type AtomicPlan struct{ p atomic.Pointer[Plan] }

// Publish replaces the plan.
func (a *AtomicPlan) Publish(p *Plan) { a.p.Store(p) }

// Load returns the current plan, or nil before the first Publish.
func (a *AtomicPlan) Load() *Plan { return a.p.Load() }

// Outcome is the outcome of one attempt at a server, as reported to control.
type Outcome struct {
	Request  string
	Server   string
	Answered bool // the server sent a response
	Failed   bool // the response was a failure, was lost or did not arrive
	Refused  bool // the server was full
	Silent   bool // no response within the time of a slow response
	Leaving  bool // the server is closing its connections
	Ended    bool // the server ended while it had the request
	// EndedServers is the number of servers that ended under the request so far, this one
	// included.
	EndedServers int
	Content      string // fingerprint of the request, empty if it is in the background
	Took         time.Duration
	Limit        float64 // requests per second that the server takes from all hosts, 0 if it named no limit
	// Work is what was measured of the server, without its time. Its units are those of plain
	// requests or, if Stream is set, events.
	Work   capacity.Observation
	Stream bool
}
