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

func newFakeEngine(scripts ...script) *fakeEngine { return &fakeEngine{scripts: scripts} }

func completionRequest(only ledger.Version) CompletionRequest {
	return CompletionRequest{Origin: Origin{ID: "id", Class: "live"}, Model: "match", Prompt: strings.Repeat("p", 200), MaxTokens: 8, OnlyVersion: only}
}

const wholeText = "0 1 2 3 4 5 6 7 "

// TestCompletionResumes guards against a gap, an overlap or a wrong version label when
// an engine fails in the middle of a stream and another one continues.
func TestCompletionResumes(t *testing.T) {
	r, reports := newRouter(t, newPlan(newPool("a", "b", "c")))
	fake := newFakeEngine(generateTokens(4, 1), generateTokens(4, 2), generateTokens(8, 2))
	r.Engines = fake
	var streamed string
	done, err := r.Complete(t.Context(), completionRequest(0), func(p Part) error { streamed += p.Text; return nil })
	require.NoError(t, err)
	require.Equal(t, wholeText, done.Text)
	require.Equal(t, wholeText, streamed)
	require.Equal(t, []ledger.Range{{From: 0, To: 4, Version: 1}, {From: 4, To: 8, Version: 2}}, done.Ranges)
	require.Equal(t, []int{0, 1, 2, 3}, fake.requests[2].PrefixTokens)
	require.NotEqual(t, fake.requests[0].RequestID, fake.requests[1].RequestID)
	require.Len(t, eventsOf[event.PrefixSent](reports)[0].Hashes, 3)
}

// TestCompletionOfOneVersion guards against an answer that mixes weight versions
// although the caller asked for a single one.
func TestCompletionOfOneVersion(t *testing.T) {
	pool := newPool("a", "b")
	pool.Backends[0].Version = 2
	r, _ := newRouter(t, newPlan(pool))
	r.Engines = newFakeEngine(generateTokens(4, 1))
	_, err := r.Complete(t.Context(), completionRequest(1), nil)
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonVersionChanged, err)
	r.Engines = newFakeEngine(generateTokens(8, 2))
	_, err = r.Complete(t.Context(), completionRequest(1), nil)
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonVersionChanged, err)
	_, err = r.Complete(t.Context(), completionRequest(9), nil)
	requireVerdict(t, verdict.NotRun, verdict.ReasonVersionChanged, err)
}

// TestStreamedCompletionDoesNotRestart guards against a caller that receives the
// beginning of one answer and the end of another.
func TestStreamedCompletionDoesNotRestart(t *testing.T) {
	r, _ := newRouter(t, newPlan(newPool("a", "b")))
	foreign := func(req engine.GenerateRequest, onChunk func(engine.Chunk) error) error {
		if err := generateTokens(2, 1)(req, onChunk); verdict.ReasonOf(err) != verdict.ReasonConnectionLost {
			return err
		}
		return onChunk(newChunk(2, 2, 1)) // belongs to request "r"
	}
	fake := newFakeEngine(foreign, generateTokens(8, 1))
	r.Engines = fake
	_, err := r.Complete(t.Context(), completionRequest(0), func(Part) error { return nil })
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonForeignAnswer, err)
	require.Len(t, fake.requests, 1)
	fake = newFakeEngine(foreign, generateTokens(8, 1))
	r.Engines = fake
	done, err := r.Complete(t.Context(), completionRequest(0), nil)
	require.NoError(t, err, "nothing was delivered yet, so the completion may restart from an empty prefix")
	require.Empty(t, fake.requests[1].PrefixTokens)
	require.Equal(t, wholeText, done.Text)
}

// TestDisconnectedCallerEndsGeneration guards against further attempts for a caller
// that has disconnected.
func TestDisconnectedCallerEndsGeneration(t *testing.T) {
	r, _ := newRouter(t, newPlan(newPool("a", "b")))
	fake := newFakeEngine(generateTokens(8, 1))
	r.Engines = fake
	_, err := r.Complete(t.Context(), completionRequest(0), func(Part) error { return errors.New("caller disconnected") })
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonCanceled, err)
	require.Len(t, fake.requests, 1)
}

