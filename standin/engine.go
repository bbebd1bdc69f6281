package standin

import (
	"context"
	"crypto/rand"
	mrand "math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
)

const (
	engineTickInterval     = 10 * time.Millisecond  // while a completion runs
	engineIdleTickInterval = 100 * time.Millisecond // otherwise
	engineInboxSize        = 1024                   // functions that may wait
)

// EngineOptions configure a model engine. Zero values get defaults.
type EngineOptions struct {
	Name                  string
	Model                 string
	Seed                  uint64
	Version               ledger.Version // active at start, 0 for none
	Slots                 int
	QueueLimit            int
	TokensPerSecond       float64 // per slot
	ChunkTokens           int
	PrefillBytesPerSecond float64 // prompt bytes per second that are not cached
	CacheBlocks           int
	MaxReportAge          time.Duration // age that a report reaches before renewal
	EventDelay            time.Duration // delay of cache events
	EventLossShare        float64       // share of cache events that are lost
	ChecksFence           bool
	IssuerToken           string // if set, orders must carry it
	WeightStoreURL        string // base URL; if empty a load takes LoadTime
	LoadDuration          time.Duration
	Journal               *Journal
	Exit                  func(code int) // called by the crash fault
}

func (o *EngineOptions) setDefaults() {
	setDefault(&o.Slots, 8)
	setDefault(&o.QueueLimit, 256)
	setDefault(&o.TokensPerSecond, 200)
	setDefault(&o.ChunkTokens, 8)
	setDefault(&o.PrefillBytesPerSecond, 200_000)
	setDefault(&o.CacheBlocks, 1024)
	setDefault(&o.MaxReportAge, 250*time.Millisecond)
	setDefault(&o.EventDelay, 200*time.Millisecond)
	setDefault(&o.LoadDuration, 200*time.Millisecond)
	if o.Journal == nil {
		o.Journal = new(Journal)
	}
	setExit(&o.Exit)
}

func setExit(exit *func(int)) {
	if *exit == nil {
		*exit = os.Exit
	}
}

// newBootID returns an id that differs with each start of a process.
func newBootID() string { return rand.Text() }

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is a model engine with continuous batching. One goroutine owns its
// tables and runs its systems each tick; request goroutines send it functions.
type Engine struct {
	options EngineOptions
	bootID  string
	inbox   chan func(*engineTables)
	done    chan struct{} // closed when Run ends
	start   time.Time
	client  *http.Client
}

// NewEngine returns an engine that works while Run does.
func NewEngine(o EngineOptions) *Engine {
	o.setDefaults()
	return &Engine{
		options: o, bootID: newBootID(), start: time.Now(),
		inbox:  make(chan func(*engineTables), engineInboxSize),
		done:   make(chan struct{}),
		client: &http.Client{},
	}
}

// Run owns the engine's tables until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	defer close(e.done)
	t := e.newTables(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fn := <-e.inbox:
			idle := len(t.sequences) == 0
			if fn(t); idle && len(t.sequences) > 0 {
				timer.Reset(0) // not only at the next idle tick
			}
			continue
		case <-timer.C:
		}
		now := time.Since(e.start)
		for _, system := range engineSystems {
			system(e, now, t)
		}
		t.lastTick = now
		timer.Reset(nextTickDelay(t))
	}
}

func nextTickDelay(t *engineTables) time.Duration {
	if len(t.sequences) > 0 || t.loading != 0 {
		return engineTickInterval
	}
	return engineIdleTickInterval
}

// do runs fn on the goroutine that owns the tables and waits for it. It
// returns false if ctx or the engine ends first.
func (e *Engine) do(ctx context.Context, fn func(*engineTables)) bool {
	done := make(chan struct{})
	wrapped := func(t *engineTables) { fn(t); close(done) }
	select {
	case e.inbox <- wrapped:
	case <-ctx.Done():
		return false
	case <-e.done:
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-e.done:
		return false
	}
}

func (e *Engine) newTables(ctx context.Context) *engineTables {
	t := &engineTables{
		ctx:    ctx,
		random: newRandom(e.options.Seed),
		cache:  newPrefixCache(e.options.CacheBlocks),
		active: e.options.Version,
	}
	if t.active != 0 {
		t.loaded = []ledger.Version{t.active}
	}
	return t
}

func newRandom(seed uint64) *mrand.Rand { return mrand.New(mrand.NewPCG(seed, seed)) }
