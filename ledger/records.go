// Package ledger defines the durable records of sample delivery (trainers, groups,
// samples and batches) and the rules that every lease holder applies to them. Version
// labels must be complete, samples must be fresh enough, and a batch is frozen only once
// per attempt. The package does no I/O. A lease holder writes the records with
// conditional transactions.
package ledger

import (
	"strconv"
	"time"
)

// Version is a weight version of one model. Later published versions are higher.
type Version int64

// Range states which weight version generated the tokens From (inclusive) to To
// (exclusive).
type Range struct {
	From    int     `json:"from"`
	To      int     `json:"to"`
	Version Version `json:"version"`
}

// GroupSpec is the request of a trainer for the samples of one prompt. ID is unique per
// trainer.
type GroupSpec struct {
	ID             string `json:"id"`
	Model          string `json:"model"`
	Prompt         string `json:"prompt"`
	Samples        int    `json:"samples"` // number of samples
	MaxTokens      int    `json:"max_tokens"`
	StalenessBound int64  `json:"staleness_bound"` // weight versions
	Scorer         string `json:"scorer,omitempty"`
}

// GroupRecord is the row of a group.
type GroupRecord struct {
	Spec    GroupSpec `json:"spec"`
	Attempt int       `json:"attempt"` // increased when the samples were too stale and are generated again
	Scores  []float64 `json:"scores,omitempty"`
	Scored  bool      `json:"scored,omitempty"`
	// Sequence is the position of the group in the order of submission.
	Sequence uint64 `json:"sequence"`
}

// SampleRecord is the row of a finished sample. The first committed record for an
// attempt and index of a group is the sample. Later results for them are discarded.
type SampleRecord struct {
	Group     string  `json:"group"`
	Index     int     `json:"index"`
	Attempt   int     `json:"attempt"`
	Tokens    int     `json:"tokens"`
	Ranges    []Range `json:"ranges"`
	ObjectKey string  `json:"object_key"`
	Backend   string  `json:"backend"`
	// FinishedUnixMS is the wall-clock time of the controller when it received the
	// sample. It is used only to report the age, not for decisions.
	FinishedUnixMS int64 `json:"finished_unix_ms,omitempty"`
}

// BatchSample is a sample in a frozen batch.
type BatchSample struct {
	SampleRecord
	Score          float64 `json:"score"`
	StalenessBound int64   `json:"staleness_bound"` // bound of its group in weight versions
}

// BatchRecord is the row of a frozen batch.
type BatchRecord struct {
	Trainer        string        `json:"trainer"`
	Step           int64         `json:"step"`
	Attempt        int           `json:"attempt"`
	CheckedVersion Version       `json:"checked_version"` // trainer version that freshness was checked against
	StalenessBound int64         `json:"staleness_bound"` // smallest bound of its groups in weight versions
	Groups         []string      `json:"groups"`
	Samples        []BatchSample `json:"samples"`
}

// ID returns the unique id of the batch.
func (b *BatchRecord) ID() string {
	return b.Trainer + "/" + strconv.FormatInt(b.Step, 10) + "/" + strconv.Itoa(b.Attempt)
}

// TrainerRecord is the row of a trainer. It serializes all changes for the trainer:
// freezing a batch and declaring a version are each conditional on its row version.
type TrainerRecord struct {
	Version      Version `json:"version"`     // weight version declared by the trainer
	AckedStep    int64   `json:"acked_step"`  // step of the newest batch that the trainer has acknowledged
	BatchStep    int64   `json:"lot_step"`    // step of the newest frozen batch
	BatchAttempt int     `json:"lot_attempt"` // newest frozen attempt for BatchStep
	Fence        uint64  `json:"fence"`       // fencing token of the lease holder that wrote the row
	Sequence     uint64  `json:"sequence"`    // sequence of the newest submitted group
}

// DeliveredSample is a delivered sample with its staleness and age at delivery.
type DeliveredSample struct {
	BatchSample
	Staleness int64         `json:"staleness"` // weight versions
	Age       time.Duration `json:"age"`
}

// SampleRequest asks an entry host for one sample.
type SampleRequest struct {
	Trainer    string
	Class      string
	Spec       GroupSpec
	Index      int
	Attempt    int
	Urgent     bool    // one of the last missing samples of its group
	MinVersion Version // tokens of an older version would be too stale
}
