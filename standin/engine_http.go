package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/engine"
)

// maxCompletionTokens is the largest max_tokens of a request.
const maxCompletionTokens = 1 << 16

// Register adds the engine's routes.
func (e *Engine) Register(r *echo.Echo) {
	r.POST("/v1/generate", e.generate)
	r.POST("/v1/cancel", e.cancelRequest)
	r.PUT("/v1/wanted", e.setOrder)
	r.GET("/v1/state", e.state)
	r.GET("/v1/cache-events", e.cacheEvents)
	r.POST("/v1/kv/export", e.exportKV)
	r.POST("/v1/kv/import", e.importKV)
	r.GET("/admin/ledger", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]any{"entries": e.options.Journal.Entries()})
	})
	r.POST("/admin/faults", e.setFaults)
}

func (e *Engine) generate(c echo.Context) error {
	var request engine.GenerateRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	if problem := checkGenerate(request); problem != "" {
		return c.JSON(http.StatusBadRequest, map[string]string{"reason": problem})
	}
	var accepted *sequence
	var reason string
	var faults EngineFaults
	ctx := c.Request().Context()
	// This wait does not end with ctx. An accepted completion therefore always
	// gets a chunkWriter, which cancels it when ctx ends.
	e.do(context.WithoutCancel(ctx), func(t *engineTables) {
		if accepted, reason = e.accept(t, request); accepted != nil {
			faults = t.faults.takeStream()
		}
	})
	if accepted == nil {
		return c.JSON(http.StatusServiceUnavailable, engine.Refusal{Verdict: "not_run", Reason: reason})
	}
	(&chunkWriter{engine: e, w: c.Response(), faults: faults}).stream(ctx, accepted)
	return nil
}

// checkGenerate returns the reason for which a request is invalid, or "".
func checkGenerate(r engine.GenerateRequest) string {
	if r.RequestID == "" || r.MaxTokens <= 0 || r.MaxTokens > maxCompletionTokens {
		return "bad_request"
	}
	if total, _ := CompletionLength(r.Prompt, r.MaxTokens); len(r.PrefixTokens) > total {
		return "bad_prefix"
	}
	for i, token := range r.PrefixTokens {
		if token != Token(r.Prompt, i) {
			return "bad_prefix"
		}
	}
	return ""
}

// cancel asks the owner of the tables to end a completion. It does not wait
// until that is done.
func (e *Engine) cancel(requestID string) {
	cancel := func(t *engineTables) {
		if s := t.find(requestID); s != nil {
			e.end(s, false, "canceled")
		}
	}
	select {
	case e.inbox <- cancel:
	case <-e.done:
	}
}

func (e *Engine) cancelRequest(c echo.Context) error {
	var request engine.CancelRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	e.cancel(request.RequestID)
	return c.JSON(http.StatusOK, map[string]string{})
}

func (e *Engine) setOrder(c echo.Context) error {
	var order engine.Order
	if err := c.Bind(&order); err != nil {
		return err
	}
	var status int
	var reason string
	token := c.Request().Header.Get(echo.HeaderAuthorization)
	if !e.do(c.Request().Context(), func(t *engineTables) { status, reason = e.applyOrder(t, order, token) }) {
		return echo.ErrServiceUnavailable
	}
	return c.JSON(status, map[string]string{"reason": reason})
}

func (e *Engine) state(c echo.Context) error {
	var report engine.State
	if !e.do(c.Request().Context(), func(t *engineTables) {
		report = t.report
		report.AgeMS = (time.Since(e.start) - t.reportedAt).Milliseconds()
	}) {
		return echo.ErrServiceUnavailable
	}
	return c.JSON(http.StatusOK, report)
}

func (e *Engine) cacheEvents(c echo.Context) error {
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	var page engine.CacheEvents
	e.do(c.Request().Context(), func(t *engineTables) {
		page = t.cache.page(after, time.Since(e.start)-e.options.EventDelay)
	})
	return c.JSON(http.StatusOK, page)
}

// kvEntry is the fake engine's format of an exported KV cache entry.
type kvEntry struct {
	Model  string   `json:"model"`
	Hashes []uint64 `json:"hashes"`
}

func (e *Engine) exportKV(c echo.Context) error {
	var request engine.KVRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	entry := kvEntry{Model: e.options.Model}
	e.do(c.Request().Context(), func(t *engineTables) {
		for _, hash := range engine.PrefixHashes(nil, request.Prompt) {
			if t.cache.blocks[hash] == nil {
				return
			}
			entry.Hashes = append(entry.Hashes, hash)
		}
	})
	if len(entry.Hashes) == 0 || request.Model != e.options.Model {
		return c.JSON(http.StatusNotFound, map[string]string{"reason": "not_cached"})
	}
	return c.JSON(http.StatusOK, entry)
}

func (e *Engine) importKV(c echo.Context) error {
	var entry kvEntry
	if err := c.Bind(&entry); err != nil {
		return err
	}
	if entry.Model != e.options.Model {
		return c.JSON(http.StatusBadRequest, map[string]string{"reason": "unknown_model"})
	}
	e.do(c.Request().Context(), func(t *engineTables) {
		t.cache.use(entry.Hashes, time.Since(e.start), func() bool { return false })
	})
	return c.JSON(http.StatusOK, map[string]string{})
}

func (e *Engine) setFaults(c echo.Context) error {
	var faults EngineFaults
	if err := decodeFaults(c, &faults); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	e.do(c.Request().Context(), func(t *engineTables) { t.faults = faults })
	return c.JSON(http.StatusOK, faults)
}
