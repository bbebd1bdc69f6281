package api_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/traffic"
)

// tokensPerChunk is the number of tokens in a chunk of the stand-in engine.
const tokensPerChunk = 8

// startStreamingEngine starts an engine that streams max_tokens tokens and flushes each
// chunk. It returns the engine's address.
func startStreamingEngine(b *testing.B) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req engine.GenerateRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		w.Header().Set("Content-Type", "text/event-stream")
		for at := 0; at < req.MaxTokens; at += tokensPerChunk {
			c := engine.Chunk{RequestID: req.RequestID, BootID: "engine-1-1889f0c2b1a4e3d7", Offset: at, Text: " eight tokens of about four bytes", Version: 7}
			for i := range tokensPerChunk {
				c.Tokens = append(c.Tokens, 10000+at+i)
			}
			if c.Done = at+tokensPerChunk >= req.MaxTokens; c.Done {
				c.FinishReason = "length"
			}
			data, _ := json.Marshal(c)
			_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
			w.(http.Flusher).Flush()
		}
	}))
	b.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startEntryHost starts the HTTP interface of an entry host with one engine and returns
// its URL.
func startEntryHost(b *testing.B, address string) string {
	pool := &plan.Pool{Next: new(atomic.Uint64), Backends: []plan.Backend{{
		Name: "b", Address: address, Version: 7, Report: plan.Report{Slots: 64}, Counters: new(plan.Counters)}}}
	plans := new(plan.AtomicPlan)
	plans.Publish(&plan.Plan{ConfigVersion: 1, ValidUntil: math.MaxInt64, Models: map[string]*plan.Pool{"dial": pool}})
	client := engine.NewClient("")
	b.Cleanup(client.CloseIdle)
	router := traffic.NewRouter(traffic.Options{Plans: plans, Clock: func() time.Duration { return 0 }, Engines: client})
	e := echo.New()
	(&api.CallerHandlers{Router: router, MaxBodyBytes: 1 << 20, RequestTimeout: time.Minute}).Register(e)
	server := httptest.NewServer(e)
	b.Cleanup(server.Close)
	return server.URL
}

// cpuTime returns the CPU time that the process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStream reports the CPU time of a streamed completion and the bytes that
// the caller receives, both directly from the engine and through an entry host. The
// difference is the cost of the entry host's engine client and HTTP interface.
func BenchmarkStream(b *testing.B) {
	address := startStreamingEngine(b)
	entryURL := startEntryHost(b, address)
	for _, chunks := range []int{1, 64, 512} {
		for name, url := range map[string]string{"direct": "http://" + address + "/v1/generate", "entry": entryURL + "/v1/completions"} {
			b.Run(fmt.Sprintf("%s/chunks=%d", name, chunks), func(b *testing.B) {
				body := fmt.Sprintf(`{"request_id":"0123456789abcdef01234567","model":"dial","prompt":%q,"max_tokens":%d,"stream":true}`,
					strings.Repeat("p", 1024), chunks*tokensPerChunk)
				var received int64
				start := cpuTime()
				for b.Loop() {
					resp, err := http.Post(url, "application/json", strings.NewReader(body))
					require.NoError(b, err)
					n, err := io.Copy(io.Discard, resp.Body)
					require.NoError(b, err)
					require.Equal(b, http.StatusOK, resp.StatusCode)
					_ = resp.Body.Close()
					received += n
				}
				b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(b.N), "core-us/request")
				b.ReportMetric(float64(received)/float64(b.N), "B/request")
			})
		}
	}
}
