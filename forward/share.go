package forward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/fairshare"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// minTurnCheck and maxTurnCheck bound the time after which a host with waiting requests
	// checks the servers again. The end of a request of its own lets it check at once.
	minTurnCheck = 2 * time.Millisecond
	maxTurnCheck = 50 * time.Millisecond
	// shortageMemory is the time for which a shortage is expected to last after a request that
	// found no room.
	shortageMemory = time.Second
)

// sharing is the part of a Forwarder that orders requests which wait for room. Deployments
// without organisations do not use it.
type sharing struct {
	queues sync.Map // *shareQueue by service
}

// shareQueue holds the requests that wait at this host for the servers of a service.
type shareQueue struct {
	f       *Forwarder
	service string
	length  atomic.Int32 // of queue, read without the lock
	// shortUntil is the time until which requests enter the queue even if there is room, so that
	// they count for their organisations, Unix nanoseconds.
	shortUntil atomic.Int64

	mu    sync.Mutex
	queue fairshare.Queue[*waiter]
	timer *time.Timer
}

// waiter is a request that waits for its turn.
type waiter struct {
	end  time.Time
	turn chan turn // buffered
}

// turn ends a wait. The server counts the request as in flight until its attempt starts.
type turn struct {
	reserved *Target       // nil if the service has no servers or is not shared any more
	late     time.Duration // time by which the request would miss its deadline, if positive
}

// seat is what a request keeps across its attempts.
type seat struct {
	place *fairshare.Place[*waiter]
}

// mustWait reports whether a request waits for its turn. It takes no lock.
func (f *Forwarder) mustWait(p *Plan, service string, background bool, best choice) bool {
	if p.Keys == nil || background || (best.target == nil && best.wait == 0) {
		return false
	}
	if best.target == nil || best.queued {
		return true
	}
	q, ok := f.sharing.queues.Load(service)
	return ok && q.(*shareQueue).shortUntil.Load() > time.Now().UnixNano()
}

// ended lets the requests that wait for a service check its servers.
func (f *Forwarder) ended(service string) {
	if q, ok := f.sharing.queues.Load(service); ok && q.(*shareQueue).length.Load() > 0 {
		q.(*shareQueue).check()
	}
}

func (f *Forwarder) shareQueue(service string) *shareQueue {
	if q, ok := f.sharing.queues.Load(service); ok {
		return q.(*shareQueue)
	}
	created := &shareQueue{f: f, service: service}
	created.queue.FirstCome = f.FirstCome
	q, _ := f.sharing.queues.LoadOrStore(service, created)
	return q.(*shareQueue)
}

// class returns the priority class of a request: that of its organisation, or else of its route.
func (p *Plan) class(r *Request, route *desired.Route) int {
	if priority, ok := p.Keys.Priority(r.Organisation); ok {
		return priority
	}
	return route.Priority
}

// awaitTurn waits until a server has room for the request and no other request of this host
// comes first. The returned function ends the reservation and is called when the attempt has
// been counted. A request that cannot be served before its deadline gets an error at once.
func (f *Forwarder) awaitTurn(ctx context.Context, s *seat, service string, class int, organisation string, best choice) (release func(), err error) {
	q, end := f.shareQueue(service), deadlineOf(ctx)
	w, wait := q.enter(s, class, organisation, end, best)
	if w == nil {
		return nil, f.overload(wait, "the expected wait in the order of the organisations exceeds the time left")
	}
	q.check()
	select {
	case t := <-w.turn:
		if t.late > 0 {
			return nil, f.overload(t.late, "requests of other organisations came first until the deadline")
		}
		return t.release, nil
	case <-ctx.Done():
		q.leave(s.place)
		cause := context.Cause(ctx)
		if verdict.ReasonOf(cause) == verdict.ReasonDraining {
			return nil, cause
		}
		if errors.Is(cause, context.DeadlineExceeded) {
			return nil, f.overload(best.response, "the servers had no room for the request until the deadline")
		}
		return nil, verdict.New(verdict.NotRun, verdict.ReasonCanceled, "the caller disconnected while the request waited")
	}
}

func (t turn) release() {
	if t.reserved != nil {
		t.reserved.Load.InFlight.Add(-1)
	}
}

func deadlineOf(ctx context.Context) time.Time {
	end, _ := ctx.Deadline()
	return end
}

