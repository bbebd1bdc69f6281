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
	engineTickInterval     = 10 * time.Millisecond  // while completions run or weights load
	engineIdleTickInterval = 100 * time.Millisecond // otherwise
	engineInboxSize        = 1024                   // functions that may wait for the table owner
)

// EngineOptions configure an Engine. Zero values are replaced by defaults.
type EngineOptions struct {
	Name                  string
	Model                 string
	Seed                  uint64
	Version               ledger.Version // weight version active at start, 0 for none
	Slots                 int            // completions that run concurrently
	QueueLimit            int            // completions that may wait for a slot
	TokensPerSecond       float64        // per slot
	ChunkTokens           int            // tokens of one chunk
	PrefillBytesPerSecond float64        // speed of processing uncached prompt bytes
	CacheBlocks           int            // capacity of the prefix cache
	MaxReportAge          time.Duration  // age at which the state report is renewed
	EventDelay            time.Duration  // delay before a cache event becomes visible
	EventLossShare        float64        // share of cache events that are lost, 0 to 1
	ChecksFence           bool           // reject orders whose fencing token is lower than the highest accepted one
	IssuerToken           string         // bearer token that orders must carry, if set
	WeightStoreURL        string         // base URL; if empty, a load takes LoadDuration
	LoadDuration          time.Duration  // of a load without a weight store
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

// newBootID returns a random ID that identifies one start of a process.
func newBootID() string { return rand.Text() }

// setDefault sets a field to value if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is a fake model engine with continuous batching. One goroutine owns
// its tables and runs its systems on each tick; the goroutines of requests send
// it functions to run.
type Engine struct {
	options EngineOptions
	bootID  string
	inbox   chan func(*engineTables)
	done    chan struct{} // closed when Run ends
	start   time.Time
	client  *http.Client
}

// NewEngine returns an engine. It serves requests while Run runs.
func NewEngine(o EngineOptions) *Engine {
	o.setDefaults()
	return &Engine{
		options: o, bootID: newBootID(), start: time.Now(),
		inbox:  make(chan func(*engineTables), engineInboxSize),
		done:   make(chan struct{}),
		client: &http.Client{},
	}
}

// Run runs the engine until ctx ends. Its goroutine owns the engine's tables.
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
				timer.Reset(0) // start the completion now, not at the next idle tick
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

// do runs fn on the goroutine that owns the tables and waits until fn returns.
// It returns false if ctx or the engine ends first.
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
