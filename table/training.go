package table

import (
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// Partition is a part of the background work that one controller holds under a lease.
type Partition struct {
	Number int

	// Fields of the lease row as last read.
	RowVersion    uint64
	Holder        string
	Address       string
	Fence         uint64
	TTL           time.Duration
	VersionSeenAt time.Duration // when this process first saw RowVersion

	// State of this process as a holder of the lease.
	Held       bool
	ValidUntil time.Duration // end of the lease, counted from before the last successful renewal was sent
	OrdersFrom time.Duration // earliest time of an order to engines; orders of the previous holder have expired by then
	Pending    bool          // an acquisition, renewal or release is under way
	Loaded     bool          // all trainers of the partition are claimed
	RenewAt    time.Duration // time of the next renewal
	Releasing  bool          // no new work is started; the lease is released once the writes under way have ended
	ExcessFrom time.Duration // when this process began to hold more than its share, zero if it does not
}

// PartitionKey returns the key of a partition.
func PartitionKey(number int) string { return strconv.Itoa(number) }

// Trainer is a trainer whose partition this process holds.
type Trainer struct {
	Name         string
	Partition    int
	RowVersion   uint64
	Record       ledger.TrainerRecord
	Pending      bool                // a conditional write of the trainer row is under way
	Batch        *ledger.BatchRecord // newest frozen batch, nil before the first
	BatchAgeFrom time.Duration       // when Batch was frozen or loaded

	Loaded              bool                 // the rows of the trainer have been read from the table service
	Claimed             bool                 // the trainer row has been written under the held fencing token since the load
	LoadPending         bool                 // a load is under way
	RetryAt             time.Duration        // earliest time of the next load or write after a failure
	Failures            int                  // consecutive failures of loads and writes
	RowsPending         bool                 // a write of group and sample rows is under way
	BatchGroups         int                  // number of groups of the newest pull or loaded batch
	RowsTurn            int                  // index of the kind of rows that is written next
	StalenessCheckedFor ledger.Version       // version against which staleness was last checked
	OrphanSamples       []string             // keys of sample rows that belong to no group
	FinishedSamples     []Handle             // samples in phase SampleFinished
	GroupOrder          []Handle             // groups by sequence; handles of deleted groups are removed lazily
	DeletingBatches     []ledger.BatchRecord // acknowledged or replaced batches whose rows must still be deleted
}

// GroupPhase is the progress of a group.
type GroupPhase uint8

// Phases of a group, in order.
const (
	GroupGenerating GroupPhase = iota
	GroupScoring
	GroupComplete
	GroupFrozen // part of the trainer's newest batch
	GroupAcked  // delivered and acknowledged, rows must still be deleted
)

// String returns the name of the phase in messages.
func (p GroupPhase) String() string {
	return [...]string{"generating", "scoring", "complete", "frozen", "acknowledged"}[p]
}

// Group is a group of samples of a held trainer.
type Group struct {
	Trainer      string
	RowVersion   uint64
	Record       ledger.GroupRecord
	Phase        GroupPhase
	Finished     int // number of samples committed in this attempt
	StartedAt    time.Duration
	CompletedAt  time.Duration
	RetryAt      time.Duration // next scoring attempt after a failure
	Failures     int
	Durations    []time.Duration // time per token of each finished sample
	Samples      []Handle        // by index
	Waiting      int             // number of samples in phase SampleWaiting
	ScorePending bool            // a scoring request is under way
	Scores       []float64       // received and not yet committed
	Oldest       ledger.Version  // oldest version of the committed samples, 0 if none
	Median       time.Duration   // median of Durations
}

// GroupKey returns the key of a group.
func GroupKey(trainer, group string) string { return trainer + "/" + group }

// SamplePhase is the progress of a sample.
type SamplePhase uint8

// Phases of a sample, in order.
const (
	SampleWaiting SamplePhase = iota
	SampleRunning
	SampleFinished // generated, waiting for its commit
	SampleCommitting
	SampleCommitted
)

// Sample is one sample of a group.
type Sample struct {
	Trainer   string
	Group     string
	Index     int
	Phase     SamplePhase
	InFlight  int // number of generations under way, 2 when hedged
	StartedAt time.Duration
	RetryAt   time.Duration // earliest time of the next generation after a failure
	Failures  int
	Record    ledger.SampleRecord
}

// SampleKey returns the key of a sample.
func SampleKey(trainer, group string, index int) string {
	return trainer + "/" + group + "/" + strconv.Itoa(index)
}

// CallKind is the kind of a trainer's call.
type CallKind uint8

// Kinds of calls.
const (
	CallSubmit CallKind = iota
	CallDeclare
	CallPull
	CallConfirm
)

// Call is a trainer's call that waits for its answer.
type Call struct {
	ID      string
	Kind    CallKind
	Trainer string
	Step    int64
	Attempt int
	Version ledger.Version
	Groups  int
	Until   time.Duration // end of the wait of a pull
	Specs   []ledger.GroupSpec
	Writing bool // a write on behalf of the call is under way
}

// CommitKind is the kind of a write.
type CommitKind uint8

// Kinds of writes. CommitClaim to CommitFreeze write the trainer row.
const (
	CommitClaim CommitKind = iota
	CommitSubmit
	CommitDeclare
	CommitFreeze
	CommitSamples
	CommitScores
	CommitRegenerate
	CommitDelete
)

// Commit is a write under way, with the changes that are made to the tables when it
// succeeds.
type Commit struct {
	ID      uint64
	Kind    CommitKind
	Trainer string
	Fence   uint64
	Record  ledger.TrainerRecord // trainer row, for kinds that write it
	Groups  []ledger.GroupRecord // submitted, scored or regenerated groups
	Batch   *ledger.BatchRecord  // frozen batch
	Keys    []string             // keys of sample or group rows in the tables
	Objects []string             // keys of sample texts to delete on success
	Call    string               // id of the call that is answered on success
	Last    bool                 // for CommitDelete: the batch row is deleted as well
}

// ControllerState is the state of a controller that is not specific to a row.
type ControllerState struct {
	LeasesPending  bool
	LeasesNext     time.Duration
	WeightsPending bool
	WeightsNext    time.Duration
	LastID         uint64 // id of the newest commit
	SweepPending   bool
	SweepNext      time.Duration // next deletion of expired claims
	Released       bool          // every lease has been handed over during a graceful shutdown
}

// Weights is the wanted weight version of a model and the progress of its rollout.
type Weights struct {
	Model      string
	RowVersion uint64
	Version    ledger.Version
	Previous   ledger.Version
	Partition  int
	StartedAt  time.Duration
	ActiveAt   time.Duration // when all engines outside quarantine had reported the version as active, zero before
	Activating bool          // all engines outside quarantine had loaded the version; from then on each one activates it once loaded
	HeldFence  uint64        // fencing token under which Engines was filled
	Engines    map[string]*EngineUpdate

	Wanted     WantedWeights // newest published version
	Superseded int           // number of successive rollouts that ended before their version was active

	FirstActive time.Duration  // when an engine first reported the version as active, zero before
	MinVersion  ledger.Version // oldest version whose engines are given training work
}

// WantedWeights is a published version of a model and the version of its row.
type WantedWeights struct {
	RowVersion uint64
	Version    ledger.Version
}

// EngineUpdate is the progress of a weight update on one engine.
type EngineUpdate struct {
	BootID         string
	OrderFailures  int  // consecutive failed orders
	OrderedActive  bool // activation has been ordered
	BaseFailures   int  // number of load failures that the engine had reported before the order
	OrderedPreload bool // preloading has been ordered
	OrderedAt      time.Duration
	OrderPending   bool
	Failures       int
	RetryAt        time.Duration
	Quarantined    bool
}

// CommitKey returns the key of a write under way.
func CommitKey(id uint64) string { return strconv.FormatUint(id, 10) }