func newSampleRunner(r *Router, objects *fakeObjects) *SampleRunner {
	return &SampleRunner{Router: r, Objects: objects, Texts: NewTextLimit(1000)}
}

func sampleRequest(minimum ledger.Version) ledger.SampleRequest {
	return ledger.SampleRequest{Trainer: "t", Class: "rollout", Index: 3, Attempt: 2, MinVersion: minimum,
		Spec: ledger.GroupSpec{ID: "g", Model: "match", Prompt: "p", MaxTokens: 8}}
}

// TestSampleIsStoredWithItsLabels guards against a sample that loses the version
// ranges of a failed engine, and against a text that is lost when the object store
// fails temporarily.
func TestSampleIsStoredWithItsLabels(t *testing.T) {
	r, _ := newRouter(t, newPlan(newPool("a", "b", "c")))
	fake, objects := newFakeEngine(generateTokens(4, 1), generateTokens(8, 2)), &fakeObjects{failures: 2}
	r.Engines = fake
	s := newSampleRunner(r, objects)
	urgent := sampleRequest(1)
	urgent.Urgent = true
	record, err := s.RunSample(t.Context(), urgent)
	require.NoError(t, err)
	require.NoError(t, ledger.CheckRanges(record.Ranges, 8))
	require.Equal(t, []ledger.Range{{From: 0, To: 4, Version: 1}, {From: 4, To: 8, Version: 2}}, record.Ranges)
	require.Equal(t, wholeText, objects.stored[record.ObjectKey])
	require.True(t, strings.HasPrefix(record.ObjectKey, "samples/t/g/3/"))
	require.Equal(t, 3, fake.requests[0].Priority, "an urgent sample ranks above its class but below the next one")
	require.False(t, s.Texts.Full())
}

// TestSampleIsRefused guards against samples without a version label, samples whose
// version is too old, texts that fill the memory while the object store is down, and
// training requests beyond their share of slots.
func TestSampleIsRefused(t *testing.T) {
	pool := newPool("a")
	r, _ := newRouter(t, newPlan(pool))
	run := func(q ledger.SampleRequest, fake *fakeEngine, objects *fakeObjects) error {
		r.Engines = fake
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := newSampleRunner(r, objects).RunSample(ctx, q)
		return err
	}
	unlabelled := func(req engine.GenerateRequest, onChunk func(engine.Chunk) error) error {
		c := finalChunk(0, 8, 0)
		c.RequestID = req.RequestID
		return onChunk(c)
	}
	require.Equal(t, verdict.MayHaveRun, verdict.Of(run(sampleRequest(0), newFakeEngine(unlabelled), new(fakeObjects))))
	requireVerdict(t, verdict.NotRun, verdict.ReasonOverload, run(sampleRequest(2), newFakeEngine(generateTokens(8, 1)), new(fakeObjects)))
	pool.Backends[0].Version = 2 // the reported version is newer than the generated tokens
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonVersionChanged, run(sampleRequest(2), newFakeEngine(generateTokens(8, 1)), new(fakeObjects)))
	objects := &fakeObjects{failures: 1000}
	requireVerdict(t, verdict.MayHaveRun, verdict.ReasonStoreUnavailable, run(sampleRequest(0), newFakeEngine(generateTokens(8, 1)), objects))
	require.Empty(t, objects.stored)
	pool.Backends[0].Counters.TrainingInFlight.Store(2) // the training share of 0.5 of 4 slots is used up
	requireVerdict(t, verdict.NotRun, verdict.ReasonOverload, run(sampleRequest(0), newFakeEngine(generateTokens(8, 1)), new(fakeObjects)))
	require.EqualValues(t, 2, pool.Backends[0].Counters.TrainingInFlight.Load())

	full := newSampleRunner(r, new(fakeObjects))
	require.True(t, full.Texts.Acquire(1000))
	_, err := full.RunSample(t.Context(), sampleRequest(0))
	requireVerdict(t, verdict.NotRun, verdict.ReasonStoreUnavailable, err)
	require.Zero(t, pool.Backends[0].Counters.InFlight())
}
