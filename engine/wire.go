// Package engine holds the messages of model engines and a typed client. All
// durations on the wire are in milliseconds, as the field names say.
package engine

import "github.com/lavenderstand/lavenderstand/ledger"

// GenerateRequest asks for one completion as a stream of chunks.
type GenerateRequest struct {
	RequestID    string         `json:"request_id"`
	Model        string         `json:"model"`
	Prompt       string         `json:"prompt"`
	MaxTokens    int            `json:"max_tokens"`
	Priority     int            `json:"priority"`                // higher runs first
	PrefixTokens []int          `json:"prefix_tokens,omitempty"` // already produced, on resume
	OnlyVersion  ledger.Version `json:"only_version,omitempty"`
	DeadlineMS   int64          `json:"deadline_ms,omitempty"` // time left
}

// Chunk is a part of a completion.
type Chunk struct {
	RequestID    string         `json:"request_id"`
	BootID       string         `json:"boot_id"` // changes with each engine start
	Offset       int            `json:"offset"`  // of the first token in the whole completion
	Tokens       []int          `json:"tokens"`
	Text         string         `json:"text"`
	Version      ledger.Version `json:"version"`
	Done         bool           `json:"done,omitempty"`
	FinishReason string         `json:"finish_reason,omitempty"` // with Done: stop or length
}

// Refusal is the body of a 503 that was sent before the request ran.
type Refusal struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}

// ReasonLeaving is the refusal reason of an engine that is leaving.
const ReasonLeaving = "leaving"

// Order is an order: the weight state that the engine shall reach.
type Order struct {
	Fence      uint64         `json:"fence"`
	OrderID    string         `json:"order_id"`
	Model      string         `json:"model"`
	Preload    ledger.Version `json:"preload,omitempty"`
	Active     ledger.Version `json:"active,omitempty"`
	Role       string         `json:"role,omitempty"`
	DeadlineMS int64          `json:"deadline_ms"` // engine ignores the order if it starts later
	IssuedBy   string         `json:"issued_by"`
}

// State is the load and weight report of an engine.
type State struct {
	Name            string           `json:"name"`
	BootID          string           `json:"boot_id"`
	Model           string           `json:"model"`
	Active          ledger.Version   `json:"active"`
	Loaded          []ledger.Version `json:"loaded"`
	Loading         ledger.Version   `json:"loading,omitempty"`
	LoadFailures    int              `json:"load_failures,omitempty"` // since boot
	Fence           uint64           `json:"fence"`
	Running         int              `json:"running"`
	Queued          int              `json:"queued"`
	Slots           int              `json:"slots"`
	TokensPerSecond float64          `json:"tokens_per_second"`
	Leaving         bool             `json:"leaving,omitempty"`
	AgeMS           int64            `json:"age_ms"`
}

// CacheEvent says that a prompt prefix entered or left the cache.
type CacheEvent struct {
	Seq  uint64 `json:"seq"` // gaps mean lost events
	Hash uint64 `json:"hash,string"`
	Op   string `json:"op"` // add or evict
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// PrefixBlockBytes is the length of the prompt blocks whose hashes are chained.
const PrefixBlockBytes = 64

// CancelRequest stops a request.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// KVRequest names the KV cache entry of a prompt.
type KVRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
}

// ScoreSample is one text to score.
type ScoreSample struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// ScoreRequest asks a scoring service for the scores of a group.
type ScoreRequest struct {
	Group   string        `json:"group"`
	Prompt  string        `json:"prompt"`
	Samples []ScoreSample `json:"samples"`
}

// ScoreAnswer holds one score per sample, in the order of the request.
type ScoreAnswer struct {
	Scores []float64 `json:"scores"`
}
