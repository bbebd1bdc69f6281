package traffic

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Bounds of the backoff between attempts to store a sample text.
const (
	initialStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff     = 2 * time.Second
)

// SampleRunner generates samples for trainers and stores their texts.
type SampleRunner struct {
	Router  *Router
	Objects tablestore.Objects
	// Texts limits the memory of the texts that wait to be written to the object
	// store.
	Texts *TextLimit
}

// RunSample generates one sample, checks its version labels and stores its text. If
// it returns no error, the text of the returned record is stored.
func (s *SampleRunner) RunSample(ctx context.Context, q ledger.SampleRequest) (ledger.SampleRecord, error) {
	record := ledger.SampleRecord{Group: q.Spec.ID, Index: q.Index, Attempt: q.Attempt}
	operation := strconv.FormatUint(rand.Uint64(), 16)
	req := &request{Origin: Origin{ID: "sample-" + operation, Caller: q.Trainer, Class: q.Class}}
	err := s.Router.run(ctx, req, func(ctx context.Context) error {
		if s.Texts.Full() {
			return verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "too many sample texts are waiting to be written to the object store")
		}
		result, err := s.generate(ctx, req, q)
		if err != nil {
			return err
		}
		record.Tokens, record.Ranges, record.Backend = result.Tokens, result.Ranges, result.Backend
		record.ObjectKey = "samples/" + q.Trainer + "/" + q.Spec.ID + "/" + strconv.Itoa(q.Index) + "/" + operation
		return s.storeText(ctx, record.ObjectKey, result.Text)
	})
	return record, err
}

func (s *SampleRunner) generate(ctx context.Context, req *request, q ledger.SampleRequest) (CompletionResult, error) {
	if err := s.Router.admit(ctx, req); err != nil {
		return CompletionResult{}, err
	}
	if err := req.classify(q.Class); err != nil {
		return CompletionResult{}, err
	}
	g, err := s.Router.newGeneration(req, CompletionRequest{
		Origin: req.Origin, Model: q.Spec.Model, Prompt: q.Spec.Prompt, MaxTokens: q.Spec.MaxTokens})
	if err != nil {
		return CompletionResult{}, err
	}
	req.query.Training, req.query.TrainingShare, req.query.MinVersion = true, req.class.Share, q.MinVersion
	if q.Urgent {
		g.priority++
	}
	result, err := g.run(ctx)
	if err != nil {
		return CompletionResult{}, err
	}
	return result, checkSample(result, q.MinVersion)
}

// checkSample returns an error if the sample must not be delivered, because a token has
// no version label or is older than minVersion.
func checkSample(result CompletionResult, minVersion ledger.Version) error {
	if err := ledger.CheckRanges(result.Ranges, result.Tokens); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonUnlabelled, "sample is not deliverable")
	}
	if v := ledger.Oldest(result.Ranges); v < minVersion {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonVersionChanged, "sample has weight version %d, older than the required %d", v, minVersion)
	}
	return nil
}

// storeText writes the text to the object store and retries until the write succeeds
// or ctx ends. Each object is written once and under a unique key, so repeating a write
// whose response was lost is harmless.
func (s *SampleRunner) storeText(ctx context.Context, key, text string) error {
	if !s.Texts.Acquire(len(text)) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "too many sample texts are waiting to be written to the object store")
	}
	defer s.Texts.Release(len(text))
	for wait := initialStoreBackoff; ; wait = min(2*wait, maxStoreBackoff) {
		err := s.Objects.Put(ctx, key, []byte(text))
		if err == nil {
			return nil
		}
		timer := time.NewTimer(wait/2 + rand.N(wait/2))
		select {
		case <-ctx.Done():
			timer.Stop()
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "store sample text")
		case <-timer.C:
		}
	}
}
