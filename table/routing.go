package table

import (
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
)

// Role is the role of one of the system's own processes.
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
	Draining bool   // a graceful shutdown has begun
	// Refusing is set drain_delay after the graceful shutdown began. From then on, no
	// new request is accepted.
	Refusing   bool
	RefuseFrom time.Duration // when Refusing is to be set
}

// Host is one of the system's own processes, as described by its host row.
type Host struct {
	ID      string
	Host    string
	Zone    string
	Role    Role
	Address string // gRPC address
	HostProgress

	RowVersion  uint64
	RowSeen     time.Duration // when this process saw RowVersion change last
	LastContact time.Duration // last successful Contact, zero if none
	// ConfigVersion and StoreReachable are what the peer reported at LastContact.
	ConfigVersion  uint64
	StoreReachable bool
	ContactPending bool

	Samples int // number of samples that this controller runs on the entry host
	// AtCapacity means that the entry host refused a sample at RefusedAt because it had no
	// free share. SamplesAtRefusal is the value of Samples at that time.
	AtCapacity       bool
	SamplesAtRefusal int
	RefusedAt        time.Duration
	LeaseExpiredAt   time.Duration // when this process last saw an expired lease of the controller, zero if never
}

// BackendKind is the kind of a backend server.
type BackendKind string

// Kinds of backend servers in the platform's host list.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
	KindScoring BackendKind = "scoring"
)

// Backend is a backend server as it is known to this process.
type Backend struct {
	Name           string
	Kind           BackendKind
	Model          string // model of an engine, service name of a service
	Address        string
	Zone           string
	ChecksFence    bool
	ChecksIdentity bool

	// Sources that report the backend as leaving. Any one of them is enough.
	ListLeaving    bool          // the host list marks the backend as leaving
	ListMissing    bool          // the backend is absent from the newest host list
	MissingSince   time.Duration // when ListMissing was set
	ReportLeaving  bool          // the newest load report marks the backend as leaving
	RefusedLeaving bool          // a refusal or connection shutdown showed that the backend is leaving
	RefusedAt      time.Duration // when the newest such refusal was seen
	ListSeen       time.Duration // when the host list last marked the backend as live

	// Newest load report.
	Report     plan.Report
	ReportSeen time.Duration // when the report was received, zero if none
	BootID     string
	// SentAtReport is the value of Counters.Sent at the time that the report describes.
	SentAtReport uint64
	SentHistory  [SentSamples]SentSample `json:"-"` // ring buffer, newest at SentNext-1
	SentNext     int                     `json:"-"`
	ReportStale  bool                    // no report has arrived for several poll intervals
	StatePending bool                    // a poll of the state is under way
	StateNext    time.Duration           // next poll of the state
	StateSince   time.Duration           // when polling began

	// Prompt prefixes that are probably in the cache of the engine.
	Hints        PrefixHints
	CachePending bool          // a poll of the cache events is under way
	CacheNext    time.Duration // next poll of the cache events
	CacheAfter   uint64        // sequence number of the newest cache event

	// Weight state as last reported by the engine.
	Active       ledger.Version // active version, 0 if unknown
	Loaded       []ledger.Version
	Loading      ledger.Version
	LoadFailures int
	Fence        uint64 // fencing token

	// Failure detection.
	ConsecutiveFailures int
	EjectedUntil        time.Duration
	Ejections           int
	LastEjected         time.Duration
	Probing             bool // the ejection has ended and the backend is being tried again

	// RoundingOffset is a value from 0 to 1 that differs by host, see plan.Backend.
	RoundingOffset float64        `json:"-"`
	Counters       *plan.Counters `json:"-"` // requests in flight and sent, shared with traffic
}

// SentSamples is the number of values of Counters.Sent kept per backend. They cover
// reports that lag by several poll intervals.
const SentSamples = 8

// SentSample is the value of Counters.Sent at some time.
type SentSample struct {
	At   time.Duration
	Sent uint64
}

// RecordSent adds the current value of Counters.Sent to the history.
func (b *Backend) RecordSent(now time.Duration) {
	b.SentHistory[b.SentNext%SentSamples] = SentSample{At: now, Sent: b.Counters.Sent.Load()}
	b.SentNext++
}

// SentBy returns the newest value of Counters.Sent that was recorded at or before t, or
// the oldest one if all were recorded later.
func (b *Backend) SentBy(t time.Duration) uint64 {
	oldest := max(0, b.SentNext-SentSamples)
	for i := b.SentNext - 1; i > oldest; i-- {
		if s := b.SentHistory[i%SentSamples]; s.At <= t {
			return s.Sent
		}
	}
	return b.SentHistory[oldest%SentSamples].Sent
}

// Class is a class of work with the target set by operators and the values that are
// derived from it.
type Class struct {
	Name   string
	Target plan.Target

	Priority int     // derived engine priority, higher runs first
	Share    float64 // derived share of engine slots that the class may fill, 0 to 1

	// Numbers of outcomes reported by traffic since the last evaluation.
	OnTime, Late, Failed, Refused uint64
	LastEvaluated                 time.Duration
	OnTimeShare                   float64 // share of answers on time in the last window with requests, 0 to 1
	ExcessLate                    float64 // late, failed and refused requests beyond the target, less those offset by other windows
	MissedTarget                  bool    // the last window missed the target and ExcessLate is positive
}

// Config is the newest accepted configuration known to this process, with the state of
// reading, confirming and preparing it.
type Config struct {
	Version     uint64
	Body        plan.Config
	ConfirmedAt time.Duration // time up to which the configuration is known to be the newest, by a read of the row or by peers
	StoreReadAt time.Duration // when the table service last answered a read of the row
	ReadPending bool
	NextRead    time.Duration
	Confirmed   bool // ConfirmedAt is recent enough for this process to serve new requests

	Started      bool              // ConfirmedAt has been initialized
	EverRead     bool              // the row has been read since process start
	CountsVote   bool              // the row has been read since the versions prepared by an earlier process on this host expired
	ReadSentAt   time.Duration     // when the newest read was sent
	Pending      uint64            // highest prepared version with unknown outcome, 0 if none
	Prepared     map[string]uint64 // prepared versions with unknown outcome, by change
	PendingSince time.Duration     // when Pending was last prepared
	ReadyKnown   bool              // readiness has been reported
	Ready        bool              // readiness as last reported
}

// Leaving reports whether any source reports the backend as leaving.
func (b *Backend) Leaving() bool {
	return b.ListLeaving || b.ListMissing || b.ReportLeaving || b.RefusedLeaving
}

// Routable reports whether the backend may receive new work.
func (b *Backend) Routable() bool { return !b.Leaving() && b.EjectedUntil == 0 }
