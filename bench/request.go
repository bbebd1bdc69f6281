package bench

import (
	"math/rand/v2"
	"time"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/traffic"
	"github.com/lavenderstand/lavenderstand/verdict"
)

type requestPolicy = traffic.RequestPolicy

// maxPickAttempts and priorityStep have the same values as in package traffic.
const (
	maxPickAttempts = 4 // servers tried in one pick
	priorityStep    = 2 // distance of the priorities of adjacent classes, with room for urgent requests
)

// request is the row of one request at an entry host. It follows the steps of
// traffic.Router and uses the same pickers and the same request policy.
type request struct {
	host       *host
	class      string
	engine     bool    // sent to an engine, not to a plain service
	tokens     int     // actual work: tokens of an engine, or work units of a plain service
	maxTokens  float64 // limit on the tokens, which the router uses for its estimates
	idempotent bool
	urgent     bool
	deadline   time.Duration // 0 if there is none
	query      plan.Query
	done       func(r *request, err error) // called at the end of the request

	classPlan  plan.Class
	started    time.Duration
	plan       *plan.Plan    // plan of the current attempt
	backend    *plan.Backend // server of the current attempt
	sentAt     time.Duration // start of the current attempt
	current    *sequence     // current attempt, or nil
	attempts   int
	produced   int            // tokens produced by all attempts that ended
	ranges     []ledger.Range // version label of these tokens
	mayHaveRun bool           // an earlier attempt may have run
	ended      bool
}

// start admits the request and sends the first attempt, or refuses the request.
func (r *request) start() {
	sim, h := r.host.sim, r.host
	r.started, r.plan = sim.now, h.plan
	class, ok := r.plan.Classes[r.class]
	if sim.setup.Policy.NoShares {
		class.Share = 1
	}
	if !ok || class.Share <= 0 {
		r.end(verdict.New(verdict.NotRun, verdict.ReasonOverload, "class has no share of the capacity"))
		return
	}
	r.classPlan = class
	r.query.TrainingShare, r.query.Zone = class.Share, h.tables.Self.Zone
	h.policy.EarnRetry(r.class)
	if r.deadline > 0 {
		sim.at(r.deadline, r.expire)
	}
	r.sendAttempt()
}

// sendAttempt picks a server and sends it an attempt. If no server can be picked, the
// request ends.
func (r *request) sendAttempt() {
	b, err := r.pick()
	if err != nil {
		r.end(err)
		return
	}
	sim := r.host.sim
	r.attempts++
	r.backend, r.sentAt = b, sim.now
	if r.engine {
		r.host.post(event.PrefixSent{Backend: b.Name, Hashes: r.query.Hashes})
	}
	s := sim.servers[b.Name]
	q := &sequence{request: r, attempt: r.attempts, priority: r.classPlan.Priority * priorityStep}
	if r.urgent {
		q.priority++
	}
	r.current = q
	sim.after(sim.zoneDelay(r.host.zone, s.zone), func() { sim.arrive(s, q) })
}

// pick returns a server that has capacity for the request.
func (r *request) pick() (*plan.Backend, error) {
	sim := r.host.sim
	r.plan = r.host.plan
	pool := r.plan.Services[serviceName]
	if r.engine {
		pool = r.plan.Models[modelName]
	}
	if pool == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoBackend, "plan has no pool of servers")
	}
	for range maxPickAttempts {
		r.query.Random = sim.random.Uint64()
		var b *plan.Backend
		if sim.setup.Policy.Oracle {
			b = sim.oracle(r, pool)
		} else {
			b = r.plan.Pick(pool, &r.query)
		}
		if b == nil {
			break
		}
		if r.deadline > 0 && !sim.setup.Policy.Oracle && r.host.policy.EstimateWait(r.plan, b, r.maxTokens) > r.deadline-sim.now {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "estimated wait exceeds the deadline")
		}
		if r.plan.Begin(b, &r.query) {
			return b, nil
		}
	}
	if r.query.Training {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "no server has a free training share")
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonNoBackend, "no server")
}

