// Package plan contains the immutable routing plan, which the control goroutine
// publishes and the goroutines of requests read. A plan is never changed after its
// publication. Only the counters that it points to change, and these are atomic.
package plan

import (
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// Plan contains everything that is needed to route a request.
type Plan struct {
	Sequence      uint64 // increases with each publication
	ConfigVersion uint64
	// ValidUntil is a monotonic time since process start. After it, the process
	// may have missed a configuration change and refuses new requests. It is
	// checked for each request, because a process that was paused could not have
	// published a new plan.
	ValidUntil time.Duration
	Draining   bool
	Hosts      int // live entry hosts, which share the same load reports
	Routing    RoutingPolicy

	Classes  map[string]Class
	Routes   map[string]RouteConfig
	Models   map[string]*Pool // engines by model
	Services map[string]*Pool // plain and scoring services by service name
	Entries  []EntryHost      // live entry hosts, for controllers
}

// EntryHost is an entry host that runs samples for controllers.
type EntryHost struct {
	ID      string
	Zone    string
	Address string
}

// Class is a class of requests, as the request path uses it.
type Class struct {
	Name     string
	Target   Target
	Priority int     // a class with a higher value takes precedence
	Share    float64 // share of engine slots that the class may fill, 0 to 1
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Backends []Backend
	Next     *atomic.Uint64 // position of the RoundRobin policy, shared by successive plans
}

// Backend is a backend server that may receive new requests.
type Backend struct {
	Name    string
	Address string
	Zone    string
	BootID  string
	Version ledger.Version // reported active weight version, 0 if unknown
	Report  Report
	// SentAtReport is the value of Counters.Sent at the time that Report describes.
	SentAtReport uint64
	Probe        bool // takes only one request at a time, after an ejection
	Stale        bool // Report is not recent and may not reflect the load
	// SlowdownRatio is how many times longer a sequence takes on this server than on
	// the median server of the pool, by the reported token rates. It is 0 or 1 if
	// the server is not clearly slower.
	SlowdownRatio  float64 `json:",omitempty"`
	RoundingOffset float64 // 0 to 1, differs between hosts, rounds this host's part of a share
	Counters       *Counters
	Prefixes       *PrefixSet // nil if no cached prefixes are known
}

// Report is a load report of a backend server.
type Report struct {
	Running         int // requests being processed
	Queued          int // requests waiting for a slot
	Slots           int // maximum number of requests processed at once
	TokensPerSecond float64
	Age             time.Duration // age of the report, as stated by the backend server
}

// Counters counts the requests of this process to one backend server.
type Counters struct {
	Sent              atomic.Uint64
	Done              atomic.Uint64
	TrainingInFlight  atomic.Int64 // training samples in flight
	SmoothedLatencyNS atomic.Int64 // moving average of the duration of requests that did not wait, in ns
	probing           atomic.Bool  // a probe is in flight
}

// InFlight returns the number of this process's requests in flight.
func (c *Counters) InFlight() int {
	done := c.Done.Load() // Done is read first so that the difference is never negative
	return int(c.Sent.Load() - done)
}

// PrefixSet is an immutable set of hashes of cached prompt prefixes.
type PrefixSet struct {
	Hashes map[uint64]struct{}
}

// Has reports whether the prefix is probably cached.
func (s *PrefixSet) Has(hash uint64) bool {
	if s == nil {
		return false
	}
	_, ok := s.Hashes[hash]
	return ok
}

// AtomicPlan passes the newest plan from the control goroutine to the goroutines of
// requests.
type AtomicPlan struct{ p atomic.Pointer[Plan] }

// Publish replaces the plan.
func (c *AtomicPlan) Publish(p *Plan) { c.p.Store(p) }

// Load returns the newest plan, or nil before the first publication.
func (c *AtomicPlan) Load() *Plan { return c.p.Load() }
