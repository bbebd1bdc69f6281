// Package fairshare decides in which order the requests of organisations that wait for one
// service at one host are served, and how long a new one is expected to wait. It reads no
// clock and starts no goroutine.
package fairshare

import (
	"container/heap"
	"container/list"
	"math"
	"time"
)

const (
	// memory is the time for which an organisation counts as one that shares, after its last
	// request. Small organisations have a request at a host every second or two. If they counted
	// only while they wait, a large one would get the share of all that wait at no moment.
	memory = 2 * time.Second
	// maxLead bounds, in rounds of all organisations, how far an organisation can be ahead. It
	// uses up what others leave without paying for more than this when they return.
	maxLead = 4
)

// maxFlows bounds the organisations and classes that a queue tracks. Further organisations share
// one place in the order of their class until others have expired.
const maxFlows = 4096

// Queue orders waiting requests: by class, then by start-time fair queueing among
// organisations with equal weights, then by arrival. The zero value is an empty queue.
type Queue[T any] struct {
	// FirstCome is the baseline: first come, first served.
	FirstCome bool

	flows    map[flowKey]*flow[T]
	active   flowHeap[T] // flows with waiting requests
	classes  map[int]*class
	length   int
	expireAt time.Duration // when organisations are forgotten next
	arrivals uint64
	rate     rate
}

// class is the virtual time of a priority class: the number of requests that each organisation
// of the class could have been served. It advances by one while each of them is served once.
type class struct {
	virtual float64
	flows   int // organisations that have requests or had some lately
}

type flowKey struct {
	class        int
	organisation string
	shared       bool // by the organisations beyond maxFlows
}

// flow is what one organisation waits for in one class. Only its first request has a tag, so
// that requests that are removed cost the organisation nothing.
type flow[T any] struct {
	key     flowKey
	start   float64 // start tag of the first request
	finish  float64 // finish tag of the last request that was served
	class   *class
	rate    rate
	usedAt  time.Duration // when its last request arrived or ended
	waiting list.List
	index   int // in Queue.active
}

