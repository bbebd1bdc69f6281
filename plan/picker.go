package plan

import (
	"math"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// Weights of the LeastCorrected policy. The unit is the capacity of a server: a load of
// 1 fills all its slots.
const (
	// zonePenalty is added to the score of a server in another zone. At a quarter
	// of a server's slots, a request leaves its zone only if the servers there
	// are clearly more loaded.
	zonePenalty = 0.25
	// prefixCredit is subtracted from the score of a server that has cached the
	// whole prompt, and a proportional part if it has cached a prefix.
	prefixCredit = 0.5
	// unknownLoad is the load assumed for a server without a recent report. It
	// ranks the server behind servers that are known to have free slots.
	unknownLoad = 1.0
)

// Query holds the requirements of one request for a pick.
type Query struct {
	Zone          string
	Hashes        []uint64       // hashes of the prompt's prefixes, shortest prefix first
	Tried         []string       // names of the backends that the request has already been sent to
	Random        uint64         // random bits for the routing policy
	OnlyVersion   ledger.Version // 0 accepts any version
	MinVersion    ledger.Version // 0 accepts any version
	Training      bool           // the request generates a training sample
	TrainingShare float64        // share of engine slots that training may use, 0 to 1
}

// Pick returns a backend chosen by the plan's routing policy, or nil if no backend is
// eligible. It does not allocate.
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

// pickRoundRobin returns the eligible backends of the pool in turn.
func (p *Plan) pickRoundRobin(pool *Pool, q *Query) *Backend {
	return p.firstEligible(pool, q, pool.Next.Add(1), nil)
}

// pickLeastReported returns the eligible backend with the lowest reported load per
// slot. The search starts at a random backend, which breaks ties.
func (p *Plan) pickLeastReported(pool *Pool, q *Query) *Backend {
	var best *Backend
	lowest, slots := 1, 0 // the lowest load as a fraction; 1/0 exceeds every load
	n := len(pool.Backends)
	for i, index := 0, startIndex(q.Random, n); i < n; i, index = i+1, nextIndex(index, n) {
		b := &pool.Backends[index]
		load, size := b.Report.Running+b.Report.Queued, max(b.Report.Slots, 1)
		if load*slots < lowest*size && p.eligible(b, q) {
			best, lowest, slots = b, load, size
		}
	}
	return best
}

// pickCorrected draws two random eligible backends and returns the one with the lower
// score.
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

// firstEligible returns the first eligible backend other than except. The search starts
// at position, modulo the size of the pool, and wraps around.
func (p *Plan) firstEligible(pool *Pool, q *Query, position uint64, except *Backend) *Backend {
	n := len(pool.Backends)
	for i, index := 0, startIndex(position, n); i < n; i, index = i+1, nextIndex(index, n) {
		if b := &pool.Backends[index]; b != except && p.eligible(b, q) {
			return b
		}
	}
	return nil
}

// startIndex returns position modulo n, or 0 if n is 0.
func startIndex(position uint64, n int) int {
	if n == 0 {
		return 0
	}
	return int(position % uint64(n))
}

// nextIndex returns the index after the given one in a ring of n.
func nextIndex(index, n int) int {
	if index++; index == n {
		return 0
	}
	return index
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

// trainingLimit returns the number of training requests that this host may have in
// flight at b, which is its part of the share. RoundingOffset rounds the fraction up on
// some hosts and down on others, so that the limits of all hosts add up to the share.
func (p *Plan) trainingLimit(b *Backend, share float64) int64 {
	return int64(share*b.slots()/b.slowdown()/float64(max(p.Hosts, 1)) + b.RoundingOffset)
}

func (b *Backend) slowdown() float64 { return max(b.SlowdownRatio, 1) }

func (b *Backend) slots() float64 { return float64(max(b.Report.Slots, 1)) }

// Load estimates the number of requests at the backend. To the reported number it adds
// the requests that this host has sent since the report, times the number of hosts,
// because every host acts on the same report. For a backend without a recent report, it
// assumes unknownLoad and adds this host's requests in flight, times the number of hosts.
func (p *Plan) Load(b *Backend) float64 {
	sentSinceReport := float64(b.Counters.Sent.Load() - b.SentAtReport)
	if b.Stale {
		return unknownLoad*b.slots() + float64(b.Counters.InFlight()*max(p.Hosts, 1))
	}
	return float64(b.Report.Running+b.Report.Queued) + sentSinceReport*float64(max(p.Hosts, 1))
}

// score returns the rank of b for the request. The backend with the lower score is
// preferred.
func (p *Plan) score(b *Backend, q *Query) float64 {
	// A slow server takes longer even if it has free slots, so its slowdown
	// counts even without load.
	score := p.Load(b)/b.slots()*b.slowdown() + b.slowdown() - 1
	if b.Zone != q.Zone {
		score += zonePenalty
	}
	if len(q.Hashes) > 0 {
		score -= prefixCredit * float64(b.cachedBlocks(q.Hashes)) / float64(len(q.Hashes))
	}
	return score
}

// cachedBlocks returns the number of leading prompt blocks that are probably cached. It
// uses binary search, because a cached prefix implies that all shorter prefixes are
// cached.
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

// Begin counts a request to the picked backend as sent. It returns false, and counts
// nothing, if another request has taken the probe or the last training slot since the
// pick.
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

// End counts a request that Begin counted as done.
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
