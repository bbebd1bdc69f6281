package standin

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"
)

// TestServiceLedgerCountsExecutions guards against a ledger that differs from the
// executions. Verify relies on it to detect repeated and lost claims.
func TestServiceLedgerCountsExecutions(t *testing.T) {
	exited := 0
	plain := NewPlainService(ServiceOptions{Name: "s1", Exit: func(int) { exited++ }})
	url := serveRoutes(t, plain.Register)
	post := func(f ServiceFaults) (status, runs int, answer string) {
		postFaults(t, url, f)
		before := len(plain.options.Journal.Entries())
		// Each request uses a new connection. If a kept-alive connection breaks,
		// net/http repeats a request that has an Idempotency-Key.
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/claims", strings.NewReader("b"))
		require.NoError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		if resp, err := client.Do(req); err == nil {
			body, _ := io.ReadAll(resp.Body)
			require.NoError(t, resp.Body.Close())
			status, answer = resp.StatusCode, string(body)
		}
		return status, len(plain.options.Journal.Entries()) - before, answer
	}
	for _, c := range []struct {
		faults       ServiceFaults
		status, runs int
	}{
		{ServiceFaults{}, 200, 1},
		{ServiceFaults{CutBeforeRun: 1}, 0, 0},
		{ServiceFaults{CutAfterRun: 1}, 0, 1},
		{ServiceFaults{Refuse: 1}, 503, 0},
		{ServiceFaults{Fail: 1}, 500, 1},
		{ServiceFaults{Leaving: true}, 503, 0},
	} {
		status, runs, _ := post(c.faults)
		require.Equal(t, c.status, status, "%+v", c.faults)
		require.Equal(t, c.runs, runs, "%+v", c.faults)
	}
	_, _, answer := post(ServiceFaults{CrashAfterAccept: 1})
	require.Equal(t, ServiceAnswer("POST", "/claims", []byte("b")), answer)
	require.Equal(t, 1, exited)
}

// TestBalancerFollowsReadiness guards against requests that are sent to a host
// that is not ready, and against a truncated response that reaches the client as a
// complete one.
func TestBalancerFollowsReadiness(t *testing.T) {
	ready := serveRoutes(t, func(e *echo.Echo) {
		e.GET("/readyz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
		e.GET("/ok", func(c echo.Context) error { return c.String(http.StatusOK, "ok") })
		e.GET("/cut", func(c echo.Context) error {
			_, _ = c.Response().Write([]byte("half"))
			c.Response().Flush()
			panic(http.ErrAbortHandler)
		})
	})
	draining := serveRoutes(t, func(e *echo.Echo) {
		e.GET("/readyz", func(c echo.Context) error { return c.NoContent(http.StatusServiceUnavailable) })
	})
	b := NewBalancer(BalancerOptions{
		Hosts: []string{strings.TrimPrefix(draining, "http://"), strings.TrimPrefix(ready, "http://")}, Lag: 10 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = b.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	url := serveRoutes(t, b.Register)
	get := func(path string) (int, error) {
		resp, err := http.Get(url + path)
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
		return resp.StatusCode, err
	}
	require.Eventually(t, func() bool { status, _ := get("/ok"); return status == http.StatusOK }, 2*time.Second, 10*time.Millisecond)
	for range 10 {
		status, err := get("/ok")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	_, err := get("/cut")
	require.Error(t, err)
}
