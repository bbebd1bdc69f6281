package table

import (
	"time"

	"github.com/lavenderstand/lavenderstand/accesskey"
	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/origin"
	"github.com/lavenderstand/lavenderstand/registry"
)

// Rollout holds the control state of a host that serves callers and trainers on a
// platform with a shared store.
type Rollout struct {
	Self               lot.Process // this process
	Zone               string
	OrderHandoverDelay time.Duration // minimum time between orders of two successive holders of the order lease
	// StoreReadsPerSecond is the number of read calls per second that the store serves to
	// all hosts together.
	StoreReadsPerSecond float64
	// ResultRetention is the time after the submission of a lot for which its results are
	// promised.
	ResultRetention time.Duration
	// BackendDrainPeriod is the time for which a backend server that leaves still serves.
	BackendDrainPeriod time.Duration
	Deleting           bool          // the deletion of an old lot is under way
	NextDelete         time.Duration // earliest time of the next deletion
	Feeds              Table[Feed]   // keyed by table name of the store
	Desired            *desired.State
	Organisations      Organisations
	Servers            Table[Server] // keyed by server id
	Models             Table[Model]  // keyed by model name
	Lots               Table[Lot]    // keyed by lot id
	// HeadsVersion is the version of the store up to which all heads are known. It may
	// be 0; HeadsKnown is set once all heads have been read.
	HeadsVersion     uint64
	HeadsKnown       bool
	Items            Table[Item] // keyed by ItemKey; only items of lots that this process owns
	OrderLease       OrderLease
	Peers            Table[PeerHost]     // keyed by host name, this host included
	Suspects         Table[Suspect]      // keyed by content of a request
	SuspectsChanged  bool                // the quarantined contents must be published again
	PermitBuckets    Table[PermitBucket] // keyed by server id
	LeavingStarts    Table[LeavingStart] // keyed by registry.Start.Key
	LeavingAsked     bool                // other hosts have been asked which servers leave
	LeavingCheckedAt time.Duration       // when expired rows of LeavingStarts were last searched
	StreamOrigins    Table[StreamOrigin] // keyed by StreamKey; streams that this host forwarded
	StreamQueries    Table[StreamQuery]  // keyed by request id
	StreamRecord     StreamRecord
	// SoftwareHistories holds the software versions of services, keyed by service.
	SoftwareHistories  Table[SoftwareHistory]
	HistoriesCheckedAt time.Duration // when the versions of servers were last compared with the histories
	// Presence is the state of the row by which other hosts find this host.
	Presence          Presence
	Sharing           Sharing
	MedianIntervals   map[string]MedianInterval // by service
	LoadTimes         map[string]time.Duration  // expected time of a load of weights, by service
	EnginesAssignedAt time.Duration             // when engines were last assigned to models
	MovesCheckedAt    time.Duration             // when runs that would gain by a move were last searched
	LeftoverCheckedAt time.Duration             // when runs of steps that are over were last searched
	Runners           map[string]command.Runner // as last published, by model

	Baselines   Baselines
	Draining    bool   // a graceful shutdown has begun
	HandedOver  bool   // all lots and the order lease have been handed over
	PlanChanged bool   // the routing plan must be published again
	LotsChanged bool   // the heads of lots must be published again
	WriteCount  uint64 // number of writes so far, makes write ids unique
	RunCount    int    // number of runs and scoring requests of items so far, makes run numbers unique
}

// Organisations are the organisations in force.
type Organisations struct {
	Keys *accesskey.Index // nil if the deployment does not tell callers apart
	// ValidVersion is the version of the desired state from which they come, 0 if it had none
	// or invalid ones.
	ValidVersion uint64
}

// Sharing is the state of the exchange of estimates with other hosts.
type Sharing struct {
	NextAt  time.Duration // earliest time of the next exchange
	Pending bool          // an exchange is under way
	Round   int           // number of exchanges so far, selects the host
	After   string        // id of the last server of which a note was sent
}

// PeerHost is a host of the system as described by its presence row in the store.
type PeerHost struct {
	Address        string
	BootID         string
	LimitedEngines []string // engines that name a request limit, as the host knows, sorted
	Version        uint64
	VersionSeenAt  time.Duration // when this process saw Version change last
	Deleted        bool
}

// Suspect is the content of requests under which backend servers ended.
type Suspect struct {
	Ended       []EndedServer
	Quarantined bool
	Until       time.Duration // when the entry expires
	Reporter    bool          // this process put the content in quarantine
	RowVersion  uint64        // of the row in the store, 0 if there is none
	Writing     bool          // a write of the row is under way
	NextWrite   time.Duration // earliest time of the next write
}

