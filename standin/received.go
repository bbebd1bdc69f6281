package standin

import (
	"github.com/lavenderstand/lavenderstand/ledger"
)

// Kinds of requests that callers send.
const (
	KindCompletion = "completion"
	KindLookup     = "lookup" // idempotent service call
	KindClaim      = "claim"  // service call that must run at most once
)

// Answer is the final outcome of a request as its caller observed it.
type Answer struct {
	Kind      string         `json:"kind"`
	RequestID string         `json:"request_id"`
	Key       string         `json:"key,omitempty"`
	Method    string         `json:"method,omitempty"`
	Path      string         `json:"path,omitempty"` // path at the service
	Body      string         `json:"body,omitempty"`
	Prompt    string         `json:"prompt,omitempty"`
	MaxTokens int            `json:"max_tokens,omitempty"`
	Status    int            `json:"status"` // of the last attempt, 0 if there was no response
	Reason    string         `json:"reason,omitempty"`
	Text      string         `json:"text"`
	Ranges    []ledger.Range `json:"ranges,omitempty"`
	Truncated bool           `json:"cut,omitempty"` // the last response broke off
	// AllNotRun is set if every attempt was rejected with verdict not_run.
	AllNotRun bool  `json:"all_not_run,omitempty"`
	Attempts  int   `json:"attempts"`
	LatencyMS int64 `json:"latency_ms"` // of all attempts together
}

// Batch is a batch, the frozen samples of one training step, as a trainer received
// it.
type Batch struct {
	BatchID        string         `json:"lot_id"`
	Step           int64          `json:"step"`
	Attempt        int            `json:"attempt"`
	CheckedVersion ledger.Version `json:"checked_version"`
	Samples        []BatchSample  `json:"samples"`
	// TrainerVersion is the trainer's weight version when the batch arrived.
	TrainerVersion ledger.Version `json:"trainer_version"`
}

// BatchSample is a sample in a received batch.
type BatchSample struct {
	Group     string         `json:"group"`
	Index     int            `json:"index"`
	Text      string         `json:"text"`
	Ranges    []ledger.Range `json:"ranges"`
	Score     float64        `json:"score"`
	Staleness int64          `json:"staleness"`
	AgeMS     int64          `json:"age_ms"`
}

// TrainerLog records what one trainer submitted and received.
type TrainerLog struct {
	Name      string             `json:"name"`
	Submitted []ledger.GroupSpec `json:"submitted"` // accepted by an entry host
	Batches   []Batch            `json:"lots"`
	IdleMS    int64              `json:"idle_ms"`
	RunMS     int64              `json:"run_ms"`
	Retries   int                `json:"retries"`
}

// Received holds everything that callers and trainers received in a run.
type Received struct {
	Answers  []Answer     `json:"answers"`
	Trainers []TrainerLog `json:"trainers"`
}