// attemptEnded handles the end of an attempt: it ends the request or schedules a
// retry.
func (r *request) attemptEnded(q *sequence, err error) {
	if r.ended || r.current != q {
		return
	}
	sim, h := r.host.sim, r.host
	for _, part := range q.ranges {
		r.ranges = ledger.AppendRange(r.ranges, part.To-part.From, part.Version)
	}
	r.produced += q.produced
	r.closeAttempt(err)
	if err == nil {
		h.policy.ObserveLatency(r.backend, sim.now-r.sentAt)
		r.end(nil)
		return
	}
	r.mayHaveRun = r.mayHaveRun || verdict.Of(err) != verdict.NotRun
	switch {
	case !traffic.Retryable(err, r.idempotent):
		r.end(err)
		return
	case !h.policy.TakeRetry(r.class):
		r.end(verdict.Wrap(err, verdict.Of(err), verdict.ReasonRetryBudget, "retry budget exhausted"))
		return
	}
	wait := 1 + time.Duration(sim.random.Int64N(int64(traffic.MaxBackoff(r.attempts))))
	if r.deadline > 0 && r.deadline-sim.now <= wait {
		r.end(err)
		return
	}
	sim.result.recordRetry(sim, r.class, verdict.ReasonOf(err))
	r.query.Tried = append(r.query.Tried, r.backend.Name)
	sim.after(wait, func() {
		if !r.ended {
			r.sendAttempt()
		}
	})
}

// closeAttempt reports the end of the current attempt, as traffic.Router does.
func (r *request) closeAttempt(err error) {
	r.plan.End(r.backend, &r.query)
	ended := event.AttemptEnded{Backend: r.backend.Name, Verdict: verdict.Of(err)}
	if err != nil {
		ended.Reason = verdict.ReasonOf(err)
	}
	r.host.post(ended)
	r.current = nil
}

// expire ends a request whose deadline has passed and cancels its attempt.
func (r *request) expire() {
	if r.ended {
		return
	}
	v := verdict.NotRun
	if q := r.current; q != nil {
		sim, s := r.host.sim, r.host.sim.servers[r.backend.Name]
		v = verdict.MayHaveRun
		sim.after(sim.zoneDelay(r.host.zone, s.zone), func() { sim.remove(s, q) })
		r.closeAttempt(verdict.New(v, verdict.ReasonDeadline, "deadline exceeded"))
	}
	r.end(verdict.New(v, verdict.ReasonDeadline, "deadline exceeded"))
}

// end ends the request and reports its outcome.
func (r *request) end(err error) {
	r.ended = true
	sim := r.host.sim
	if err != nil && r.mayHaveRun && verdict.Of(err) == verdict.NotRun {
		err = verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonOf(err), "an earlier attempt may have run")
	}
	ended := event.RequestEnded{Class: r.class, Verdict: verdict.Of(err), Latency: sim.now - r.started}
	if err != nil {
		ended.Reason = verdict.ReasonOf(err)
		sim.result.recordRefusal(sim, r.class, ended.Reason)
	}
	r.host.post(ended)
	r.done(r, err)
}

// oracle picks the server on which the request would end first. Unlike a real picker,
// it uses the current state of all servers and the lengths of all requests.
func (sim *simulation) oracle(r *request, pool *plan.Pool) *plan.Backend {
	var best *plan.Backend
	var soonest float64
	for i := range pool.Backends {
		b := &pool.Backends[i]
		s := sim.servers[b.Name]
		if s.down || s.refusing || r.query.MinVersion > s.active || r.query.Training && len(s.running)+len(s.queue) >= int(r.query.TrainingShare*float64(s.slots)) {
			continue
		}
		work := float64(r.tokens)
		for _, q := range s.queue {
			if q.priority >= r.classPlan.Priority*priorityStep {
				work += float64(q.request.tokens) / float64(s.slots)
			}
		}
		if len(s.running) >= s.slots {
			work += s.soonestFree()
		}
		if estimate := work / s.rate(); best == nil || estimate < soonest {
			best, soonest = b, estimate
		}
	}
	return best
}

// soonestFree returns the remaining work, in token times, of the running sequence that
// ends first.
func (s *server) soonestFree() float64 {
	left := s.running[0].startProgress + s.running[0].work
	for _, q := range s.running {
		left = min(left, q.startProgress+q.work)
	}
	return left - s.progress
}

// lognormal returns a random number with a log-normal distribution of the given
// median.
func lognormal(random *rand.Rand, median, sigma float64) float64 {
	return median * exp(sigma*random.NormFloat64())
}
