package bench

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const modelName = "m"
const serviceName = "s"

// server is the row of a backend server: an engine or a plain service.
type server struct {
	name     string
	zone     int
	engine   bool
	slots    int
	down     bool
	refusing bool    // leaving and past its notice
	leaving  bool    // as it reports itself
	speed    float64 // 1 without a fault
	boot     int

	progress float64 // tokens that a sequence running since the boot would have produced
	at       time.Duration
	running  []*sequence
	queue    []*sequence // by priority, then arrival
	wakes    uint64      // number of the newest scheduled completion

	cache        *blockCache
	cacheVisible []uint64 // sequence numbers at the last seconds, oldest first
	active       ledger.Version
	loaded       []ledger.Version
	loading      ledger.Version
	reported     engine.State
	reportedAt   time.Duration
}

// sequence is one attempt of a request at a server.
type sequence struct {
	request  *request
	attempt  int
	begun    float64 // server's progress when it began
	work     float64 // token times, with prefill
	prefill  float64
	produced int // tokens that are labelled
	ranges   []ledger.Range
	priority int
}

func (s *server) rate() float64 {
	if !s.engine {
		return serviceRate * s.speed
	}
	return aloneRate * s.speed / (1 + batchSlowdown*float64(max(len(s.running)-1, 0)))
}

// advance moves the progress to now.
func (w *world) advance(s *server) {
	s.progress += s.rate() * (w.now - s.at).Seconds()
	s.at = w.now
}

// arrive takes a request in, or refuses it.
func (w *world) arrive(s *server, q *sequence) {
	switch {
	case s.down:
		w.reply(s, q, verdict.New(verdict.NotRun, verdict.ReasonConnectFailed, "down"))
	case s.refusing:
		w.reply(s, q, verdict.New(verdict.NotRun, verdict.ReasonBackendLeaving, "leaving"))
	case q.request.ended:
	default:
		at, _ := slices.BinarySearchFunc(s.queue, q.priority, func(other *sequence, p int) int {
			if other.priority >= p {
				return -1
			}
			return 1
		})
		s.queue = slices.Insert(s.queue, at, q)
		w.advance(s)
		w.schedule(s)
	}
}

// schedule starts waiting requests and plans the next completion.
func (w *world) schedule(s *server) {
	for len(s.running) < s.slots && len(s.queue) > 0 {
		q := s.queue[0]
		s.queue = s.queue[1:]
		w.begin(s, q)
	}
	s.wakes++
	next := math.Inf(1)
	for _, q := range s.running {
		next = min(next, q.begun+q.work-s.progress)
	}
	if math.IsInf(next, 1) {
		return
	}
	number := s.wakes
	w.after(time.Duration(math.Ceil(max(next, 0)/s.rate()*1e9)), func() {
		if s.wakes == number {
			w.advance(s)
			w.complete(s)
		}
	})
}

func (w *world) begin(s *server, q *sequence) {
	q.begun = s.progress
	r := q.request
	q.work = float64(r.tokens - r.produced)
	if s.engine {
		hit := s.cache.use(r.query.Hashes)
		w.result.notePrefix(w, hit, len(r.query.Hashes))
		q.prefill = prefillBlock * float64(len(r.query.Hashes)-hit)
		q.work += q.prefill
	}
	if r.query.Training {
		w.result.trained(w)
	}
	s.running = append(s.running, q)
}

const rounding = 1e-6 // tokens

func (w *world) complete(s *server) {
	kept := s.running[:0]
	for _, q := range s.running {
		if q.begun+q.work > s.progress+rounding {
			kept = append(kept, q)
			continue
		}
		s.label(q)
		w.reply(s, q, nil)
	}
	clear(s.running[len(kept):])
	s.running = kept
	w.schedule(s)
}

// label notes the version of the tokens produced since the last call.
func (s *server) label(q *sequence) {
	done := min(int(s.progress-q.begun-q.prefill+rounding), q.request.tokens-q.request.produced)
	if done > q.produced {
		q.ranges = ledger.AppendRange(q.ranges, done-q.produced, s.active)
		q.produced = done
	}
}

// reply sends the end of an attempt back to its host.
func (w *world) reply(s *server, q *sequence, err error) {
	w.after(w.zoneDelay(s.zone, q.request.host.zone), func() { q.request.attemptEnded(q, err) })
}

// remove cancels an attempt.
func (w *world) remove(s *server, q *sequence) {
	w.advance(s)
	s.queue = slices.DeleteFunc(s.queue, func(o *sequence) bool { return o == q })
	s.running = slices.DeleteFunc(s.running, func(o *sequence) bool { return o == q })
	w.schedule(s)
}

// crash breaks everything under way.
func (w *world) crash(s *server) {
	w.advance(s)
	for _, q := range append(slices.Clone(s.running), s.queue...) {
		s.label(q)
		w.reply(s, q, verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "crashed"))
	}
	s.running, s.queue, s.down = nil, nil, true
	w.schedule(s)
}

// restart returns a crashed server with an empty cache and its first version.
func (w *world) restart(s *server) {
	s.down, s.boot, s.cache, s.cacheVisible = false, s.boot+1, newBlockCache(), nil
	s.loaded, s.loading = []ledger.Version{s.active}, 0
	w.report(s)
}

// applyOrder applies a wanted weight state.
func (w *world) applyOrder(s *server, o engine.Order) {
	if o.Preload != 0 && s.loading == 0 && !slices.Contains(s.loaded, o.Preload) {
		s.loading = o.Preload
		boot := s.boot
		w.after(weightLoad, func() {
			if s.boot == boot && !s.down {
				s.loaded, s.loading = append(s.loaded, o.Preload), 0
			}
		})
	}
	if o.Active != 0 && o.Active != s.active && slices.Contains(s.loaded, o.Active) {
		w.advance(s)
		for _, q := range s.running {
			s.label(q)
		}
		s.active = o.Active
	}
}

// report renews the load report that hosts read.
func (w *world) report(s *server) {
	s.reportedAt = w.now
	s.reported = engine.State{
		Name: s.name, BootID: strconv.Itoa(s.boot), Active: s.active, Loaded: slices.Clone(s.loaded), Loading: s.loading,
		Running: len(s.running), Queued: len(s.queue), Slots: s.slots, Leaving: s.leaving,
	}
	if s.engine {
		s.reported.Model = modelName
		s.reported.TokensPerSecond = s.rate() * float64(max(len(s.running), 1))
	}
	s.cacheVisible = append(s.cacheVisible, s.cache.seq)
	if n := int(cacheLateness / reportPeriod); len(s.cacheVisible) > n {
		s.cacheVisible = s.cacheVisible[1:]
	}
}

func (s *server) listed() tablestore.ListedHost {
	h := tablestore.ListedHost{Name: s.name, Kind: "service", Model: serviceName, Address: s.name, Zone: zoneName(s.zone), State: tablestore.StateLive}
	if s.engine {
		h.Kind, h.Model = "engine", modelName
	}
	return h
}

func zoneName(zone int) string { return string(rune('a' + zone)) }
