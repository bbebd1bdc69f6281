package event

import (
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// LeaseRow is a lease row as read from the table service.
type LeaseRow struct {
	Partition  int
	RowVersion uint64
	Holder     string // host row id, empty if released
	Address    string
	Fence      uint64
	TTL        time.Duration
}

// LeasesRead is the answer to command.ReadLeases.
type LeasesRead struct {
	Rows    []LeaseRow
	Failure *Failure
}

// Name implements Event.
func (LeasesRead) Name() string { return "leases_read" }

// LeaseWritten is the answer to command.WriteLease.
type LeaseWritten struct {
	Row       LeaseRow // as written, if Committed
	Committed bool
	// SentAt is the time just before the write was sent, a monotonic offset.
	SentAt  time.Duration
	Failure *Failure
}

// Name implements Event.
func (LeaseWritten) Name() string { return "lease_written" }

// Stored rows of trainers, groups and samples.
type (
	// TrainerRow is a stored trainer.
	TrainerRow struct {
		Name       string
		RowVersion uint64
		Record     ledger.TrainerRecord
	}
	// GroupRow is a stored group.
	GroupRow struct {
		Trainer    string
		RowVersion uint64
		Record     ledger.GroupRecord
	}
	// SampleRow is a stored sample.
	SampleRow struct {
		Trainer string
		Record  ledger.SampleRecord
	}
)

// TrainerLoaded is the answer to command.LoadTrainer: all rows of a trainer.
type TrainerLoaded struct {
	Trainer TrainerRow // Name is set even on failure; RowVersion is 0 if there is no row yet
	Groups  []GroupRow
	Samples []SampleRow
	Batches []ledger.BatchRecord
	Failure *Failure
}

// Name implements Event.
func (TrainerLoaded) Name() string { return "trainer_loaded" }

// GroupsSubmitted is a trainer's submission of groups.
type GroupsSubmitted struct {
	RequestID string
	Trainer   string
	Groups    []ledger.GroupSpec
}

// Name implements Event.
func (GroupsSubmitted) Name() string { return "groups_submitted" }

// VersionDeclared is a trainer's declaration of its current weight version.
type VersionDeclared struct {
	RequestID string
	Trainer   string
	Version   ledger.Version
}

// Name implements Event.
func (VersionDeclared) Name() string { return "version_declared" }

// PullRequested is a trainer's request for the batch of a step.
type PullRequested struct {
	RequestID string
	Trainer   string
	Step      int64
	Version   ledger.Version
	Groups    int
	Wait      time.Duration
}

// Name implements Event.
func (PullRequested) Name() string { return "pull_requested" }

// ConfirmRequested asks whether a frozen batch may be handed over now.
type ConfirmRequested struct {
	RequestID string
	Trainer   string
	Step      int64
	Attempt   int
}

// Name implements Event.
func (ConfirmRequested) Name() string { return "confirm_requested" }

// GroupsRequested asks for the progress of groups.
type GroupsRequested struct {
	RequestID string
	Trainer   string // empty for all trainers held by this process
}

// Name implements Event.
func (GroupsRequested) Name() string { return "groups_requested" }

// GroupStatus is the progress of a group.
type GroupStatus struct {
	Trainer  string
	Group    string
	Phase    string
	Finished int
	Samples  int
	Attempt  int
	Age      time.Duration
}

// RequestAbandoned reports that the sender of a waiting request has disconnected.
type RequestAbandoned struct{ RequestID string }

// Name implements Event.
func (RequestAbandoned) Name() string { return "request_abandoned" }

// SampleGenerated is the answer to command.GenerateSample.
type SampleGenerated struct {
	Trainer string
	Record  ledger.SampleRecord // Group, Index and Attempt are set even on failure
	EntryID string              // entry host that was asked
	Failure *Failure
	Took    time.Duration
}

// Name implements Event.
func (SampleGenerated) Name() string { return "sample_generated" }

// RowsCommitted is the answer to command.CommitRows.
type RowsCommitted struct {
	ID        uint64 // id of the command
	Committed bool
	Versions  map[string]uint64 // new versions by key, if Committed
	Failure   *Failure
}

// Name implements Event.
func (RowsCommitted) Name() string { return "rows_committed" }

// GroupScored is the answer to command.ScoreGroup.
type GroupScored struct {
	Trainer string
	Group   string
	Attempt int
	Scores  []float64
	Failure *Failure
}

// Name implements Event.
func (GroupScored) Name() string { return "group_scored" }

// WeightsRow is the stored row of a model's wanted weight version.
type WeightsRow struct {
	Model      string
	RowVersion uint64
	Version    ledger.Version
}

// WeightsRead is the answer to command.ReadWeights.
type WeightsRead struct {
	Rows    []WeightsRow
	Failure *Failure
}

// Name implements Event.
func (WeightsRead) Name() string { return "weights_read" }

// OrderAnswered is the answer to command.OrderWeights.
type OrderAnswered struct {
	Backend string
	Model   string
	Failure *Failure
}

// Name implements Event.
func (OrderAnswered) Name() string { return "order_answered" }

// ClaimsSwept is the answer to command.SweepClaims. Deleted is the number of deleted rows,
// including those deleted before a failure.
type ClaimsSwept struct {
	Deleted int
	Failure *Failure
}

// Name implements Event.
func (ClaimsSwept) Name() string { return "claims_swept" }