// Place is the place of a request in a queue.
type Place[T any] struct {
	Value   T
	flow    *flow[T]
	element *list.Element
	arrival uint64
	start   float64 // start tag with which the request was served
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a request. Class 0 is served first.
func (q *Queue[T]) Push(class int, organisation string, value T, now time.Duration) *Place[T] {
	q.rate.begin(now, q.length == 0)
	f := q.flow(flowKey{class: class, organisation: organisation})
	q.arrivals++
	p := &Place[T]{Value: value, flow: f, arrival: q.arrivals}
	f.rate.begin(now, f.waiting.Len() == 0)
	f.usedAt = now
	p.element = f.waiting.PushBack(p)
	q.length++
	if f.waiting.Len() == 1 {
		f.start = max(f.class.virtual, f.finish)
		heap.Push(&q.active, f)
	}
	return p
}

// Return adds a request again that was served and then refused by its server. It comes before
// the others of its organisation, and is not counted as served.
func (q *Queue[T]) Return(p *Place[T], now time.Duration) {
	q.rate.begin(now, q.length == 0)
	q.rate.returned++
	f := q.flow(p.flow.key)
	f.rate.begin(now, f.waiting.Len() == 0)
	f.rate.returned++
	f.finish, f.usedAt = max(0, f.finish-1), now
	p.flow, p.element = f, f.waiting.PushFront(p)
	q.length++
	f.start = min(p.start, f.class.virtual+maxLead) // the class may have begun anew
	if f.waiting.Len() == 1 {
		heap.Push(&q.active, f)
	} else {
		heap.Fix(&q.active, f.index)
	}
}

// Organisations returns the number of organisations with waiting requests, counted once in each
// class.
func (q *Queue[T]) Organisations() int { return q.active.Len() }

// Lead returns by how many requests the organisation of a waiting request is ahead of its share.
func (q *Queue[T]) Lead(p *Place[T]) float64 { return max(0, p.flow.start-p.flow.class.virtual) }

// First returns the request that is served next, nil if none waits.
func (q *Queue[T]) First() *Place[T] {
	if q.length == 0 {
		return nil
	}
	return q.active.flows[0].first()
}

// Pop removes the request that is served next and counts it as served.
func (q *Queue[T]) Pop(now time.Duration) *Place[T] {
	p := q.First()
	if p == nil {
		return nil
	}
	f := p.flow
	p.start = f.start
	f.class.virtual += 1 / float64(f.class.flows)
	f.finish = min(f.start+1, f.class.virtual+maxLead)
	q.rate.serve(now)
	f.rate.serve(now)
	q.Remove(p, now)
	return p
}

// Remove removes a request that is not served. It does nothing if the request does not wait.
func (q *Queue[T]) Remove(p *Place[T], now time.Duration) {
	if p.element == nil {
		return
	}
	f := p.flow
	f.waiting.Remove(p.element)
	p.element = nil
	q.length--
	f.usedAt = now
	f.rate.advance(now)
	if q.length == 0 {
		q.rate.advance(now)
	}
	if f.waiting.Len() == 0 {
		heap.Remove(&q.active, f.index)
	} else {
		f.start = max(f.start, f.finish)
		heap.Fix(&q.active, f.index)
	}
	q.expire(now)
}

// expire forgets the organisations that had no request lately, so that a share that is not
// used is not kept.
func (q *Queue[T]) expire(now time.Duration) {
	if now < q.expireAt {
		return
	}
	q.expireAt = now + memory/8
	for key, f := range q.flows {
		if f.waiting.Len() > 0 || now-f.usedAt < memory {
			continue
		}
		delete(q.flows, key)
		if f.class.flows--; f.class.flows == 0 {
			delete(q.classes, key.class)
		}
	}
}

func (q *Queue[T]) flow(key flowKey) *flow[T] {
	if q.flows == nil {
		q.flows, q.classes, q.active.firstCome = make(map[flowKey]*flow[T]), make(map[int]*class), q.FirstCome
	}
	if f := q.flows[key]; f != nil {
		return f
	}
	if len(q.flows) >= maxFlows {
		key = flowKey{class: key.class, shared: true}
		if f := q.flows[key]; f != nil {
			return f
		}
	}
	c := q.classes[key.class]
	if c == nil {
		c = new(class)
		q.classes[key.class] = c
	}
	c.flows++
	f := &flow[T]{key: key, class: c}
	q.flows[key] = f
	return f
}

// Ahead returns the number of waiting requests that are served before a new one, if no others
// arrive.
func (q *Queue[T]) Ahead(class int, organisation string) int {
	if q.FirstCome {
		return q.length
	}
	tag, own := 0.0, q.flows[flowKey{class: class, organisation: organisation}]
	if c := q.classes[class]; c != nil {
		tag = c.virtual
	}
	if own != nil && own.waiting.Len() > 0 {
		tag = own.start + float64(own.waiting.Len())
	} else if own != nil {
		tag = max(tag, own.finish)
	}
	ahead := 0
	for _, f := range q.active.flows {
		switch {
		case f.key.class < class || f == own:
			ahead += f.waiting.Len()
		case f.key.class == class && f.start <= tag:
			ahead += min(f.waiting.Len(), 1+int(math.Floor(tag-f.start)))
		}
	}
	return ahead
}

// Wait returns the expected time until a new request is served, from the requests before it
// and the rate at which requests were served here: those of all, and those of the
// organisation, before which further ones of others come. It is 0 while no rate is known.
func (q *Queue[T]) Wait(class int, organisation string, now time.Duration) time.Duration {
	wait := time.Duration(q.Ahead(class, organisation)+1) * q.rate.interval(now, q.length > 0)
	own := q.flows[flowKey{class: class, organisation: organisation}]
	if q.FirstCome || own == nil || own.waiting.Len() == 0 {
		return wait
	}
	return max(wait, time.Duration(own.waiting.Len()+1)*own.rate.interval(now, true))
}

func (f *flow[T]) first() *Place[T] { return f.waiting.Front().Value.(*Place[T]) }

// flowHeap has the flow that is served next at index 0.
type flowHeap[T any] struct {
	flows     []*flow[T]
	firstCome bool
}

func (h *flowHeap[T]) Len() int { return len(h.flows) }

func (h *flowHeap[T]) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	switch {
	case h.firstCome:
	case a.key.class != b.key.class:
		return a.key.class < b.key.class
	case a.start != b.start:
		return a.start < b.start
	}
	return a.first().arrival < b.first().arrival
}

func (h *flowHeap[T]) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].index, h.flows[j].index = i, j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(h.flows)
	h.flows = append(h.flows, f)
}

func (h *flowHeap[T]) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	return f
}