// EndedServer is a backend server that ended.
type EndedServer struct {
	Server string
	At     time.Duration // when this process learned of it
}

// PermitBucket holds the permits that this host may grant for requests to a server with a
// request limit. Available is negative while permits are reserved for later.
type PermitBucket struct {
	Available  float64
	Background float64 // permits that requests in the background get even if Available is used up
	FilledAt   time.Duration
}

// LeavingStart is a start of a backend server that said in an answer that it leaves. The row is
// kept beside that of the server, whose record may come later or expire and return.
type LeavingStart struct {
	Start    registry.Start
	FromHost bool          // another host reported it
	SeenAt   time.Duration // when it was reported, or when the server was listed last
}

// StreamKey returns the key of a stream.
func StreamKey(s origin.Stream) string {
	text, _ := s.MarshalText() // never fails
	return string(text)
}

// StreamOrigin is the software version that began a stream.
type StreamOrigin struct {
	Stream   origin.Stream
	Software registry.Software
	SeenAt   time.Duration // when this host last forwarded a first event of the stream
}

// StreamQuery is a request of a caller that resumes a stream and waits for the software
// version that began it.
type StreamQuery struct {
	Stream  origin.Stream
	AskedAt time.Duration
}

// StreamRecord is the state of the row in which this host records the streams that it
// forwarded.
type StreamRecord struct {
	RowVersion uint64
	Changed    bool          // StreamOrigins differs from the row
	Writing    bool          // a write of the row is under way
	NextWrite  time.Duration // earliest time of the next write
	Reading    bool          // a read of the rows of all hosts is under way
	NextRead   time.Duration // earliest time of the next read
}

// SoftwareHistory holds the software versions of a service of which streams may be open.
type SoftwareHistory struct {
	Versions     []registry.Software // as recorded in the store
	RowVersion   uint64
	Since        map[registry.Software]time.Duration // when this process read a version of Versions first
	ServedAt     map[registry.Software]time.Duration // when a server had a version last
	KnownSince   map[registry.Software]time.Duration // when this process found a server with a version first
	AvoidedUntil time.Duration                       // until then new streams avoid a version of Versions
	ChangeSince  time.Duration                       // since when Versions is to be changed, 0 if it is not
	Writing      bool                                // a write of the row is under way
	NextWrite    time.Duration                       // earliest time of the next write
}

// Presence is the state of writing the presence row of this host.
type Presence struct {
	Address   string
	Writing   bool          // a write of the row is under way
	NextWrite time.Duration // earliest time of the next write
}

// Feed is the state of the change feed of one table of the store.
type Feed struct {
	Down     bool          // the feed is lost
	Since    time.Duration // when Down last changed
	CaughtUp bool          // the changes made while the feed was lost have been applied
	// ServedSince is since when the store has served some host without a break, as far as
	// this host knows. It is at most Since while the feed is not lost.
	ServedSince time.Duration
}

// MedianInterval is the median of the event intervals of a service's servers.
type MedianInterval struct {
	Interval time.Duration // median time between two events of a stream
	At       time.Duration // when it was computed
}

// Server is a backend server: its published record and what this host has observed.
type Server struct {
	registry.Server
	RowVersion   uint64
	MissingSince time.Duration // when the record was found missing, 0 if it exists
	LeavesAt     time.Duration // when the server ends, as it announced, 0 if it did not
	LeavingSince time.Duration // when this host first learned that the server leaves, 0 if it does not
	SaidLeaving  bool          // an answer of this start said that it leaves, so that no record revokes it

	Load           *forward.Load `json:"-"` // shared with request goroutines
	Running        int           // number of items that this host runs on the server
	Reserved       int           // number of slots that are kept free for runs that move here
	Answers        *Speed        // of plain requests, nil before the first observation
	Pace           Pace
	Slowdown       Slowdown
	Critical       time.Duration // expected further time of its runs that delay a step, 0 if there are none
	SuspectUntil   time.Duration // until then the server is used only if no other is left, 0 if not suspect
	Failures       int           // consecutive failures
	BusyUntil      time.Duration // until then no items are sent, after a refusal for lack of a slot or during a load
	Refusals       int           // consecutive refusals; while there are any, items are sent one at a time
	RefusedSince   time.Duration // first of the consecutive refusals, 0 if there is none
	LimitSeenAt    time.Duration // last answer that named RequestLimit
	RequestLimit   float64       // requests per second that the server takes from all hosts, 0 if it named no limit
	Order          Order
	PreferredModel string // model to which the engine is assigned
}

