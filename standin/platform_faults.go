package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// PlatformFaults are the faults of a platform service. The zero value is none.
type PlatformFaults struct {
	// Down rejects every request with 503 and verdict not_run.
	Down bool `json:"down"`
	// Slow delays each request by SlowMS plus a random part of JitterMS.
	SlowMS   int64 `json:"slow_ms"`
	JitterMS int64 `json:"jitter_ms"`
	// LoseAnswers is the number of next writes that take effect and whose
	// connection is then closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// LoseAnswerShare is the probability of the same for each write.
	LoseAnswerShare float64 `json:"lose_answer_share"`
	// LoseRequests is the number of next writes that take no effect and whose
	// connection is closed without an answer.
	LoseRequests int `json:"lose_requests"`
	// LateWrites is the number of next writes whose connection is closed at
	// once and that take effect, if their conditions hold, LateMS later.
	LateWrites int   `json:"late_writes"`
	LateMS     int64 `json:"late_ms"`
	// RejectShare is the probability of 429 for each request.
	RejectShare float64 `json:"reject_rate"`
}

// faultKind is what happens to one request.
type faultKind uint8

const (
	faultNone faultKind = iota
	faultDown
	faultRejected
	faultAnswerLost
	faultRequestLost
	faultLate
)

type faultDecision struct {
	kind  faultKind
	delay time.Duration // before the request is handled
	late  time.Duration // of a late write
}

// PlatformInjector decides the faults of requests with seeded random numbers.
type PlatformInjector struct {
	mu     sync.Mutex
	random *rand.Rand
	faults PlatformFaults
	counts PlatformFaultCounts
}

// PlatformFaultCounts counts the faults that took place.
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

// Set replaces the faults. A seed other than 0 restarts the random numbers.
func (i *PlatformInjector) Set(f PlatformFaults, seed uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	if seed != 0 {
		i.random = rand.New(rand.NewPCG(seed, seed))
	}
}

// Faults returns the faults in force and the counts so far.
func (i *PlatformInjector) Faults() (PlatformFaults, PlatformFaultCounts) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.counts
}

// decide returns the fate of one request.
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