// enter adds a request, or returns nil and the time after which to try again if it is expected
// to miss its deadline. A request that a server refused keeps its place.
func (q *shareQueue) enter(s *seat, class int, organisation string, end time.Time, best choice) (*waiter, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	w := &waiter{end: end, turn: make(chan turn, 1)}
	if s.place != nil {
		s.place.Value = w
		q.queue.Return(s.place, sinceStart(now))
	} else {
		expected := best.earliest()
		if q.queue.Len() > 0 {
			expected = max(expected, q.queue.Wait(class, organisation, sinceStart(now))+best.response)
		}
		if now.Add(expected).After(end) {
			return nil, expected - end.Sub(now)
		}
		s.place = q.queue.Push(class, organisation, w, sinceStart(now))
	}
	q.length.Store(int32(q.queue.Len()))
	if best.target == nil || best.queued {
		q.shortUntil.Store(now.Add(shortageMemory).UnixNano())
	}
	return w, 0
}

// leave removes a request whose caller or deadline ended its wait.
func (q *shareQueue) leave(p *fairshare.Place[*waiter]) {
	q.mu.Lock()
	q.queue.Remove(p, sinceStart(time.Now()))
	q.length.Store(int32(q.queue.Len()))
	q.mu.Unlock()
	select {
	case t := <-p.Value.turn: // it came in the meantime
		t.release()
		q.check()
	default:
	}
}

// check gives turns to waiting requests while a server has room.
func (q *shareQueue) check() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for p := q.queue.First(); p != nil; p = q.queue.First() {
		plan, now := q.f.Plans.Load(), time.Now()
		ch := chooser{now: now, random: q.f.Rand}
		best := ch.choose(plan, q.service)
		var t turn
		switch late := now.Add(best.earliest()).Sub(p.Value.end); {
		case plan.Keys == nil || (best.target == nil && best.wait == 0):
			q.queue.Remove(p, sinceStart(now))
		case late > 0:
			t.late = late
			q.queue.Remove(p, sinceStart(now))
		case !best.hasTurn(now, (1+q.queue.Lead(p))/float64(q.queue.Organisations())):
			q.checkAfter(best)
			return
		default:
			t.reserved = best.target
			t.reserved.Load.InFlight.Add(1)
			q.queue.Pop(sinceStart(now))
		}
		q.length.Store(int32(q.queue.Len()))
		p.Value.turn <- t
	}
}

// checkAfter requests a check for the time at which a server is expected to have room.
func (q *shareQueue) checkAfter(best choice) {
	wait := best.wait
	if best.target != nil {
		wait = best.response / time.Duration(max(1, best.target.Slots))
	}
	wait = min(maxTurnCheck, max(minTurnCheck, wait))
	if q.timer == nil {
		q.timer = time.AfterFunc(wait, q.check)
		return
	}
	q.timer.Reset(wait)
}

// earliest returns the time until the response if the request comes first.
func (c choice) earliest() time.Duration { return c.wait + c.permitWait + c.response }

// hasTurn reports whether a request may be sent to the chosen server. A server whose requests
// are all from this host takes one whenever it has a free slot. If other hosts send to it too,
// each host sends one at intervals that follow from the reported queue: a host that took each
// slot that its own requests leave would keep it from the others. factor is part of the
// interval: less for a host at which many organisations wait, more for a request whose
// organisation is ahead of its share.
func (c choice) hasTurn(now time.Time, factor float64) bool {
	if c.target == nil {
		return false
	}
	l, slots := c.target.Load, max(1, c.target.Slots)
	own, all := int(l.InFlight.Load()), l.lastRequests(now)
	switch {
	case c.permitWait > 0 || own >= slots:
		return false
	case all <= own || all+1 < slots:
		return !c.queued
	}
	interval := factor * float64(turnInterval(c.response, all, slots))
	if float64(now.UnixNano()-l.probedAt.Load()) < interval {
		return false
	}
	l.probedAt.Store(now.UnixNano())
	return true
}

// lastRequests returns the number of requests at the server, from a report of the time of a
// shortage if there is one. The interval between two requests of this host can be longer than
// loadReportTTL; without a report, each would be sent at once.
func (l *Load) lastRequests(now time.Time) int {
	own := l.InFlight.Load()
	if now.UnixNano()-l.reportedAt.Load() > int64(shortageMemory) {
		return int(own)
	}
	return int(max(own, l.reported.Load()))
}

// turnInterval returns the time between two requests of one host to a server that several hosts
// send to: the time in which its queue is served, and longer if the queue is long. With it, n
// organisations that wait cause a queue of about the square root of n times the slots.
func turnInterval(response time.Duration, requests, slots int) time.Duration {
	waiting := max(0, requests-slots)
	return response * time.Duration((waiting+1)*(waiting+slots)) / time.Duration(slots*slots)
}

// processStart is the origin of the times that package fairshare gets.
var processStart = time.Now()

func sinceStart(t time.Time) time.Duration { return t.Sub(processStart) }
