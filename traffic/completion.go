package traffic

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// maxPromptBlocks bounds the number of blocks of a prompt that are hashed to find
// cached prefixes: 64 blocks are 4 KiB.
const maxPromptBlocks = 64

// priorityStep is the distance between the engine priorities of two adjacent classes.
// It leaves room for the urgent samples of the lower class.
const priorityStep = 2

// CompletionRequest is a request for one completion.
type CompletionRequest struct {
	Origin
	Model       string
	Prompt      string
	MaxTokens   int
	OnlyVersion ledger.Version // 0 accepts any version
}

// Part is a piece of a completion. The parts of a completion are in order and have
// neither gaps nor overlaps.
type Part struct {
	Text    string
	Tokens  int // number of tokens
	Version ledger.Version
}

// CompletionResult is a finished completion.
type CompletionResult struct {
	Text         string
	Tokens       int
	Ranges       []ledger.Range
	FinishReason string
	Backend      string // the backend that sent the final chunk
	Attempts     int
}

// Complete generates a completion. emit, if set, receives each part as soon as
// it is in order. An error from emit means that the caller has disconnected.
func (r *Router) Complete(ctx context.Context, c CompletionRequest, emit func(Part) error) (CompletionResult, error) {
	var result CompletionResult
	req := &request{Origin: c.Origin}
	err := r.run(ctx, req, func(ctx context.Context) error {
		if err := r.admit(ctx, req); err != nil {
			return err
		}
		if err := req.classify(c.Class); err != nil {
			return err
		}
		g, err := r.newGeneration(req, c)
		if err != nil {
			return err
		}
		g.emit = emit
		result, err = g.run(ctx)
		return err
	})
	return result, err
}

// generation is the state of one completion over all its attempts.
type generation struct {
	router    *Router
	req       *request
	spec      CompletionRequest
	assembler *Assembler
	emit      func(Part) error
	priority  int
	id        string // unique, unlike the request id chosen by the caller
	backend   string
}

func (r *Router) newGeneration(req *request, c CompletionRequest) (*generation, error) {
	if c.MaxTokens <= 0 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "max_tokens must be positive")
	}
	if r.Engines == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoBackend, "no engine client is configured")
	}
	if req.plan.Models[c.Model] == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownModel, "no engine serves model %q", c.Model)
	}
	req.idempotent = true // generation has no side effect
	req.tokens = float64(c.MaxTokens)
	req.selectPool = func(p *plan.Plan) *plan.Pool { return p.Models[c.Model] }
	req.query.Zone, req.query.OnlyVersion = r.Zone, c.OnlyVersion
	req.query.Hashes = engine.PrefixHashes(nil, c.Prompt[:min(len(c.Prompt), maxPromptBlocks*engine.PrefixBlockBytes)])
	r.retryBudgets.earn(req.class.Name)
	return &generation{
		router: r, req: req, spec: c, id: req.ID + "." + strconv.FormatUint(rand.Uint64(), 36), priority: req.class.Priority * priorityStep,
		assembler: NewAssembler(c.MaxTokens, c.OnlyVersion),
	}, nil
}

func (g *generation) run(ctx context.Context) (CompletionResult, error) {
	if err := g.router.sendWithRetries(ctx, g.req, g.stream); err != nil {
		return CompletionResult{}, err
	}
	return CompletionResult{
		Text: g.assembler.Text(), Tokens: len(g.assembler.Tokens()), Ranges: g.assembler.Ranges(),
		FinishReason: g.assembler.FinishReason(), Backend: g.backend, Attempts: g.req.attempts,
	}, nil
}

// stream makes one attempt on b that continues the accepted prefix.
func (g *generation) stream(ctx context.Context, b *plan.Backend) error {
	ctx, cancel := context.WithCancel(ctx) // ends the engine's stream on every return
	defer cancel()
	r := g.router
	r.post(event.PrefixSent{Backend: b.Name, Hashes: g.req.query.Hashes})
	// The id contains the attempt number, so that a late chunk of an earlier
	// attempt is detected.
	id := g.id + "." + strconv.Itoa(g.req.attempts)
	g.assembler.Begin(id)
	g.backend = b.Name
	var chunkErr error
	err := r.Engines.Generate(ctx, b.Address, g.engineRequest(ctx, id), func(c engine.Chunk) error {
		chunkErr = g.addChunk(c)
		return chunkErr
	})
	if chunkErr != nil {
		err = chunkErr
	}
	if err == nil {
		err = g.assembler.End()
	}
	return g.handleAttemptError(err)
}

func (g *generation) engineRequest(ctx context.Context, id string) engine.GenerateRequest {
	m := engine.GenerateRequest{
		RequestID: id, Model: g.spec.Model, Prompt: g.spec.Prompt, MaxTokens: g.spec.MaxTokens,
		Priority: g.priority, PrefixTokens: g.assembler.Tokens(), OnlyVersion: g.spec.OnlyVersion,
	}
	if deadline, ok := ctx.Deadline(); ok {
		m.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	}
	return m
}

func (g *generation) addChunk(c engine.Chunk) error {
	ready, err := g.assembler.Add(c)
	if err != nil || g.emit == nil {
		return err
	}
	for _, part := range ready {
		if len(part.Tokens) == 0 {
			continue
		}
		if emitErr := g.emit(Part{Text: part.Text, Tokens: len(part.Tokens), Version: part.Version}); emitErr != nil {
			return verdict.Wrap(emitErr, verdict.MayHaveRun, verdict.ReasonCanceled, "the caller has disconnected")
		}
	}
	return nil
}

// handleAttemptError decides what to keep of the accepted prefix after an attempt
// that ended with err. A stream with a foreign, unlabelled or inconsistent chunk
// cannot be trusted, so the next attempt starts from an empty prefix. If parts were
// already emitted to the caller, they cannot be taken back, so the request fails
// without another attempt.
func (g *generation) handleAttemptError(err error) error {
	if err == nil {
		return nil
	}
	switch verdict.ReasonOf(err) {
	case verdict.ReasonUnlabelled, verdict.ReasonForeignAnswer, verdict.ReasonBadAnswer:
		if g.emit == nil {
			g.assembler.Reset()
		} else if len(g.assembler.Tokens()) > 0 {
			g.req.idempotent = false
		}
	}
	return err
}
