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
	run      string
	request  engine.GenerateRequest
	arrival  uint64
	total    int // tokens of the whole completion
	limited  bool
	produced int // tokens so far, prefix included
	running  bool
	readyAt  time.Duration // end of prefill
	credit   float64       // tokens that may be produced now
	deadline time.Duration // zero if none
	// out has room for every chunk, so that the owner of the tables never waits.
	out   chan engine.Chunk
	ended bool
}

// engineTables is the state of an engine.
type engineTables struct {
	ctx       context.Context
	random    *rand.Rand
	ticked    time.Duration // time of the last tick
	arrivals  uint64
	sequences []*sequence
	cache     *prefixCache

	active       ledger.Version
	loaded       []ledger.Version
	loading      ledger.Version
	cancelLoad   context.CancelFunc
	loadFailures int
	failedOrder  string // order whose load failed; a new order id tries again
	fence        uint64
	wanted       engine.Order

	faults   EngineFaults
	report   engine.State
	reported time.Duration
	hasState bool
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
