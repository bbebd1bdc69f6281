package command

import (
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
)

// ReadLeases reads all lease rows.
type ReadLeases struct{}

// Name implements Command.
func (ReadLeases) Name() string { return "read_leases" }

// WriteLease acquires, renews or, with an empty Holder, releases a lease. It is
// conditional on Row.RowVersion.
type WriteLease struct{ Row event.LeaseRow }

// Name implements Command.
func (WriteLease) Name() string { return "write_lease" }

// LoadTrainer reads all rows of a trainer: the trainer row first, then the group, sample
// and batch rows. The holder's next write is conditional on the version of the trainer
// row as read, so that it fails if a batch or submission was committed during the read.
// With a batch of 512 groups of 16 samples, about 8,700 rows are read, plus those of
// groups in flight beyond the batch and of acknowledged batches not yet deleted.
type LoadTrainer struct{ Trainer string }

// Name implements Command.
func (LoadTrainer) Name() string { return "load_trainer" }

// RowWrite is the write of one row in CommitRows. Exactly one of the records and Delete
// is set.
type RowWrite struct {
	Key     string
	Trainer *ledger.TrainerRecord
	Group   *ledger.GroupRecord
	Sample  *ledger.SampleRecord
	Batch   *ledger.BatchRecord
	Delete  bool
	// IfVersion is the required version of the row. It is ignored if AnyVersion is set.
	IfVersion  uint64
	AnyVersion bool
}

// CommitRows writes rows in one conditional transaction. The executor resolves an unknown
// outcome by reading the rows back. If that fails too, the Failure has the verdict
// MayHaveRun.
type CommitRows struct {
	ID   uint64
	Rows []RowWrite
}

// Name implements Command.
func (CommitRows) Name() string { return "commit_rows" }

// DeleteObjects deletes sample texts on a best-effort basis.
type DeleteObjects struct{ Keys []string }

// Name implements Command.
func (DeleteObjects) Name() string { return "delete_objects" }

// GenerateSample asks an entry host to generate one sample.
type GenerateSample struct {
	EntryID, Address string
	Trainer          string
	Class            string
	Spec             ledger.GroupSpec
	Index            int
	Attempt          int
	Urgent           bool // one of the last samples of its group
	Hedge            bool
	MinVersion       ledger.Version // oldest weight version whose output is not too stale
}

// Name implements Command.
func (GenerateSample) Name() string { return "generate_sample" }

// ScoreGroup asks a scoring service for the scores of a finished group.
type ScoreGroup struct {
	Address string
	Trainer string
	Spec    ledger.GroupSpec
	Attempt int
	Samples []ledger.SampleRecord
}

// Name implements Command.
func (ScoreGroup) Name() string { return "score_group" }

// AnswerSubmit answers event.GroupsSubmitted.
type AnswerSubmit struct {
	RequestID string
	Accepted  []string
	Failure   *event.Failure
}

// Name implements Command.
func (AnswerSubmit) Name() string { return "answer_submit" }

// AnswerVersion answers event.VersionDeclared.
type AnswerVersion struct {
	RequestID string
	Version   ledger.Version // version in force after the call
	Failure   *event.Failure
}

// Name implements Command.
func (AnswerVersion) Name() string { return "answer_version" }

// AnswerPull answers event.PullRequested with a frozen batch.
type AnswerPull struct {
	RequestID string
	Batch     *ledger.BatchRecord
	Failure   *event.Failure
}

// Name implements Command.
func (AnswerPull) Name() string { return "answer_pull" }

// AnswerConfirm answers event.ConfirmRequested.
type AnswerConfirm struct {
	RequestID      string
	CheckedVersion ledger.Version // the trainer's version at the check
	Failure        *event.Failure // has ReasonNotReady if the batch must be pulled again
}

// Name implements Command.
func (AnswerConfirm) Name() string { return "answer_confirm" }

// AnswerGroups answers event.GroupsRequested.
type AnswerGroups struct {
	RequestID string
	Groups    []event.GroupStatus
	Failure   *event.Failure
}

// Name implements Command.
func (AnswerGroups) Name() string { return "answer_groups" }

// DrainFinished reports that every lease has been handed over after event.DrainRequested,
// so that the process may exit.
type DrainFinished struct{}

// Name implements Command.
func (DrainFinished) Name() string { return "drain_finished" }

// ReadWeights reads all wanted weight versions.
type ReadWeights struct{}

// Name implements Command.
func (ReadWeights) Name() string { return "read_weights" }

// OrderWeights sends the wanted weight state to an engine. The executor drops the order if
// Deadline has passed before it is sent.
type OrderWeights struct {
	Backend, Address string
	Wanted           engine.Order
	Deadline         time.Duration // monotonic offset
}

// Name implements Command.
func (OrderWeights) Name() string { return "order_weights" }

// SweepClaims deletes the claims whose retention has passed.
type SweepClaims struct{}

// Name implements Command.
func (SweepClaims) Name() string { return "sweep_claims" }
