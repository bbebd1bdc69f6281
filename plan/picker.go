package plan

import (
	"math"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// Weights of the corrected policy, in units of a server's whole capacity.
const (
	// zonePenalty is a quarter of a server's slots: a request leaves its zone
	// only when the servers there are clearly more loaded.
	zonePenalty = 0.25
	// prefixCredit is granted for a prompt that is cached completely.
	prefixCredit = 0.5
	// unknownLoad is assumed for a server without a recent report, so that it
	// ranks behind servers that are known to have room.
	unknownLoad = 1.0
)

// Query states what a pick has to consider.
type Query struct {
	Zone          string
	Hashes        []uint64       // prefix hashes of the prompt, shortest first
	Tried         []string       // backends that the request already used
	Random        uint64         // random bits of the policy
	OnlyVersion   ledger.Version // 0 accepts any version
	MinVersion    ledger.Version // 0 accepts any version
	Training      bool
	TrainingShare float64 // of engine slots, for training
}

// Pick returns a backend by the plan's policy, nil if none may take the
// request. It allocates nothing.
func (p *Plan) Pick(pool *Pool, q *Query) *Backend {
	switch p.Routing {
	case RoundRobin:
		return p.pickRoundRobin(pool, q)
	case LeastReported:
		return p.pickLeastReported(pool, q)
	default:
		return p.pickCorrected(pool, q)
	}
}

// pickRoundRobin returns the pool's eligible backends in turn.
func (p *Plan) pickRoundRobin(pool *Pool, q *Query) *Backend {
	return p.firstEligible(pool, q, pool.Next.Add(1), nil)
}

// pickLeastReported returns the eligible backend with the lowest report; a
// random start breaks ties.
func (p *Plan) pickLeastReported(pool *Pool, q *Query) *Backend {
	var best *Backend
	lowest, slots := 1, 0 // as a fraction; 1/0 is above every load
	n := len(pool.Backends)
	for i, at := 0, startIndex(q.Random, n); i < n; i, at = i+1, nextIndex(at, n) {
		b := &pool.Backends[at]
		load, size := b.Report.Running+b.Report.Queued, max(b.Report.Slots, 1)
		if load*slots < lowest*size && p.eligible(b, q) {
			best, lowest, slots = b, load, size
		}
	}
	return best
}

// pickCorrected compares two random eligible backends by estimated load.
func (p *Plan) pickCorrected(pool *Pool, q *Query) *Backend {
	first := p.firstEligible(pool, q, q.Random>>32, nil)
	if first == nil {
		return nil
	}
	second := p.firstEligible(pool, q, q.Random&math.MaxUint32, first)
	if second != nil && p.score(second, q) < p.score(first, q) {
		return second
	}
	return first
}

// firstEligible returns the first eligible backend at or after a position.
func (p *Plan) firstEligible(pool *Pool, q *Query, position uint64, except *Backend) *Backend {
	n := len(pool.Backends)
	for i, at := 0, startIndex(position, n); i < n; i, at = i+1, nextIndex(at, n) {
		if b := &pool.Backends[at]; b != except && p.eligible(b, q) {
			return b
		}
	}
	return nil
}

func startIndex(position uint64, n int) int {
	if n == 0 {
		return 0
	}
	return int(position % uint64(n))
}

func nextIndex(at, n int) int {
	if at++; at == n {
		return 0
	}
	return at
}

func (p *Plan) eligible(b *Backend, q *Query) bool {
	for _, name := range q.Tried {
		if name == b.Name {
			return false
		}
	}
	if q.OnlyVersion != 0 && b.Version != q.OnlyVersion || b.Version < q.MinVersion {
		return false
	}
	if b.Probe && b.Counters.probing.Load() {
		return false
	}
	return !q.Training || b.Counters.TrainingInFlight.Load() < p.trainingLimit(b, q.TrainingShare)
}

// trainingLimit is this host's part of the share. RoundingOffset rounds the fraction up
// on some hosts and down on others, so that the hosts' sum meets the share.
func (p *Plan) trainingLimit(b *Backend, share float64) int64 {
	return int64(share*b.slots()/b.slowdown()/float64(max(p.Hosts, 1)) + b.RoundingOffset)
}

func (b *Backend) slowdown() float64 { return max(b.SlowdownRatio, 1) }

func (b *Backend) slots() float64 { return float64(max(b.Report.Slots, 1)) }

// Load estimates the requests at the backend: the report corrected by this
// host's requests since, times the hosts that act on the same report.
func (p *Plan) Load(b *Backend) float64 {
	since := float64(b.Counters.Sent.Load() - b.SentAtReport)
	if b.Stale {
		return unknownLoad*b.slots() + float64(b.Counters.InFlight()*max(p.Hosts, 1))
	}
	return float64(b.Report.Running+b.Report.Queued) + since*float64(max(p.Hosts, 1))
}

func (p *Plan) score(b *Backend, q *Query) float64 {
	// A slow server with room still takes longer, so its slowness counts even
	// without load.
	score := p.Load(b)/b.slots()*b.slowdown() + b.slowdown() - 1
	if b.Zone != q.Zone {
		score += zonePenalty
	}
	if len(q.Hashes) > 0 {
		score -= prefixCredit * float64(b.cachedBlocks(q.Hashes)) / float64(len(q.Hashes))
	}
	return score
}

// cachedBlocks returns the number of leading prompt blocks believed cached, by
// bisection because a cached prefix implies its shorter ones.
func (b *Backend) cachedBlocks(hashes []uint64) int {
	low, high := 0, len(hashes)
	for low < high {
		mid := (low + high) / 2
		if b.Prefixes.Has(hashes[mid]) {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// Begin counts a request to the picked backend. It returns false if another
// request took the last probe or training place since the pick.
func (p *Plan) Begin(b *Backend, q *Query) bool {
	if b.Probe && !b.Counters.probing.CompareAndSwap(false, true) {
		return false
	}
	if q.Training && b.Counters.TrainingInFlight.Add(1) > p.trainingLimit(b, q.TrainingShare) {
		b.Counters.TrainingInFlight.Add(-1)
		b.endProbe()
		return false
	}
	b.Counters.Sent.Add(1)
	return true
}

// End counts the end of a request that Begin counted.
func (p *Plan) End(b *Backend, q *Query) {
	if q.Training {
		b.Counters.TrainingInFlight.Add(-1)
	}
	b.endProbe()
	b.Counters.Done.Add(1)
}

func (b *Backend) endProbe() {
	if b.Probe {
		b.Counters.probing.Store(false)
	}
}
