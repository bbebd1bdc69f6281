package traffic

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/verdict"
)

type script = func(engine.GenerateRequest, func(engine.Chunk) error) error

func engines(scripts ...script) *fakeEngine { return &fakeEngine{scripts: scripts} }

func completion(only ledger.Version) CompletionRequest {
	return CompletionRequest{Origin: Origin{ID: "id", Class: "live"}, Model: "match", Prompt: strings.Repeat("p", 200), MaxTokens: 8, OnlyVersion: only}
}

const wholeText = "0 1 2 3 4 5 6 7 "

// TestCompletionResumes guards against a gap, an overlap or a wrong label when
// the engine dies in the middle of a stream.
func TestCompletionResumes(t *testing.T) {
	r, reports := newRouter(t, planOf(backendList("a", "b", "c")))
	fake := engines(generate(4, 1), generate(4, 2), generate(8, 2))
	r.Engines = fake
	var streamed string
	done, err := r.Complete(t.Context(), completion(0), func(p Part) error { streamed += p.Text; return nil })
	require.NoError(t, err)
	require.Equal(t, wholeText, done.Text)
	require.Equal(t, wholeText, streamed)
	require.Equal(t, []ledger.Range{{From: 0, To: 4, Version: 1}, {From: 4, To: 8, Version: 2}}, done.Ranges)
	require.Equal(t, []int{0, 1, 2, 3}, fake.requests[2].PrefixTokens)
	require.NotEqual(t, fake.requests[0].RequestID, fake.requests[1].RequestID)
	require.Len(t, reportsOf[event.PrefixSent](reports)[0].Hashes, 3)
}

// TestCompletionOfOneVersion guards against an answer that mixes versions
// although the caller asked for one.
func TestCompletionOfOneVersion(t *testing.T) {
	pool := backendList("a", "b")
	pool.Backends[0].Version = 2
	r, _ := newRouter(t, planOf(pool))
	r.Engines = engines(generate(4, 1))
	_, err := r.Complete(t.Context(), completion(1), nil)
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonVersionChanged, err)
	r.Engines = engines(generate(8, 2))
	_, err = r.Complete(t.Context(), completion(1), nil)
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonVersionChanged, err)
	_, err = r.Complete(t.Context(), completion(9), nil)
	requireVerdict(t, verdict.NotRun, verdict.ReasonVersionChanged, err)
}

// TestStreamIsNotStartedAnew guards against a caller who receives the beginning
// of one answer and the end of another.
func TestStreamIsNotStartedAnew(t *testing.T) {
	r, _ := newRouter(t, planOf(backendList("a", "b")))
	foreign := func(req engine.GenerateRequest, onChunk func(engine.Chunk) error) error {
		if err := generate(2, 1)(req, onChunk); verdict.ReasonOf(err) != verdict.ReasonConnectionLost {
			return err
		}
		return onChunk(chunk(2, 2, 1)) // of request "r"
	}
	fake := engines(foreign, generate(8, 1))
	r.Engines = fake
	_, err := r.Complete(t.Context(), completion(0), func(Part) error { return nil })
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonForeignAnswer, err)
	require.Len(t, fake.requests, 1)
	fake = engines(foreign, generate(8, 1))
	r.Engines = fake
	done, err := r.Complete(t.Context(), completion(0), nil)
	require.NoError(t, err, "nothing was delivered yet, so the whole answer may start anew")
	require.Empty(t, fake.requests[1].PrefixTokens)
	require.Equal(t, wholeText, done.Text)
}

// TestGoneCallerEndsGeneration guards against further attempts for a caller who
// has hung up.
func TestGoneCallerEndsGeneration(t *testing.T) {
	r, _ := newRouter(t, planOf(backendList("a", "b")))
	fake := engines(generate(8, 1))
	r.Engines = fake
	_, err := r.Complete(t.Context(), completion(0), func(Part) error { return errors.New("gone") })
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonCanceled, err)
	require.Len(t, fake.requests, 1)
}

func newSamples(r *Router, objects *fakeObjects) *SampleRunner {
	return &SampleRunner{Router: r, Objects: objects, Texts: NewTextLimit(1000)}
}

func sampleRequest(minimum ledger.Version) ledger.SampleRequest {
	return ledger.SampleRequest{Trainer: "t", Class: "rollout", Index: 3, Attempt: 2, MinVersion: minimum,
		Spec: ledger.GroupSpec{ID: "g", Model: "match", Prompt: "p", MaxTokens: 8}}
}

// TestSampleIsStoredWithItsLabels guards against a sample that loses the ranges
// of a failed engine, or whose text is lost in a store outage.
func TestSampleIsStoredWithItsLabels(t *testing.T) {
	r, _ := newRouter(t, planOf(backendList("a", "b", "c")))
	fake, objects := engines(generate(4, 1), generate(8, 2)), &fakeObjects{failures: 2}
	r.Engines = fake
	s := newSamples(r, objects)
	urgent := sampleRequest(1)
	urgent.Urgent = true
	record, err := s.RunSample(t.Context(), urgent)
	require.NoError(t, err)
	require.NoError(t, ledger.CheckRanges(record.Ranges, 8))
	require.Equal(t, []ledger.Range{{From: 0, To: 4, Version: 1}, {From: 4, To: 8, Version: 2}}, record.Ranges)
	require.Equal(t, wholeText, objects.stored[record.ObjectKey])
	require.True(t, strings.HasPrefix(record.ObjectKey, "samples/t/g/3/"))
	require.Equal(t, 3, fake.requests[0].Priority, "urgent, but below the class above")
	require.False(t, s.Texts.Full())
}

// TestSampleIsRefused guards against samples without label, too old samples,
// texts that fill the memory during an outage, and training beyond its share.
func TestSampleIsRefused(t *testing.T) {
	pool := backendList("a")
	r, _ := newRouter(t, planOf(pool))
	run := func(q ledger.SampleRequest, fake *fakeEngine, objects *fakeObjects) error {
		r.Engines = fake
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := newSamples(r, objects).RunSample(ctx, q)
		return err
	}
	unlabelled := func(req engine.GenerateRequest, onChunk func(engine.Chunk) error) error {
		c := final(0, 8, 0)
		c.RequestID = req.RequestID
		return onChunk(c)
	}
	require.Equal(t, verdict.MayHaveRun, verdict.Of(run(sampleRequest(0), engines(unlabelled), new(fakeObjects))))
	requireVerdict(t, verdict.NotRun, verdict.ReasonOverload, run(sampleRequest(2), engines(generate(8, 1)), new(fakeObjects)))
	pool.Backends[0].Version = 2 // the report is ahead of what the engine produces
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonVersionChanged, run(sampleRequest(2), engines(generate(8, 1)), new(fakeObjects)))
	objects := &fakeObjects{failures: 1000}
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonStoreUnavailable, run(sampleRequest(0), engines(generate(8, 1)), objects))
	require.Empty(t, objects.stored)
	pool.Backends[0].Counters.TrainingInFlight.Store(2) // half of 4 slots
	requireVerdict(t, verdict.NotRun, verdict.ReasonOverload, run(sampleRequest(0), engines(generate(8, 1)), new(fakeObjects)))
	require.EqualValues(t, 2, pool.Backends[0].Counters.TrainingInFlight.Load())

	full := newSamples(r, new(fakeObjects))
	require.True(t, full.Texts.Acquire(1000))
	_, err := full.RunSample(t.Context(), sampleRequest(0))
	requireVerdict(t, verdict.NotRun, verdict.ReasonStoreUnavailable, err)
	require.Zero(t, pool.Backends[0].Counters.InFlight())
}
