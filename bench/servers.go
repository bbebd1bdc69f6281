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
	name      string
	zone      int
	engine    bool
	slots     int
	down      bool
	refusing  bool    // leaving, and departureNotice has passed
	leaving   bool    // as the server reports
	speed     float64 // factor; 1 without a fault
	bootCount int     // number of restarts

	progress   float64       // tokens that a sequence running since the start would have produced
	progressAt time.Duration // time at which progress was computed
	running    []*sequence
	queue      []*sequence // by priority, then by arrival
	generation uint64      // number of the newest scheduled completion; older ones are ignored

	cache        *blockCache
	cacheVisible []uint64 // sequence number of the newest cache event at each report within cacheEventDelay, oldest first
	active       ledger.Version
	loaded       []ledger.Version
	loading      ledger.Version
	reported     engine.State
	reportedAt   time.Duration
}

// sequence is one attempt of a request at a server.
type sequence struct {
	request       *request
	attempt       int
	startProgress float64 // progress of the server when the sequence started
	work          float64 // in times of a token, including prefill
	prefill       float64 // in times of a token
	produced      int     // tokens that are labelled
	ranges        []ledger.Range
	priority      int
}

// rate returns the tokens or work units per second of each running sequence.
func (s *server) rate() float64 {
	if !s.engine {
		return serviceRate * s.speed
	}
	return singleSequenceRate * s.speed / (1 + batchSlowdownRatio*float64(max(len(s.running)-1, 0)))
}

// advance updates the progress of a server to the current time.
func (sim *simulation) advance(s *server) {
	s.progress += s.rate() * (sim.now - s.progressAt).Seconds()
	s.progressAt = sim.now
}

// arrive queues an attempt at a server, or refuses it.
func (sim *simulation) arrive(s *server, q *sequence) {
	switch {
	case s.down:
		sim.reply(s, q, verdict.New(verdict.NotRun, verdict.ReasonConnectFailed, "server is down"))
	case s.refusing:
		sim.reply(s, q, verdict.New(verdict.NotRun, verdict.ReasonBackendLeaving, "server is leaving"))
	case q.request.ended:
	default:
		at, _ := slices.BinarySearchFunc(s.queue, q.priority, func(other *sequence, p int) int {
			if other.priority >= p {
				return -1
			}
			return 1
		})
		s.queue = slices.Insert(s.queue, at, q)
		sim.advance(s)
		sim.schedule(s)
	}
}

// schedule starts queued sequences in free slots and schedules the time at which the
// next running sequence ends.
func (sim *simulation) schedule(s *server) {
	for len(s.running) < s.slots && len(s.queue) > 0 {
		q := s.queue[0]
		s.queue = s.queue[1:]
		sim.begin(s, q)
	}
	s.generation++
	next := math.Inf(1)
	for _, q := range s.running {
		next = min(next, q.startProgress+q.work-s.progress)
	}
	if math.IsInf(next, 1) {
		return
	}
	generation := s.generation
	sim.after(time.Duration(math.Ceil(max(next, 0)/s.rate()*1e9)), func() {
		if s.generation == generation {
			sim.advance(s)
			sim.complete(s)
		}
	})
}

// begin starts a sequence in a slot.
func (sim *simulation) begin(s *server, q *sequence) {
	q.startProgress = s.progress
	r := q.request
	q.work = float64(r.tokens - r.produced)
	if s.engine {
		hit := s.cache.use(r.query.Hashes)
		sim.result.recordPrefix(sim, hit, len(r.query.Hashes))
		q.prefill = prefillBlockCost * float64(len(r.query.Hashes)-hit)
		q.work += q.prefill
	}
	if r.query.Training {
		sim.result.recordTrainingStart(sim)
	}
	s.running = append(s.running, q)
}

// tokenTolerance is the tolerance, in tokens, for rounding errors of the progress.
const tokenTolerance = 1e-6

