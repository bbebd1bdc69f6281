package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/verdict"
)

type testEngine struct {
	t       *testing.T
	url     string
	address string
	journal *Journal
	client  *engine.Client
}

func serveRoutes(t *testing.T, register func(*echo.Echo)) string {
	e := echo.New()
	register(e)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server.URL
}

func startEngine(t *testing.T, o EngineOptions) *testEngine {
	o.Name, o.Model, o.Journal = "e1", "m", new(Journal)
	setDefault(&o.Version, 1)
	e := NewEngine(o)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = e.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	url := serveRoutes(t, e.Register)
	return &testEngine{t: t, url: url, address: strings.TrimPrefix(url, "http://"), journal: o.Journal, client: engine.NewClient(o.IssuerToken)}
}

func (r *testEngine) faults(f any) { postFaults(r.t, r.url, f) }

func postFaults(t *testing.T, url string, f any) {
	body, err := json.Marshal(f)
	require.NoError(t, err)
	resp, err := http.Post(url+"/admin/faults", "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

func (r *testEngine) generate(g engine.GenerateRequest, fn func(engine.Chunk)) ([]engine.Chunk, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var chunks []engine.Chunk
	g.Model = "m"
	err := r.client.Generate(ctx, r.address, g, func(c engine.Chunk) error {
		chunks = append(chunks, c)
		if fn != nil {
			fn(c)
		}
		return nil
	})
	return chunks, err
}

// longPrompt returns a prompt whose completion has at least n tokens.
func longPrompt(n int) string {
	for i := 0; ; i++ {
		prompt := strings.Repeat("p", i)
		if length, _ := CompletionLength(prompt, n); length >= n {
			return prompt
		}
	}
}

func rangesOf(chunks []engine.Chunk) (ranges []ledger.Range, tokens []int) {
	for _, c := range chunks {
		ranges = ledger.AppendRange(ranges, len(c.Tokens), c.Version)
		tokens = append(tokens, c.Tokens...)
	}
	return ranges, tokens
}

// TestWeightSwapLabels guards against chunks whose version differs from the one in
// the ledger when the active weights change during a completion.
func TestWeightSwapLabels(t *testing.T) {
	r := startEngine(t, EngineOptions{LoadDuration: time.Millisecond, TokensPerSecond: 400})
	prompt := longPrompt(200)
	ordered := false
	chunks, err := r.generate(engine.GenerateRequest{RequestID: "r", Prompt: prompt, MaxTokens: 200}, func(engine.Chunk) {
		if !ordered {
			ordered = true
			require.NoError(t, r.client.SendOrder(context.Background(), r.address, engine.Order{Model: "m", OrderID: "o", Preload: 2, Active: 2}))
		}
	})
	require.NoError(t, err)
	ranges, tokens := rangesOf(chunks)
	require.Equal(t, Completion(prompt, 200), tokens)
	require.Len(t, ranges, 2)
	require.NoError(t, CheckLabels(Runs(r.journal.Entries())[PromptID(prompt)], ranges, 200))
	ranges[0].To--
	ranges[1].From--
	require.Error(t, CheckLabels(Runs(r.journal.Entries())[PromptID(prompt)], ranges, 200))
}

// TestResumeOnAnotherServer guards against missing or duplicate tokens when a
// stream that broke off is resumed from its prefix on another server.
func TestResumeOnAnotherServer(t *testing.T) {
	first := startEngine(t, EngineOptions{TokensPerSecond: 2000})
	second := startEngine(t, EngineOptions{Version: 2, TokensPerSecond: 2000})
	prompt := longPrompt(100)
	first.faults(EngineFaults{Streams: 1, CutAfterChunks: 3})
	request := engine.GenerateRequest{RequestID: "r", Prompt: prompt, MaxTokens: 100}
	before, err := first.generate(request, nil)
	require.Equal(t, verdict.ReasonTruncatedAnswer, verdict.ReasonOf(err))
	_, request.PrefixTokens = rangesOf(before)
	require.NotEmpty(t, request.PrefixTokens)
	after, err := second.generate(request, nil)
	require.NoError(t, err)
	ranges, tokens := rangesOf(append(before, after...))
	require.Equal(t, Completion(prompt, 100), tokens)
	runs := Runs(append(first.journal.Entries(), second.journal.Entries()...))[PromptID(prompt)]
	require.NoError(t, CheckLabels(runs, ranges, 100))
	require.Error(t, CheckLabels(runs, []ledger.Range{{From: 0, To: 100, Version: 2}}, 100))
}

// TestOrderChecks guards against an engine that accepts an order with a stale
// fencing token or a wrong issuer token although these checks are enabled.
func TestOrderChecks(t *testing.T) {
	r := startEngine(t, EngineOptions{ChecksFence: true, IssuerToken: "secret"})
	order := func(c *engine.Client, fence uint64) verdict.Reason {
		return verdict.ReasonOf(c.SendOrder(context.Background(), r.address, engine.Order{Model: "m", Fence: fence, OrderID: "o"}))
	}
	require.NoError(t, r.client.SendOrder(context.Background(), r.address, engine.Order{Model: "m", Fence: 5}))
	require.Equal(t, verdict.ReasonStaleFence, order(r.client, 4))
	require.Equal(t, verdict.ReasonForbidden, order(engine.NewClient("other"), 6))
	free := startEngine(t, EngineOptions{})
	require.NoError(t, free.client.SendOrder(context.Background(), free.address, engine.Order{Model: "m", Fence: 5}))
	require.NoError(t, free.client.SendOrder(context.Background(), free.address, engine.Order{Model: "m", Fence: 4}))
}

// TestStreamFaults guards against faults that have no effect. Tests that inject
// them would then pass without testing anything.
func TestStreamFaults(t *testing.T) {
	r := startEngine(t, EngineOptions{TokensPerSecond: 5000})
	request := engine.GenerateRequest{RequestID: "r", Prompt: longPrompt(64), MaxTokens: 64}
	run := func(f EngineFaults) ([]engine.Chunk, verdict.Reason) {
		f.Streams = 1
		r.faults(f)
		chunks, err := r.generate(request, nil)
		return chunks, verdict.ReasonOf(err)
	}
	_, reason := run(EngineFaults{Truncate: true})
	require.Equal(t, verdict.ReasonTruncatedAnswer, reason)
	_, reason = run(EngineFaults{ForeignRequestID: "x"})
	require.Equal(t, verdict.ReasonForeignAnswer, reason)
	_, reason = run(EngineFaults{Refuse: 1})
	require.Equal(t, verdict.ReasonBackendRefused, reason)
	chunks, _ := run(EngineFaults{Reorder: true})
	require.Greater(t, chunks[0].Offset, chunks[1].Offset)
	require.Len(t, chunks, 8)
	chunks, _ = run(EngineFaults{DuplicateChunks: true})
	require.Equal(t, chunks[0], chunks[1])
	chunks, _ = run(EngineFaults{OmitVersion: true})
	require.Zero(t, chunks[0].Version)
	chunks, _ = run(EngineFaults{WrongVersion: 9})
	require.EqualValues(t, 9, chunks[0].Version)
	chunks, err := r.generate(request, nil)
	require.NoError(t, err)
	require.EqualValues(t, 1, chunks[0].Version, "stream faults must end after Streams completions")
}

// TestLoadFailureAndReports guards against a failed load after which the version
// is reported as loaded, and against reports that change although they are frozen.
func TestLoadFailureAndReports(t *testing.T) {
	r := startEngine(t, EngineOptions{LoadDuration: time.Millisecond, MaxReportAge: time.Millisecond})
	r.faults(EngineFaults{LoadFailures: 1})
	state := func() engine.State {
		s, err := r.client.State(context.Background(), r.address)
		require.NoError(t, err)
		return s
	}
	order := func(id string) {
		require.NoError(t, r.client.SendOrder(context.Background(), r.address, engine.Order{Model: "m", OrderID: id, Active: 2}))
	}
	order("a")
	require.Eventually(t, func() bool { return state().LoadFailures == 1 }, 2*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 1, state().Active)
	r.faults(EngineFaults{FreezeReports: true})
	order("b")
	time.Sleep(300 * time.Millisecond)
	require.EqualValues(t, 1, state().Active)
	r.faults(EngineFaults{Leaving: true})
	require.Eventually(t, func() bool { s := state(); return s.Active == 2 && s.Leaving }, 2*time.Second, 10*time.Millisecond)
	_, err := r.generate(engine.GenerateRequest{RequestID: "r", MaxTokens: 1}, nil)
	require.Equal(t, verdict.ReasonBackendLeaving, verdict.ReasonOf(err))
}

// TestOnlyVersionAndCancel guards against a completion that continues with other
// weights although its caller asked for a single version, and against a canceled
// completion that keeps its slot.
func TestOnlyVersionAndCancel(t *testing.T) {
	r := startEngine(t, EngineOptions{TokensPerSecond: 50, LoadDuration: time.Millisecond})
	request := engine.GenerateRequest{RequestID: "r", Prompt: longPrompt(500), MaxTokens: 500, OnlyVersion: 2}
	_, err := r.generate(request, nil)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	request.OnlyVersion = 1
	_, err = r.generate(request, func(engine.Chunk) {
		require.NoError(t, r.client.SendOrder(context.Background(), r.address, engine.Order{Model: "m", OrderID: "o", Active: 2}))
	})
	require.Equal(t, verdict.ReasonTruncatedAnswer, verdict.ReasonOf(err))
	request.OnlyVersion = 0
	_, err = r.generate(request, func(engine.Chunk) {
		require.NoError(t, r.client.Cancel(context.Background(), r.address, "r"))
	})
	require.Equal(t, verdict.ReasonTruncatedAnswer, verdict.ReasonOf(err))
}
