package standin

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/ledger"
)

// sequence is the row of a completion that waits for a slot or occupies one.
type sequence struct {
	runID         string
	request       engine.GenerateRequest
	arrival       uint64        // position in the order of arrival
	totalTokens   int           // tokens of the whole completion, including the prefix
	lengthLimited bool          // the completion ends because of max_tokens
	produced      int           // tokens so far, including the prefix
	running       bool          // occupies a slot
	readyAt       time.Duration // end of prefill
	credit        float64       // tokens that may be produced now
	deadline      time.Duration // zero if there is none
	// chunks has room for all chunks of the completion, so that the owner of the
	// tables never blocks on a send.
	chunks chan engine.Chunk
	ended  bool
}

// engineTables holds the state of an engine.
type engineTables struct {
	ctx       context.Context
	random    *rand.Rand
	lastTick  time.Duration // time of the last tick
	arrivals  uint64        // completions accepted so far
	sequences []*sequence
	cache     *prefixCache

	active        ledger.Version
	loaded        []ledger.Version
	loading       ledger.Version
	cancelLoad    context.CancelFunc
	loadFailures  int
	failedOrderID string       // order whose load failed; only an order with another ID is tried again
	fence         uint64       // highest fencing token of an accepted order
	order         engine.Order // newest accepted order

	faults     EngineFaults
	report     engine.State
	reportedAt time.Duration
	hasReport  bool
}

// running returns the number of occupied slots.
func (t *engineTables) running() int {
	count := 0
	for _, s := range t.sequences {
		if s.running {
			count++
		}
	}
	return count
}

// find returns the completion with a request ID, or nil.
func (t *engineTables) find(requestID string) *sequence {
	for _, s := range t.sequences {
		if s.request.RequestID == requestID {
			return s
		}
	}
	return nil
}