// Speed is what this host has learned of the time that a server takes for a unit of work.
type Speed struct {
	Estimator capacity.Estimator `json:"-"`
	Estimate  capacity.Estimate  // newest estimate
	OwnAt     time.Duration      // newest observation of this host, 0 if there is none
}

// Known reports whether the time of a unit of work is known.
func (s *Speed) Known() bool { return s != nil && s.Estimate.Known() }

// Pace is the measured time between two events of a run on a server.
type Pace struct {
	Events     *Speed        // by which callers' streams choose a server, nil before the first observation
	Usual      time.Duration // smoothed over the life of the server, 0 before the first measurement
	Recent     time.Duration // smoothed over the newest measurements
	MeasuredAt time.Duration // when the newest measurement was made
}

// Slowdown is the state of a server relative to its steady event interval.
type Slowdown struct {
	Steady     time.Duration // event interval apart from slowdowns, 0 before the first measurement
	Since      time.Duration // when the server was first found slower, 0 if it is not
	MeasuredAt time.Duration // when the newest measurement was made
}

// Baselines selects simpler decisions, so that tests can compare the others with them.
type Baselines struct {
	Moves    bool // the newest measurement of a server is expected to last
	Division bool // engines are divided by mean tokens of the lots and by count
	Order    bool // groups of a lot are not told apart
	Shares   bool // organisations are not told apart in the order of waiting items
}

// Order is the newest order of this process to a server.
type Order struct {
	Model       string
	Version     registry.Version
	SentAt      time.Duration
	Pending     bool          // the outcome is not known yet
	NextOrderAt time.Duration // earliest time of the next order
}

// Model is a model with the newest weight version that its trainer named.
type Model struct {
	NamedVersion registry.Version
	NamedAt      time.Duration
	Lengths      LengthStats

	LastStep    string          // newest lot that this process ran
	StepReadyAt time.Duration   // when the groups that its trainer waits for were complete, 0 before
	StepTook    time.Duration   // time until they were, of the last step in which they were
	OpenGroups  map[string]bool // groups that were not complete then
	StepOverdue bool            // they were not complete when they were due
}

// LengthStats describes the lengths of the newest finished outputs of a model, as the
// logarithm of the ratio of their events to their estimated tokens.
type LengthStats struct {
	Outputs      int // number of outputs measured, up to a limit
	MeanLogRatio float64
	Variance     float64
}

// LotStage is the relation of this process to a lot.
type LotStage string

// Stages of a lot.
const (
	LotNotOwned LotStage = "foreign"  // owned by another process or by none
	LotAdopting LotStage = "adopting" // this process commits that it is the owner, or loads the lot
	LotOwned    LotStage = "owned"
)

// Lot is a submission of items by a trainer.
type Lot struct {
	Head          lot.Head
	Version       uint64        // of the head's row
	VersionSeenAt time.Duration // when this process saw Version change last
	SeenAt        time.Duration // when this process saw the lot first
	Stage         LotStage

	// PartitionDown is set when the partition of the head did not take an adoption by this
	// process, which says nothing about the owner.
	PartitionDown bool
	Checking      bool // a check whether the partition is available is under way

	// The following fields are set for owned lots only, apart from RetryAt.
	Submission     *lot.Submission `json:"-"`
	AcceptedAt     time.Duration   // when this process accepted or adopted the lot
	Listed         map[string]bool `json:"-"` // ids of the items whose results are listed or wait for a write
	Pending        []lot.Result    `json:"-"` // results that wait for the next write
	PendingSince   time.Duration   // when the first result of Pending was added
	Write          *LotWrite       // the write that is prepared or in flight, nil if there is none
	LastWriteAt    time.Duration   // when the last write began
	LastProgressAt time.Duration   // when the last write with progress of items began
	// MaxWriteResults bounds the results of the next write, 0 if the store rejected none.
	MaxWriteResults int
	RetryAt         time.Duration // earliest time of the next adoption, write or deletion after a failure
	Releasing       bool          // the runs have been stopped for a planned handover
	Plan            StepPlan      `json:"-"`
	Urgency         int           // see lot.Head
	Carried         int           // number of groups left from the previous step, negative if unknown
}

