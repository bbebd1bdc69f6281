package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// PlatformFaults are the faults of a platform service. The zero value has no
// faults.
type PlatformFaults struct {
	// Down rejects every request with 503 and verdict not_run.
	Down bool `json:"down"`
	// SlowMS delays each request by this time plus a random time of up to JitterMS.
	SlowMS   int64 `json:"slow_ms"`
	JitterMS int64 `json:"jitter_ms"`
	// LoseAnswers is the number of next writes that take effect, but whose
	// connection is closed without a response.
	LoseAnswers int `json:"lose_answers"`
	// LoseAnswerShare is the probability that a write takes effect, but its
	// connection is closed without a response.
	LoseAnswerShare float64 `json:"lose_answer_share"`
	// LoseRequests is the number of next writes that take no effect and whose
	// connection is closed without a response.
	LoseRequests int `json:"lose_requests"`
	// LateWrites is the number of next writes whose connection is closed
	// immediately and that are applied LateMS later, if their conditions still
	// hold.
	LateWrites int   `json:"late_writes"`
	LateMS     int64 `json:"late_ms"`
	// RejectShare is the probability that a request is rejected with 429.
	RejectShare float64 `json:"reject_rate"`
}

// faultKind is the fault that applies to one request.
type faultKind uint8

const (
	faultNone faultKind = iota
	faultDown
	faultRejected
	faultAnswerLost
	faultRequestLost
	faultLate
)

// faultDecision describes the faults of one request.
type faultDecision struct {
	kind  faultKind
	delay time.Duration // before the request is handled
	late  time.Duration // time after which a late write is applied
}

// PlatformInjector decides which faults apply to each request. Its random numbers
// are seeded, so that a sequence of faults can be repeated.
type PlatformInjector struct {
	mu     sync.Mutex
	random *rand.Rand
	faults PlatformFaults
	counts PlatformFaultCounts
}

// PlatformFaultCounts counts the faults that were injected.
type PlatformFaultCounts struct {
	Down         int `json:"down"`
	Rejected     int `json:"rejected"`
	AnswersLost  int `json:"answers_lost"`
	RequestsLost int `json:"requests_lost"`
	LateWrites   int `json:"late_writes"`
}

// NewPlatformInjector returns an injector without faults.
func NewPlatformInjector(seed uint64) *PlatformInjector {
	return &PlatformInjector{random: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the faults. A seed other than 0 reseeds the random number generator.
func (i *PlatformInjector) Set(f PlatformFaults, seed uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	if seed != 0 {
		i.random = rand.New(rand.NewPCG(seed, seed))
	}
}

// Faults returns the current faults and the counts so far.
func (i *PlatformInjector) Faults() (PlatformFaults, PlatformFaultCounts) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.counts
}

// decide returns the faults of the next request.
func (i *PlatformInjector) decide(write bool) faultDecision {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := &i.faults
	d := faultDecision{delay: time.Duration(f.SlowMS) * time.Millisecond}
	if f.JitterMS > 0 {
		d.delay += time.Duration(i.random.Int64N(f.JitterMS*int64(time.Millisecond) + 1))
	}
	switch {
	case f.Down:
		i.counts.Down++
		d.kind = faultDown
	case f.RejectShare > 0 && i.random.Float64() < f.RejectShare:
		i.counts.Rejected++
		d.kind = faultRejected
	case write:
		d.kind, d.late = i.decideWrite(), time.Duration(f.LateMS)*time.Millisecond
	}
	return d
}

func (i *PlatformInjector) decideWrite() faultKind {
	f := &i.faults
	switch {
	case f.LoseRequests > 0:
		f.LoseRequests--
		i.counts.RequestsLost++
		return faultRequestLost
	case f.LateWrites > 0:
		f.LateWrites--
		i.counts.LateWrites++
		return faultLate
	case f.LoseAnswers > 0:
		f.LoseAnswers--
		i.counts.AnswersLost++
		return faultAnswerLost
	case f.LoseAnswerShare > 0 && i.random.Float64() < f.LoseAnswerShare:
		i.counts.AnswersLost++
		return faultAnswerLost
	}
	return faultNone
}
