package traffic

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// newPool returns a pool of servers with the given addresses. Each has weight version 1
// and 4 slots.
func newPool(addresses ...string) *plan.Pool {
	pool := &plan.Pool{Next: new(atomic.Uint64)}
	for i, address := range addresses {
		pool.Backends = append(pool.Backends, plan.Backend{
			Name: fmt.Sprintf("b%d", i), Address: address, Version: 1, Report: plan.Report{Slots: 4}, Counters: new(plan.Counters)})
	}
	return pool
}

func newPlan(pool *plan.Pool) *plan.Plan {
	return &plan.Plan{
		ConfigVersion: 1, ValidUntil: math.MaxInt64, Hosts: 1, Routing: plan.RoundRobin,
		Classes:  map[string]plan.Class{"live": {Name: "live", Share: 1, Priority: 2}, "rollout": {Name: "rollout", Share: 0.5, Priority: 1}},
		Models:   map[string]*plan.Pool{"match": pool},
		Services: map[string]*plan.Pool{"listing": pool},
		Routes: map[string]plan.RouteConfig{
			"search": {Service: "listing", Idempotent: true, Class: "live"}, "claims": {Service: "listing", Class: "live"}},
	}
}

// recorder is a Reporter that keeps all events.
type recorder struct {
	mu     sync.Mutex
	events []event.Event
}

func (r *recorder) Post(e event.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	return true
}

func eventsOf[E event.Event](r *recorder) (found []E) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

func newRouter(t testing.TB, p *plan.Plan) (*Router, *recorder) {
	plans, reports, start := new(plan.AtomicPlan), new(recorder), time.Now()
	plans.Publish(p)
	client := transport.NewClient()
	t.Cleanup(client.CloseIdleConnections)
	return NewRouter(Options{
		Plans: plans, Clock: func() time.Duration { return time.Since(start) }, Reports: reports,
		Sender: &Sender{Client: client, MaxAnswerBytes: 1 << 20}, DefaultTimeout: 10 * time.Second,
	}), reports
}

// fakeEngine answers each attempt with the next script and repeats the last one. A
// script receives the request and sends chunks.
type fakeEngine struct {
	mu       sync.Mutex
	scripts  []func(engine.GenerateRequest, func(engine.Chunk) error) error
	requests []engine.GenerateRequest
}

func (f *fakeEngine) Generate(_ context.Context, _ string, req engine.GenerateRequest, onChunk func(engine.Chunk) error) error {
	f.mu.Lock()
	script := f.scripts[min(len(f.requests), len(f.scripts)-1)]
	f.requests = append(f.requests, req)
	f.mu.Unlock()
	return script(req, onChunk)
}

// generateTokens returns a script that sends the tokens from the request's prefix up to
// count, in chunks of two. The stream is complete if count is the maximum of the
// request. Otherwise the connection breaks after count tokens.
func generateTokens(count int, version ledger.Version) func(engine.GenerateRequest, func(engine.Chunk) error) error {
	return func(req engine.GenerateRequest, onChunk func(engine.Chunk) error) error {
		for at := len(req.PrefixTokens); at < count; at += 2 {
			c := newChunk(at, min(2, count-at), version)
			c.RequestID, c.Done = req.RequestID, at+2 >= req.MaxTokens
			if err := onChunk(c); err != nil {
				return err
			}
		}
		if count < req.MaxTokens {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "connection broke during the stream")
		}
		return nil
	}
}

// fakeClaims is a Claimer that keeps claims in memory.
type fakeClaims struct {
	mu     sync.Mutex
	claims map[string]ClaimOutcome
	hashes map[string]string
	down   bool
}

func (f *fakeClaims) Claim(_ context.Context, caller, route, key, hash string) (ClaimOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return ClaimOutcome{}, fmt.Errorf("table service is down")
	}
	id := caller + "/" + route + "/" + key
	if found, ok := f.claims[id]; ok {
		if f.hashes[id] != hash {
			found.State = ClaimKeyReused
		}
		return found, nil
	}
	if f.claims == nil {
		f.claims = make(map[string]ClaimOutcome)
		f.hashes = make(map[string]string)
	}
	f.claims[id], f.hashes[id] = ClaimOutcome{State: ClaimInProgress}, hash
	return ClaimOutcome{State: ClaimCreated, Finish: func(ctx context.Context, v verdict.Verdict, reply Reply) error {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return f.finish(id, v, reply)
	}}, nil
}

func (f *fakeClaims) finish(id string, v verdict.Verdict, reply Reply) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch claim := f.claims[id]; v {
	case verdict.NotRun:
		delete(f.claims, id)
	case verdict.Ran:
		claim.State, claim.Stored = ClaimFinished, reply
		f.claims[id] = claim
	}
	return nil
}

// fakeObjects is an object store in memory. It fails as many writes as the field
// failures states and accepts all later ones.
type fakeObjects struct {
	mu       sync.Mutex
	failures int
	stored   map[string]string
}

func (f *fakeObjects) Put(_ context.Context, key string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		f.failures--
		return fmt.Errorf("object store is down")
	}
	if f.stored == nil {
		f.stored = make(map[string]string)
	}
	f.stored[key] = string(data)
	return nil
}

func (f *fakeObjects) Get(context.Context, string) ([]byte, bool, error) { return nil, false, nil }

func (f *fakeObjects) Delete(context.Context, string) error { return nil }