// complete ends the sequences whose work is done.
func (sim *simulation) complete(s *server) {
	kept := s.running[:0]
	for _, q := range s.running {
		if q.startProgress+q.work > s.progress+tokenTolerance {
			kept = append(kept, q)
			continue
		}
		s.label(q)
		sim.reply(s, q, nil)
	}
	clear(s.running[len(kept):])
	s.running = kept
	sim.schedule(s)
}

// label records the weight version of the tokens that a sequence has produced since
// the last call.
func (s *server) label(q *sequence) {
	done := min(int(s.progress-q.startProgress-q.prefill+tokenTolerance), q.request.tokens-q.request.produced)
	if done > q.produced {
		q.ranges = ledger.AppendRange(q.ranges, done-q.produced, s.active)
		q.produced = done
	}
}

// reply reports the end of an attempt to its entry host.
func (sim *simulation) reply(s *server, q *sequence, err error) {
	sim.after(sim.zoneDelay(s.zone, q.request.host.zone), func() { q.request.attemptEnded(q, err) })
}

// remove cancels an attempt.
func (sim *simulation) remove(s *server, q *sequence) {
	sim.advance(s)
	s.queue = slices.DeleteFunc(s.queue, func(o *sequence) bool { return o == q })
	s.running = slices.DeleteFunc(s.running, func(o *sequence) bool { return o == q })
	sim.schedule(s)
}

// crash stops a server and aborts all its attempts.
func (sim *simulation) crash(s *server) {
	sim.advance(s)
	for _, q := range append(slices.Clone(s.running), s.queue...) {
		s.label(q)
		sim.reply(s, q, verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "server crashed"))
	}
	s.running, s.queue, s.down = nil, nil, true
	sim.schedule(s)
}

// restart starts a crashed server again, with an empty cache and only the version
// that was active.
func (sim *simulation) restart(s *server) {
	s.down, s.bootCount, s.cache, s.cacheVisible = false, s.bootCount+1, newBlockCache(), nil
	s.loaded, s.loading = []ledger.Version{s.active}, 0
	sim.report(s)
}

// applyOrder lets a server preload and activate the weight versions of an order.
func (sim *simulation) applyOrder(s *server, o engine.Order) {
	if o.Preload != 0 && s.loading == 0 && !slices.Contains(s.loaded, o.Preload) {
		s.loading = o.Preload
		boot := s.bootCount
		sim.after(weightLoadDuration, func() {
			if s.bootCount == boot && !s.down {
				s.loaded, s.loading = append(s.loaded, o.Preload), 0
			}
		})
	}
	if o.Active != 0 && o.Active != s.active && slices.Contains(s.loaded, o.Active) {
		sim.advance(s)
		for _, q := range s.running {
			s.label(q)
		}
		s.active = o.Active
	}
}

// report renews the state report that entry hosts and the controller read.
func (sim *simulation) report(s *server) {
	s.reportedAt = sim.now
	s.reported = engine.State{
		Name: s.name, BootID: strconv.Itoa(s.bootCount), Active: s.active, Loaded: slices.Clone(s.loaded), Loading: s.loading,
		Running: len(s.running), Queued: len(s.queue), Slots: s.slots, Leaving: s.leaving,
	}
	if s.engine {
		s.reported.Model = modelName
		s.reported.TokensPerSecond = s.rate() * float64(max(len(s.running), 1))
	}
	s.cacheVisible = append(s.cacheVisible, s.cache.seq)
	if n := int(cacheEventDelay / reportInterval); len(s.cacheVisible) > n {
		s.cacheVisible = s.cacheVisible[1:]
	}
}

// listed returns the server's entry in the host list.
func (s *server) listed() tablestore.ListedHost {
	h := tablestore.ListedHost{Name: s.name, Kind: "service", Model: serviceName, Address: s.name, Zone: zoneName(s.zone), State: tablestore.StateLive}
	if s.engine {
		h.Kind, h.Model = "engine", modelName
	}
	return h
}

func zoneName(zone int) string { return string(rune('a' + zone)) }
