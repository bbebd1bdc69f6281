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

// Limits of storing sample texts.
const (
	initialStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff     = 2 * time.Second
)

// SampleRunner generates samples for trainers and stores their texts.
type SampleRunner struct {
	Router  *Router
	Objects tablestore.Objects
	// Texts bounds the memory of texts that wait for the object store.
	Texts *TextLimit
}

// RunSample generates one sample, checks its version labels and stores its text.
// It returns only records whose text is stored.
func (s *SampleRunner) RunSample(ctx context.Context, q ledger.SampleRequest) (ledger.SampleRecord, error) {
	record := ledger.SampleRecord{Group: q.Spec.ID, Index: q.Index, Attempt: q.Attempt}
	operation := strconv.FormatUint(rand.Uint64(), 16)
	req := &request{Origin: Origin{ID: "sample-" + operation, Caller: q.Trainer, Class: q.Class}}
	err := s.Router.run(ctx, req, func(ctx context.Context) error {
		if s.Texts.Full() {
			return verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "too many texts wait for the object store")
		}
		done, err := s.generate(ctx, req, q)
		if err != nil {
			return err
		}
		record.Tokens, record.Ranges, record.Backend = done.Tokens, done.Ranges, done.Backend
		record.ObjectKey = "samples/" + q.Trainer + "/" + q.Spec.ID + "/" + strconv.Itoa(q.Index) + "/" + operation
		return s.storeText(ctx, record.ObjectKey, done.Text)
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
	done, err := g.run(ctx)
	if err != nil {
		return CompletionResult{}, err
	}
	return done, checkSample(done, q.MinVersion)
}

// checkSample decides whether a sample may be delivered.
func checkSample(done CompletionResult, oldest ledger.Version) error {
	if err := ledger.CheckRanges(done.Ranges, done.Tokens); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonUnlabelled, "sample is not deliverable")
	}
	if v := ledger.Oldest(done.Ranges); v < oldest {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonVersionChanged, "sample is of version %d, older than %d", v, oldest)
	}
	return nil
}

// storeText writes the text until it succeeds or the time is over. The object is
// write-once under a key of its own, so a repetition after a lost response is
// harmless.
func (s *SampleRunner) storeText(ctx context.Context, key, text string) error {
	if !s.Texts.Acquire(len(text)) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "too many texts wait for the object store")
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
