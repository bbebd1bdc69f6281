package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/verdict"
)

func addressOf(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func generate(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return NewClient("").Generate(ctx, address, GenerateRequest{RequestID: "r"}, func(Chunk) error { return nil })
}

// TestNotRunOnlyIfNothingSent guards against verdict NotRun for a request that the
// server has received, and against MayHaveRun for a request that was never sent.
func TestNotRunOnlyIfNothingSent(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	require.Equal(t, verdict.NotRun, verdict.Of(generate(addressOf(closed))))

	var calls atomic.Int32
	cut := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer cut.Close()
	err := generate(addressOf(cut))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.Equal(t, verdict.ReasonConnectionLost, verdict.ReasonOf(err))
	require.EqualValues(t, 1, calls.Load(), "net/http repeated the request")
}

// TestNoRepeatOnReusedConnection guards against the automatic retry of net/http when
// the server has closed an idle connection that is used again.
func TestNoRepeatOnReusedConnection(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	c := NewClient("")
	_, err := c.State(context.Background(), addressOf(server))
	require.NoError(t, err)
	_, err = c.State(context.Background(), addressOf(server))
	require.Error(t, err)
	require.EqualValues(t, 2, calls.Load())
}

// TestRefusals guards against a refusal whose verdict or reason is lost.
func TestRefusals(t *testing.T) {
	body, status := "", 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	status, body = 503, `{"verdict":"not_run","reason":"leaving"}`
	err := generate(addressOf(server))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, verdict.ReasonBackendLeaving, verdict.ReasonOf(err))
	body = `{"verdict":"may_have_run"}`
	require.Equal(t, verdict.MayHaveRun, verdict.Of(generate(addressOf(server))))
	status = 409
	err = NewClient("").SendOrder(context.Background(), addressOf(server), Order{})
	require.Equal(t, verdict.ReasonStaleFence, verdict.ReasonOf(err))
	status, body = 200, strings.Repeat("x", MaxAnswerBytes+1)
	_, err = NewClient("").State(context.Background(), addressOf(server))
	require.Equal(t, verdict.ReasonBadAnswer, verdict.ReasonOf(err))
}
