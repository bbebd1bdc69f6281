// Package ledger holds the durable records of sample delivery (trainers, groups,
// samples and batches) and the rules that every holder applies to them: labels must
// be complete, samples must be fresh, and a batch is frozen once per attempt. It
// does no I/O; a holder writes the records with conditional transactions.
package ledger

import (
	"strconv"
	"time"
)

// Version is a weight version of one model. Versions rise by publication order.
type Version int64

// Range says which version produced the tokens From (inclusive) to To (exclusive).
type Range struct {
	From    int     `json:"from"`
	To      int     `json:"to"`
	Version Version `json:"version"`
}

// GroupSpec is what a trainer submits. ID is unique per trainer.
type GroupSpec struct {
	ID             string `json:"id"`
	Model          string `json:"model"`
	Prompt         string `json:"prompt"`
	Samples        int    `json:"samples"`
	MaxTokens      int    `json:"max_tokens"`
	StalenessBound int64  `json:"staleness_bound"` // weight versions
	Scorer         string `json:"scorer,omitempty"`
}

// GroupRecord is the row of a group.
type GroupRecord struct {
	Spec    GroupSpec `json:"spec"`
	Attempt int       `json:"attempt"` // rises when the samples were too stale
	Scores  []float64 `json:"scores,omitempty"`
	Scored  bool      `json:"scored,omitempty"`
	// Sequence orders groups by submission.
	Sequence uint64 `json:"sequence"`
}

// SampleRecord is the row of a finished sample. The first committed record of
// an (attempt, index) is the sample; later results are discarded.
type SampleRecord struct {
	Group     string  `json:"group"`
	Index     int     `json:"index"`
	Attempt   int     `json:"attempt"`
	Tokens    int     `json:"tokens"`
	Ranges    []Range `json:"ranges"`
	ObjectKey string  `json:"object_key"`
	Backend   string  `json:"backend"`
	// FinishedUnixMS is the wall clock of the controller that received the
	// sample. It serves to report the age and decides nothing.
	FinishedUnixMS int64 `json:"finished_unix_ms,omitempty"`
}

// BatchSample is a sample within a frozen batch.
type BatchSample struct {
	SampleRecord
	Score          float64 `json:"score"`
	StalenessBound int64   `json:"staleness_bound"` // of its group, weight versions
}

// BatchRecord is the row of a frozen batch.
type BatchRecord struct {
	Trainer        string        `json:"trainer"`
	Step           int64         `json:"step"`
	Attempt        int           `json:"attempt"`
	CheckedVersion Version       `json:"checked_version"`
	StalenessBound int64         `json:"staleness_bound"` // smallest bound of its groups
	Groups         []string      `json:"groups"`
	Samples        []BatchSample `json:"samples"`
}

// ID returns the batch's unique id.
func (l *BatchRecord) ID() string {
	return l.Trainer + "/" + strconv.FormatInt(l.Step, 10) + "/" + strconv.Itoa(l.Attempt)
}

// TrainerRecord is the row of a trainer and its only point of serialization:
// each freeze and each version declaration is conditional on its row version.
type TrainerRecord struct {
	Version      Version `json:"version"`     // declared by the trainer
	AckedStep    int64   `json:"acked_step"`  // delivered and acknowledged
	BatchStep    int64   `json:"lot_step"`    // newest frozen step
	BatchAttempt int     `json:"lot_attempt"` // newest frozen attempt of BatchStep
	Fence        uint64  `json:"fence"`       // of the holder that wrote the row
	Sequence     uint64  `json:"sequence"`    // of the newest submitted group
}

// DeliveredSample pairs a delivered sample with its age at delivery.
type DeliveredSample struct {
	BatchSample
	Staleness int64         `json:"staleness"`
	Age       time.Duration `json:"age"`
}

// SampleRequest asks an entry host for one sample.
type SampleRequest struct {
	Trainer    string
	Class      string
	Spec       GroupSpec
	Index      int
	Attempt    int
	Urgent     bool    // one of the last samples of its group
	MinVersion Version // older output would be too stale
}
