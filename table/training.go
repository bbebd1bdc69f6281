package table

import (
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// Partition is a share of the background work, held by one controller.
type Partition struct {
	Number int

	// As last read from the lease row.
	RowVersion uint64
	Holder     string
	Address    string
	Fence      uint64
	TTL        time.Duration
	SeenSince  time.Duration // when RowVersion was first seen on our clock

	// Only while this process holds the lease.
	Held       bool
	ValidUntil time.Duration // counted from before the last successful renewal was sent
	OrdersFrom time.Duration // earliest time for orders to engines, after older orders lapsed
	Pending    bool          // an acquire, renewal or release is under way
	Loaded     bool          // rows of the partition's trainers have been read
	RenewAt    time.Duration // time of the next renewal
	Releasing  bool          // no new work; released once the writes under way have ended
	ExcessFrom time.Duration // since when this process holds more than its share, zero if not
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
	BatchAgeFrom time.Duration

	Loaded              bool // the rows below are those of the table service
	Claimed             bool // the trainer row was written under the held fence since the load
	LoadPending         bool
	RetryAt             time.Duration        // next load or write after a failure
	Failures            int                  // consecutive, of loads and writes
	RowsPending         bool                 // a write of group and sample rows is under way
	BatchGroups         int                  // groups of the newest pull
	RowsTurn            int                  // which kind of rows is written next
	StalenessCheckedFor ledger.Version       // version against which staleness was last checked
	OrphanSamples       []string             // keys of sample rows that belong to no group
	FinishedSamples     []Handle             // samples in SampleFinished
	GroupOrder          []Handle             // groups by sequence; handles of deleted groups are dropped lazily
	DeletingBatches     []ledger.BatchRecord // acknowledged or replaced batches whose rows are still to be deleted
}

// GroupPhase is the progress of a group.
type GroupPhase uint8

// Phases of a group, in order.
const (
	GroupGenerating GroupPhase = iota
	GroupScoring
	GroupComplete
	GroupFrozen // part of the trainer's newest batch
	GroupAcked  // delivered, rows still to be deleted
)

// String returns the name used in messages.
func (p GroupPhase) String() string {
	return [...]string{"generating", "scoring", "complete", "frozen", "acknowledged"}[p]
}

// Group is a group of samples of a held trainer.
type Group struct {
	Trainer      string
	RowVersion   uint64
	Record       ledger.GroupRecord
	Phase        GroupPhase
	Finished     int // samples committed in this attempt
	StartedAt    time.Duration
	CompletedAt  time.Duration
	RetryAt      time.Duration // next scoring attempt after a failure
	Failures     int
	Durations    []time.Duration // per token, of finished samples
	Samples      []Handle        // by index
	Waiting      int             // samples in SampleWaiting
	ScorePending bool
	Scores       []float64      // received and not yet committed
	Oldest       ledger.Version // of the committed samples, 0 if none
	Median       time.Duration  // of Durations
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
	InFlight  int // generations under way, 2 when hedged
	StartedAt time.Duration
	RetryAt   time.Duration
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
	Until   time.Duration // end of a pull's wait
	Specs   []ledger.GroupSpec
	Writing bool // a write on behalf of the call is under way
}

// CommitKind says what a write changes.
type CommitKind uint8

// Kinds of writes. The first group writes the trainer row.
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

// Commit is a write under way, with what its success changes in the tables.
type Commit struct {
	ID      uint64
	Kind    CommitKind
	Trainer string
	Fence   uint64
	Record  ledger.TrainerRecord // of the writes of the trainer row
	Groups  []ledger.GroupRecord // submitted, scored or regenerated
	Batch   *ledger.BatchRecord  // frozen
	Keys    []string             // of sample or group rows in the tables
	Objects []string             // texts to delete on success
	Call    string               // answered on success
	Last    bool                 // of CommitDelete: the batch row goes with it
}

// Background is the state of background work that belongs to no row.
type Background struct {
	LeasesPending  bool
	LeasesNext     time.Duration
	WeightsPending bool
	WeightsNext    time.Duration
	LastID         uint64 // of commits
	SweepPending   bool
	SweepNext      time.Duration // next deletion of expired claims
	Released       bool          // of a planned stop: every lease has been handed over
}

// Weights is a model's wanted weight version and the progress of its rollout.
type Weights struct {
	Model      string
	RowVersion uint64
	Version    ledger.Version
	Previous   ledger.Version
	Partition  int
	StartedAt  time.Duration
	ActiveAt   time.Duration // when all samplers reported the version, zero before
	Activating bool          // all samplers had the version; later ones activate on their own
	HeldFence  uint64        // fence under which Samplers was filled
	Samplers   map[string]*SamplerUpdate

	FirstActive time.Duration  // when a sampler first reported the version as active, zero before
	MinVersion  ledger.Version // oldest version that gets training work
}

// SamplerUpdate is the progress of a weight update on one sampler.
type SamplerUpdate struct {
	BootID         string
	OrderFailures  int // consecutive
	OrderedActive  bool
	BaseFailures   int // load failures reported before the order
	OrderedPreload bool
	OrderedAt      time.Duration
	OrderPending   bool
	Failures       int
	RetryAt        time.Duration
	Quarantined    bool
}

// CommitKey returns the key of a write under way.
func CommitKey(id uint64) string { return strconv.FormatUint(id, 10) }
