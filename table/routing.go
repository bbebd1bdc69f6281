package table

import (
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
)

// Role is the job of one of the system's own processes.
type Role string

// Roles of the system's own processes.
const (
	RoleEntry      Role = "entry"
	RoleController Role = "controller"
)

// Self describes the process that owns the tables.
type Self struct {
	ID       string // host row id, unique per process start
	Host     string
	Zone     string
	Role     Role
	Address  string // gRPC address of this process
	Draining bool   // a planned stop has begun
	// Refusing is set drain_delay after the planned stop began: no new request
	// is accepted any more.
	Refusing   bool
	RefuseFrom time.Duration
}

// Host is one of the system's own processes, learned from host rows.
type Host struct {
	ID      string
	Host    string
	Zone    string
	Role    Role
	Address string // gRPC address
	HostProgress

	RowVersion  uint64
	RowSeen     time.Duration // when RowVersion last changed on our clock
	LastContact time.Duration // last successful Contact, zero if none
	// Config version and store state that the peer reported at LastContact.
	ConfigVersion  uint64
	StoreReachable bool
	ContactPending bool

	Samples int // samples that this controller runs on the entry host
	// After a refusal for want of a free share: the samples it held then.
	AtCapacity       bool
	SamplesAtRefusal int
	RefusedAt        time.Duration
	LeaseLapsedAt    time.Duration // when a lease of this controller lapsed on our clock, zero if none
}

// BackendKind is the kind of a backend server.
type BackendKind string

// Kinds of backend servers in the platform's host list.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
	KindScoring BackendKind = "scoring"
)

// Backend is a backend server as this process sees it.
type Backend struct {
	Name           string
	Kind           BackendKind
	Model          string // model of an engine, service name of a service
	Address        string
	Zone           string
	ChecksFence    bool
	ChecksIdentity bool

	// Each source that says the backend is leaving counts on its own.
	ListLeaving    bool
	ListMissing    bool // absent from the newest list
	MissingSince   time.Duration
	ReportLeaving  bool
	RefusedLeaving bool // a refusal or connection shutdown said so
	RefusedAt      time.Duration
	ListSeen       time.Duration // when the list last named the backend as live

	// Newest load report.
	Report     plan.Report
	ReportSeen time.Duration // on our clock, zero if none
	BootID     string
	// SentAtReport is Counters.Sent at the time that the report describes.
	SentAtReport uint64
	SentHistory  [SentSamples]SentSample `json:"-"` // ring, newest at SentNext-1
	SentNext     int                     `json:"-"`
	ReportStale  bool                    // reports have stopped
	StatePending bool
	StateNext    time.Duration // next poll of the state
	StateSince   time.Duration // when polling began

	// Prompt prefixes believed to be in the cache.
	Hints        PrefixHints
	CachePending bool
	CacheNext    time.Duration // next poll of the cache events
	CacheAfter   uint64        // sequence number of the newest cache event

	// Weight state as the engine reported it.
	Active       ledger.Version // active version, 0 if unknown
	Loaded       []ledger.Version
	Loading      ledger.Version
	LoadFailures int
	Fence        uint64

	// Failure detection.
	ConsecutiveFailures int
	EjectedUntil        time.Duration
	Ejections           int
	LastEjected         time.Duration
	Probing             bool

	// RoundingOffset is 0 to 1 and differs by host, see plan.Backend.
	RoundingOffset float64        `json:"-"`
	Counters       *plan.Counters `json:"-"` // shared with traffic; requests in flight and sent
}

// SentSamples is the number of earlier counter values kept per backend: enough
// for reports that lag by several poll periods.
const SentSamples = 8

// SentSample is the value of Counters.Sent at a time.
type SentSample struct {
	At   time.Duration
	Sent uint64
}

// RecordSent adds the counter's value now.
func (b *Backend) RecordSent(now time.Duration) {
	b.SentHistory[b.SentNext%SentSamples] = SentSample{At: now, Sent: b.Counters.Sent.Load()}
	b.SentNext++
}

// SentBy returns the newest recorded counter value at or before t, the oldest
// one if all are later.
func (b *Backend) SentBy(t time.Duration) uint64 {
	oldest := max(0, b.SentNext-SentSamples)
	for i := b.SentNext - 1; i > oldest; i-- {
		if s := b.SentHistory[i%SentSamples]; s.At <= t {
			return s.Sent
		}
	}
	return b.SentHistory[oldest%SentSamples].Sent
}

// Class is a class of work with the operators' target and what is derived.
type Class struct {
	Name   string
	Target plan.Target

	Priority int     // derived: engine priority, higher runs first
	Share    float64 // derived: share of engine slots that the class may fill, 0 to 1

	// Outcomes reported by traffic since the last evaluation.
	OnTime, Late, Failed, Refused uint64
	LastEvaluated                 time.Duration
	OnTimeShare                   float64 // of the last evaluated window
	ExcessLate                    float64 // late answers beyond the target that are not made up for
	MissedTarget                  bool    // the last window with requests missed the target
}

// Config is the newest accepted configuration known to this process.
type Config struct {
	Version     uint64
	Body        plan.Config
	ConfirmedAt time.Duration // when the row was last read, or confirmed by rule
	StoreReadAt time.Duration // when the table service last answered a read of the row
	ReadPending bool
	NextRead    time.Duration
	Confirmed   bool // this process may serve new requests

	Started      bool              // the fields below have their initial values
	EverRead     bool              // the row was read since process start
	CountsVote   bool              // the row was read after prepares of an earlier start lapsed
	ReadSentAt   time.Duration     // when the newest read was sent
	Pending      uint64            // prepared version with unknown outcome, 0 if none
	Prepared     map[string]uint64 // versions behind Pending by change
	PendingSince time.Duration     // when Pending was last prepared
	ReadyKnown   bool              // readiness was reported
	Ready        bool              // readiness as last reported
}

// Leaving reports whether any source says that the backend is leaving.
func (b *Backend) Leaving() bool {
	return b.ListLeaving || b.ListMissing || b.ReportLeaving || b.RefusedLeaving
}

// Routable reports whether the backend may receive new work.
func (b *Backend) Routable() bool { return !b.Leaving() && b.EjectedUntil == 0 }
