// Package plan holds the immutable routing plan that control publishes and
// traffic reads. A plan is never changed after publication; only the counters
// it points to move, and those are atomic.
package plan

import (
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// Plan is everything traffic needs to route a request.
type Plan struct {
	Sequence      uint64 // rises with each publication
	ConfigVersion uint64
	// ValidUntil is a monotonic offset from process start. After it the process
	// may have missed a configuration change and refuses new requests. It is
	// checked per request because a stopped process cannot publish a new plan.
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

// Class is a class of work as traffic sees it.
type Class struct {
	Name     string
	Target   Target
	Priority int
	Share    float64 // share of engine slots that the class may fill, 0 to 1
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Backends []Backend
	Next     *atomic.Uint64 // round robin position, kept across plans
}

// Backend is a backend server that may receive new work.
type Backend struct {
	Name    string
	Address string
	Zone    string
	BootID  string
	Version ledger.Version // active weight version as reported, 0 if unknown
	Report  Report
	// SentAtReport is Counters.Sent when the report arrived.
	SentAtReport uint64
	Probe        bool // only one request at a time, after an ejection
	Stale        bool // no recent report: Report may not reflect the load
	// SlowdownRatio is how many times longer a sequence takes than on the pool's median
	// server, by the reported token rates; 0 or 1 if it is not clearly slower.
	SlowdownRatio  float64 `json:",omitempty"`
	RoundingOffset float64 // 0 to 1, differs by host, rounds this host's part of a share
	Counters       *Counters
	Prefixes       *PrefixSet // nil if nothing is known
}

// Report is a load report of a backend server.
type Report struct {
	Running         int
	Queued          int
	Slots           int
	TokensPerSecond float64
	Age             time.Duration // lag stated by the backend server
}

// Counters count this process's own requests to one backend server.
type Counters struct {
	Sent              atomic.Uint64
	Done              atomic.Uint64
	TrainingInFlight  atomic.Int64 // training samples in flight
	SmoothedLatencyNS atomic.Int64 // smoothed time of a request that did not wait, in ns
	probing           atomic.Bool  // a probe is in flight
}

// InFlight returns the number of this process's requests in flight.
func (c *Counters) InFlight() int {
	done := c.Done.Load() // read first, so that the difference is never negative
	return int(c.Sent.Load() - done)
}

// PrefixSet is an immutable set of hashes of cached prompt prefixes.
type PrefixSet struct {
	Hashes map[uint64]struct{}
}

// Has reports whether the prefix is believed to be cached.
func (s *PrefixSet) Has(hash uint64) bool {
	if s == nil {
		return false
	}
	_, ok := s.Hashes[hash]
	return ok
}

// AtomicPlan publishes plans from control to traffic.
type AtomicPlan struct{ p atomic.Pointer[Plan] }

// Publish replaces the plan.
func (c *AtomicPlan) Publish(p *Plan) { c.p.Store(p) }

// Load returns the newest plan, nil before the first publication.
func (c *AtomicPlan) Load() *Plan { return c.p.Load() }
