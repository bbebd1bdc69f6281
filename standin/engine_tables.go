package standin

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/ledger"
)

// sequence is a completion that waits for a slot or occupies one.
type sequence struct {
	runID         string
	request       engine.GenerateRequest
	arrival       uint64
	totalTokens   int // tokens of the whole completion
	lengthLimited bool
	produced      int // tokens so far, prefix included
	running       bool
	readyAt       time.Duration // end of prefill
	credit        float64       // tokens that may be produced now
	deadline      time.Duration // zero if none
	// chunks has room for every chunk, so that the owner of the tables never waits.
	chunks chan engine.Chunk
	ended  bool
}

// engineTables is the state of an engine.
type engineTables struct {
	ctx       context.Context
	random    *rand.Rand
	lastTick  time.Duration // time of the last tick
	arrivals  uint64
	sequences []*sequence
	cache     *prefixCache

	active        ledger.Version
	loaded        []ledger.Version
	loading       ledger.Version
	cancelLoad    context.CancelFunc
	loadFailures  int
	failedOrderID string // order whose load failed; a new order id tries again
	fence         uint64
	order         engine.Order

	faults     EngineFaults
	report     engine.State
	reportedAt time.Duration
	hasReport  bool
}

func (t *engineTables) running() int {
	count := 0
	for _, s := range t.sequences {
		if s.running {
			count++
		}
	}
	return count
}

func (t *engineTables) find(requestID string) *sequence {
	for _, s := range t.sequences {
		if s.request.RequestID == requestID {
			return s
		}
	}
	return nil
}
