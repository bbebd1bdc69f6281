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
	Length     time.Duration
	SeenSince  time.Duration // when RowVersion was first seen on our clock

	// Only while this process holds the lease.
	Held       bool
	ValidUntil time.Duration // counted from before the last successful renewal was sent
	OrdersFrom time.Duration // earliest time for orders to engines, after older orders lapsed
	Pending    bool          // an acquire, renewal or release is under way
	Loaded     bool          // rows of the partition's trainers have been read
}

// PartitionKey returns the key of a partition.
func PartitionKey(number int) string { return strconv.Itoa(number) }

// Trainer is a trainer whose partition this process holds.
type Trainer struct {
	Name       string
	Partition  int
	RowVersion uint64
	Record     ledger.TrainerRecord
	Pending    bool              // a conditional write of the trainer row is under way
	Lot        *ledger.LotRecord // newest frozen lot, nil before the first
	LotAgeFrom time.Duration
}

// GroupPhase is the progress of a group.
type GroupPhase uint8

// Phases of a group, in order.
const (
	GroupGenerating GroupPhase = iota
	GroupScoring
	GroupComplete
	GroupFrozen // part of the trainer's newest lot
)

// Group is a group of samples of a held trainer.
type Group struct {
	Trainer     string
	RowVersion  uint64
	Record      ledger.GroupRecord
	Phase       GroupPhase
	Finished    int // samples committed in this attempt
	StartedAt   time.Duration
	CompletedAt time.Duration
	RetryAt     time.Duration // next scoring attempt after a failure
	Failures    int
	Durations   []time.Duration // of finished samples
}

// GroupKey returns the key of a group.
func GroupKey(trainer, group string) string { return trainer + "/" + group }

// SamplePhase is the progress of a sample.
type SamplePhase uint8

// Phases of a sample, in order.
const (
	SampleWaiting SamplePhase = iota
	SampleRunning
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

// Pull is a trainer's pull that waits for a lot.
type Pull struct {
	Trainer string
	Step    int64
	Version ledger.Version
	Groups  int
	Until   time.Duration
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
	Samplers   map[string]*SamplerRollout
}

// SamplerRollout is the progress of a rollout on one sampler.
type SamplerRollout struct {
	OrderedPreload bool
	OrderedAt      time.Duration
	OrderPending   bool
	Failures       int
	RetryAt        time.Duration
	Quarantined    bool
}
