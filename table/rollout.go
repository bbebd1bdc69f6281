package table

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
)

// Rollout holds the entities of a host that serves callers and trainers on a
// platform with a shared store.
type Rollout struct {
	Self     lot.Process // this process
	Zone     string
	LeaseTTL time.Duration // smallest time between orders of two holders
	// StoreReadsPerSecond is the number of reading calls per second that the store serves to all
	// hosts together.
	StoreReadsPerSecond float64
	// ResultRetention is the time after its submission for which the results of a lot are promised.
	ResultRetention time.Duration
	Deleting        bool          // the deletion of an old lot is under way
	NextDelete      time.Duration // none before
	Feeds           Table[Feed]   // keyed by table name of the store
	Desired         *desired.State
	Servers         Table[Server] // keyed by server id
	Models          Table[Model]  // keyed by model name
	Lots            Table[Lot]    // keyed by lot id
	// HeadsVersion is the version of the store up to which all heads are known. It may
	// be 0; HeadsKnown is false before all were read.
	HeadsVersion uint64
	HeadsKnown   bool
	Items        Table[Item]     // keyed by ItemKey; only items of own lots
	OrderLease   OrderLease      // the right to give orders
	Peers        Table[PeerHost] // keyed by host name, this host included
	// Presence is the row by which others find this host.
	Presence          Presence
	MedianIntervals   map[string]MedianInterval // by service
	EnginesAssignedAt time.Duration             // when engines were last shared among models
	Runners           map[string]command.Runner

	Draining    bool   // a planned stop has begun
	HandedOver  bool   // everything has been handed over since
	PlanChanged bool   // the routing plan must be published again
	LotsChanged bool   // the state of lots must be published again
	WriteCount  uint64 // counts writes, so that each has a name of its own
	RunCount    int    // counts runs of items
}

// PeerHost is a host of the system by its row in the store.
type PeerHost struct {
	Address       string
	BootID        string
	Version       uint64
	VersionSeenAt time.Duration // when Version last changed on our clock
	Deleted       bool
}

// Presence is the state of this host's own row.
type Presence struct {
	Address   string
	Writing   bool
	NextWrite time.Duration
}

// Feed is the state of one feed of the store.
type Feed struct {
	Down  bool
	Since time.Duration // when Down last changed
}

// MedianInterval is the median interval between events on a service's servers.
type MedianInterval struct {
	Interval time.Duration // median time between two events of a stream
	At       time.Duration
}

// Server is a backend server with what this host has seen of it.
type Server struct {
	registry.Server
	RowVersion   uint64
	MissingSince time.Duration // record lapsed while the store was away, 0 if it is there

	Load           *forward.Load `json:"-"` // shared with request goroutines
	Running        int           // items that this host runs on it
	EventInterval  time.Duration // smoothed time between two events, 0 before the first
	SlowUntil      time.Duration // produces clearly slower than the others
	SuspectUntil   time.Duration
	Failures       int           // failures in a row
	BusyUntil      time.Duration // refused for want of a slot or while it loads weights
	Refusals       int           // in a row; one item at a time tries until none is refused
	Order          Order
	PreferredModel string // model whose items run here first
}

// Order is the newest order of this process to a server.
type Order struct {
	Model       string
	Version     registry.Version
	SentAt      time.Duration
	Pending     bool          // its outcome has not come back
	NextOrderAt time.Duration // no other order before
}

// Model is a model with the version that its trainer named last.
type Model struct {
	NamedVersion registry.Version
	NamedAt      time.Duration
}

// LotStage is what this host does with a lot.
type LotStage string

// Stages of a lot.
const (
	LotNotOwned LotStage = "foreign"  // another process runs it, or nobody
	LotAdopting LotStage = "adopting" // a commit to own it is in flight
	LotOwned    LotStage = "owned"
)

// Lot is a submission of items by a trainer.
type Lot struct {
	Head          lot.Head
	Version       uint64        // of the head's row
	VersionSeenAt time.Duration // when Version last changed on our clock
	Stage         LotStage

	// Of owned lots.
	Submission     *lot.Submission `json:"-"`
	AcceptedAt     time.Duration   // on our clock
	Listed         map[string]bool `json:"-"` // items that are listed or about to be
	Pending        []lot.Result    `json:"-"` // results that wait for the next write
	PendingSince   time.Duration   // when the first of them became ready
	Write          *LotWrite       // the write in flight, nil if there is none
	LastWriteAt    time.Duration   // when the last write began
	LastProgressAt time.Duration   // when the last write with progress of items began
	RetryAt        time.Duration   // next adoption or write after a failure
}

// LotWrite is a commit of a lot. It stays the same until its outcome is known.
type LotWrite struct {
	Head     lot.Head
	Results  []lot.Result   `json:"-"`
	Progress []lot.Progress `json:"-"`
	InFlight bool
	Release  bool
}

// ItemStage is what an item waits for.
type ItemStage string

// Stages of an item.
const (
	ItemWaiting ItemStage = "waiting"
	ItemRunning ItemStage = "running"
	ItemScoring ItemStage = "scoring"
	ItemDone    ItemStage = "done"
)

// Item is an item of an owned lot that is not listed yet.
type Item struct {
	Lot   string
	Spec  *lot.Item `json:"-"`
	Stage ItemStage

	Run         int    // number of the newest run
	Server      string // of the newest run
	Stopping    bool   // the newest run has been told to end
	AvoidServer string // server that failed or was slow last
	NotBefore   time.Duration

	Events       []string `json:"-"` // data of the events so far
	Versions     []registry.Version
	StoredEvents int // events that are stored as progress

	Failures             int // answers that say the run failed
	UnprocessableAnswers int // answers that say the item can never be done
	ScoreRuns            int
	ScoreFailures        int // failed answers of the scorer
}

// ItemKey is the key of an item: the same item may come again in a later lot.
func ItemKey(lot, item string) string { return lot + "/" + item }

// OrderLease is the lease under which one process gives orders to engines.
type OrderLease struct {
	Holder        lot.Process
	Version       uint64        // of the lease row, 0 if there is none
	VersionSeenAt time.Duration // when Version last changed on our clock
	Held          bool
	Fence         uint64 // version of the row when this process took the lease
	// ValidUntil ends the right to give orders, on our clock. It is counted from
	// before the last successful renewal was sent.
	ValidUntil time.Duration
	OrdersFrom time.Duration // no order before: the last holder's may still be under way
	Writing    bool
	NextWrite  time.Duration
}
