// Package engine defines the messages of model engines and scoring services and
// provides a typed client for them. All durations in messages are in milliseconds,
// as the field names indicate.
package engine

import "github.com/lavenderstand/lavenderstand/ledger"

// GenerateRequest requests one completion, which is sent as a stream of chunks.
type GenerateRequest struct {
	RequestID    string         `json:"request_id"`
	Model        string         `json:"model"`
	Prompt       string         `json:"prompt"`
	MaxTokens    int            `json:"max_tokens"`
	Priority     int            `json:"priority"`                // higher runs first
	PrefixTokens []int          `json:"prefix_tokens,omitempty"` // tokens already generated, if the completion is resumed
	OnlyVersion  ledger.Version `json:"only_version,omitempty"`  // the only version of the weights that may run it; 0 for any
	DeadlineMS   int64          `json:"deadline_ms,omitempty"`   // time left until the deadline, in milliseconds
}

// Chunk is a part of a completion.
type Chunk struct {
	RequestID    string         `json:"request_id"`
	BootID       string         `json:"boot_id"` // differs for each start of the engine process
	Offset       int            `json:"offset"`  // index of the first token within the whole completion
	Tokens       []int          `json:"tokens"`
	Text         string         `json:"text"`
	Version      ledger.Version `json:"version"`
	Done         bool           `json:"done,omitempty"`
	FinishReason string         `json:"finish_reason,omitempty"` // with Done: stop or length
}

// Refusal is the body of a 503 with which an engine refuses a request before
// running it.
type Refusal struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}

// ReasonLeaving is the Reason of a Refusal by an engine that is leaving.
const ReasonLeaving = "leaving"

// Order tells an engine which versions of the weights to load and to activate.
type Order struct {
	Fence      uint64         `json:"fence"` // fencing token of the order lease
	OrderID    string         `json:"order_id"`
	Model      string         `json:"model"`
	Preload    ledger.Version `json:"preload,omitempty"`
	Active     ledger.Version `json:"active,omitempty"`
	Role       string         `json:"role,omitempty"`
	DeadlineMS int64          `json:"deadline_ms"` // time left, in milliseconds; the engine ignores the order if it has not begun by then
	IssuedBy   string         `json:"issued_by"`
}

// State is the report of an engine about its load and its weights.
type State struct {
	Name            string           `json:"name"`
	BootID          string           `json:"boot_id"`
	Model           string           `json:"model"`
	Active          ledger.Version   `json:"active"`
	Loaded          []ledger.Version `json:"loaded"`
	Loading         ledger.Version   `json:"loading,omitempty"`
	LoadFailures    int              `json:"load_failures,omitempty"` // since the start of the process
	Fence           uint64           `json:"fence"`
	Running         int              `json:"running"`
	Queued          int              `json:"queued"`
	Slots           int              `json:"slots"`
	TokensPerSecond float64          `json:"tokens_per_second"`
	Leaving         bool             `json:"leaving,omitempty"`
	AgeMS           int64            `json:"age_ms"`
}

// CacheEvent reports that a prompt prefix was added to the cache or evicted from it.
type CacheEvent struct {
	Seq  uint64 `json:"seq"` // consecutive; a gap means that events were lost
	Hash uint64 `json:"hash,string"`
	Op   string `json:"op"` // add or evict
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"` // sequence number after which the next page begins
}

// PrefixBlockBytes is the length of the prompt blocks that PrefixHashes hashes.
const PrefixBlockBytes = 64

// CancelRequest asks an engine to stop a request.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// KVRequest asks for the KV cache entry of a prompt.
type KVRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
}

// ScoreSample is one sample to score.
type ScoreSample struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// ScoreRequest asks a scoring service for the scores of a group of samples.
type ScoreRequest struct {
	Group   string        `json:"group"`
	Prompt  string        `json:"prompt"`
	Samples []ScoreSample `json:"samples"`
}

// ScoreAnswer holds one score for each sample, in the order of the request.
type ScoreAnswer struct {
	Scores []float64 `json:"scores"`
}