// StepPlan is the expected course of the step of an owned lot.
type StepPlan struct {
	At        time.Duration   // when the plan was made
	Remaining time.Duration   // expected time until the groups that the trainer waits for are complete
	Short     bool            // the model has fewer slots than the step needs
	Over      bool            // the trainer does not wait for the lot any more
	Spare     map[string]bool // incomplete groups that the trainer is not expected to wait for
}

// LotWrite is a commit of a lot. It is sent again unchanged until its outcome is known.
type LotWrite struct {
	Head     lot.Head
	Results  []lot.Result   `json:"-"`
	Progress []lot.Progress `json:"-"`
	InFlight bool
	Release  bool // the write hands the lot over
}

// ItemStage is the state of processing of an item.
type ItemStage string

// Stages of an item.
const (
	ItemWaiting ItemStage = "waiting"
	ItemRunning ItemStage = "running"
	ItemScoring ItemStage = "scoring"
	ItemDone    ItemStage = "done"
)

// Item is an item of an owned lot whose result is not listed yet.
type Item struct {
	Lot   string
	Spec  *lot.Item `json:"-"`
	Stage ItemStage

	Run           int               // number of the newest run or scoring request
	Server        string            // server of the newest run
	RunSoftware   registry.Software // software version of Server
	RunAfter      int               // number of events before the newest run
	Stopping      bool              // the newest run has been told to stop
	MoveTo        string            // server on which a slot is reserved for the next run
	Moves         int               // number of times that the item was moved to another server
	AvoidServer   string            // server of the last run that failed or was too slow
	NotBefore     time.Duration     // earliest time of the next run or scoring request, 0 while a request is under way
	WaitingSince  time.Duration     // when the item began to wait for its next run
	DiscardOutput bool              // the output is discarded when the newest run ends

	Events       []string           `json:"-"` // data of the events so far
	Versions     []registry.Version // weight versions that generated Events
	Software     registry.Software  // software version of the server that began Events
	StoredEvents int                // number of events that are stored as progress
	EventsAt     time.Duration      // start of the newest run or its last progress report

	Stalls               int // number of runs that sent no event in time
	Failures             int // number of answers that reported a failure of the run
	UnprocessableAnswers int // number of answers that reported that the item can never be processed
	OversizedOutputs     int // number of runs whose output exceeded what can be stored
	UnexpectedAnswers    int // number of answers whose status says nothing about the item
	ScoreFailures        int // number of answers of the scorer that reported a failure
	ScoreRetries         int // number of scoring requests without a score
}

// ItemKey returns the key of an item. It contains the lot because the same item may be
// submitted again in a later lot.
func ItemKey(lot, item string) string { return lot + "/" + item }

// Predecessor is the newest holder of the order lease other than this process, as the store
// showed it. A row that this process wrote itself does not change it.
type Predecessor struct {
	Known   bool        // a row of another process was read
	Holder  lot.Process // empty after a release
	Settled bool
	Quiet   time.Duration
	SeenAt  time.Duration // when this process read its newest row
}

// OrderLease is the lease under which one process gives orders to engines.
type OrderLease struct {
	Holder        lot.Process
	Version       uint64        // of the lease row, 0 if there is none
	VersionSeenAt time.Duration // when this process saw Version change last
	Predecessor   Predecessor
	Held          bool   // this process holds the lease
	Fence         uint64 // fencing token: version of the row when this process took the lease
	// ValidUntil is the time until which this process may give orders. It is counted
	// from before the last successful write of the row was sent.
	ValidUntil  time.Duration
	OrdersFrom  time.Duration // earliest time of an order; orders of the previous holder may be in flight before
	LastOrderAt time.Duration // newest order of any holder that this process knows of or must allow for, while it holds the lease
	Writing     bool          // a write of the row is under way
	NextWrite   time.Duration // earliest time of the next write
	// DutyCalls is the number of calls of duties to the platform's API that are under way.
	DutyCalls int
	// Yielding is set if another process is to acquire the lease, because the platform has seen
	// a higher fencing token.
	Yielding bool
}

// orderLeaseMargin is the time before the end of the lease in which its holder begins nothing
// that requires the lease. It covers the time until the call has been sent.
const orderLeaseMargin = 250 * time.Millisecond

// MayAct reports whether this process may give orders and perform duties now: it holds the
// lease and does not yield it, the lease is not about to end, and no order of the previous
// holder can be in flight.
func (l *OrderLease) MayAct(now time.Duration) bool {
	return l.Held && !l.Yielding && now >= l.OrdersFrom && now < l.ValidUntil-orderLeaseMargin
}
