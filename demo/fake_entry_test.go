package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/standin"
)

// fakeEntry is a minimal correct entry host in front of the real stand-ins of backend
// servers. It allows tests of the load and the verification without the system under test.
type fakeEntry struct {
	plan   Plan
	client *engine.Client

	mu      sync.Mutex
	groups  map[string][]ledger.GroupSpec
	batches map[string]standin.Batch
	// relabel replaces the weight version of every sample if it is not 0, which is a fault
	// that the verification must detect.
	relabel ledger.Version
}

func newFakeEntry(p Plan, orderToken string) *fakeEntry {
	return &fakeEntry{
		plan: p, client: engine.NewClient(orderToken),
		groups: make(map[string][]ledger.GroupSpec), batches: make(map[string]standin.Batch),
	}
}

func (f *fakeEntry) register(e *echo.Echo) {
	ok := func(c echo.Context) error { return c.JSON(http.StatusOK, map[string]any{}) }
	e.GET("/readyz", ok)
	e.PUT("/v1/config", ok)
	e.GET("/v1/status", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]any{"config": map[string]int{"version": 1}, "backends": f.plan.Hosts})
	})
	e.PUT("/v1/trainers/:name/version", ok)
	e.PUT("/v1/weights/:model", f.weights)
	e.POST("/v1/completions", f.completion)
	e.Any("/services/:route/*", f.service)
	e.POST("/v1/trainers/:name/groups", f.submit)
	e.POST("/v1/trainers/:name/pull", f.pull)
}

func (f *fakeEntry) addresses(kind, model string) (found []string) {
	for _, h := range f.plan.Hosts {
		if h.Kind == kind && h.Model == model {
			found = append(found, h.Address)
		}
	}
	return found
}

func (f *fakeEntry) weights(c echo.Context) error {
	var body struct {
		Version ledger.Version `json:"version"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	for _, address := range f.addresses("engine", c.Param("model")) {
		order := engine.Order{Model: c.Param("model"), OrderID: fmt.Sprint(body.Version), Active: body.Version}
		if err := f.client.SendOrder(c.Request().Context(), address, order); err != nil {
			return err
		}
	}
	return c.JSON(http.StatusOK, map[string]any{})
}

func (f *fakeEntry) generate(ctx context.Context, id, model, prompt string, maxTokens int) (string, []ledger.Range, error) {
	var text strings.Builder
	var ranges []ledger.Range
	r := engine.GenerateRequest{RequestID: id, Model: model, Prompt: prompt, MaxTokens: maxTokens}
	addresses := f.addresses("engine", model)
	err := f.client.Generate(ctx, addresses[len(id)%len(addresses)], r, func(chunk engine.Chunk) error {
		text.WriteString(chunk.Text)
		ranges = ledger.AppendRange(ranges, len(chunk.Tokens), chunk.Version)
		return nil
	})
	return text.String(), ranges, err
}

func (f *fakeEntry) completion(c echo.Context) error {
	var body struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	text, ranges, err := f.generate(c.Request().Context(), c.Request().Header.Get("X-Request-Id"), body.Model, body.Prompt, body.MaxTokens)
	if err != nil {
		return err
	}
	answer := echo.Map{"choices": []echo.Map{{"text": text}}, "lavender": echo.Map{"ranges": ranges}}
	if !body.Stream {
		return c.JSON(http.StatusOK, answer)
	}
	c.Response().Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(c.Response(), "data: ")
	if err := c.JSON(http.StatusOK, answer); err != nil {
		return err
	}
	_, err = io.WriteString(c.Response(), "\ndata: [DONE]\n\n")
	return err
}

func (f *fakeEntry) service(c echo.Context) error {
	url := "http://" + f.addresses("service", plainService)[0] + "/" + c.Param("*")
	req, err := http.NewRequestWithContext(c.Request().Context(), c.Request().Method, url, c.Request().Body)
	if err != nil {
		return err
	}
	req.Header = c.Request().Header.Clone()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return c.Stream(resp.StatusCode, "text/plain", resp.Body)
}

func (f *fakeEntry) submit(c echo.Context) error {
	var body struct {
		Groups []ledger.GroupSpec `json:"groups"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.groups[c.Param("name")] = append(f.groups[c.Param("name")], body.Groups...)
	return c.JSON(http.StatusOK, echo.Map{})
}

func (f *fakeEntry) pull(c echo.Context) error {
	var body struct {
		Step   int64 `json:"step"`
		Groups int   `json:"groups"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	name := c.Param("name")
	f.mu.Lock()
	defer f.mu.Unlock()
	id := fmt.Sprintf("%s/%d/1", name, body.Step)
	if batch, ok := f.batches[id]; ok {
		return c.JSON(http.StatusOK, batch)
	}
	batch := standin.Batch{BatchID: id, Step: body.Step, Attempt: 1}
	for _, spec := range f.groups[name][:body.Groups] {
		samples, err := f.samples(c.Request().Context(), spec)
		if err != nil {
			return err
		}
		batch.Samples = append(batch.Samples, samples...)
	}
	f.groups[name] = f.groups[name][body.Groups:]
	f.batches[id] = batch
	return c.JSON(http.StatusOK, batch)
}

func (f *fakeEntry) samples(ctx context.Context, spec ledger.GroupSpec) ([]standin.BatchSample, error) {
	samples := make([]standin.BatchSample, spec.Samples)
	failures := make([]error, spec.Samples)
	var wg sync.WaitGroup
	for i := range samples {
		wg.Go(func() { samples[i], failures[i] = f.sample(ctx, spec, i) })
	}
	wg.Wait()
	return samples, errors.Join(failures...)
}

func (f *fakeEntry) sample(ctx context.Context, spec ledger.GroupSpec, i int) (standin.BatchSample, error) {
	s := standin.BatchSample{Group: spec.ID, Index: i}
	var err error
	if s.Text, s.Ranges, err = f.generate(ctx, fmt.Sprintf("%s-%d", spec.ID, i), spec.Model, spec.Prompt, spec.MaxTokens); err != nil {
		return s, err
	}
	if f.relabel != 0 {
		s.Ranges[0].Version = f.relabel
	}
	request := engine.ScoreRequest{Group: spec.ID, Samples: []engine.ScoreSample{{Text: s.Text}}}
	scores, err := f.client.Score(ctx, f.addresses("scoring", spec.Scorer)[0], request)
	if err == nil {
		s.Score = scores[0]
	}
	return s, err
}
