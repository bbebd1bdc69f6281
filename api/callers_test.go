package api_test

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/traffic"
	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// fakeEngine sends two chunks. If broken is set, it fails after the first chunk.
type fakeEngine struct {
	broken bool
	last   atomic.Pointer[engine.GenerateRequest]
}

func (f *fakeEngine) Generate(_ context.Context, _ string, req engine.GenerateRequest, onChunk func(engine.Chunk) error) error {
	f.last.Store(&req)
	c := engine.Chunk{RequestID: req.RequestID, BootID: "b", Tokens: []int{1, 2}, Text: "oak ", Version: 7}
	if err := onChunk(c); err != nil {
		return err
	}
	if f.broken {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "stream broke")
	}
	c.Offset, c.Tokens, c.Text, c.Done, c.FinishReason = 2, []int{3}, "beam", true, "stop"
	return onChunk(c)
}

type fakeClaims struct{ caller, key string }

func (s *fakeClaims) Claim(_ context.Context, caller, _, key, _ string) (traffic.ClaimOutcome, error) {
	s.caller, s.key = caller, key
	return traffic.ClaimOutcome{State: traffic.ClaimFinished, Stored: traffic.Reply{Status: http.StatusCreated, Body: []byte("stored")}}, nil
}

func newServer(t *testing.T, e traffic.Generator, c traffic.Claimer) string {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-From", "service")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.EscapedPath()+"?"+r.URL.RawQuery+" "+r.Header.Get("X-Request-Id"))
	}))
	t.Cleanup(service.Close)
	pool := &plan.Pool{Next: new(atomic.Uint64), Backends: []plan.Backend{{
		Name: "b", Address: service.Listener.Addr().String(), Version: 7, Counters: new(plan.Counters)}}}
	plans := new(plan.AtomicPlan)
	plans.Publish(&plan.Plan{
		ConfigVersion: 1, ValidUntil: math.MaxInt64,
		Models: map[string]*plan.Pool{"dial": pool}, Services: map[string]*plan.Pool{"faults": pool},
		Routes: map[string]plan.RouteConfig{"read": {Service: "faults", Idempotent: true}, "report": {Service: "faults"}},
	})
	router := traffic.NewRouter(traffic.Options{
		Plans: plans, Clock: func() time.Duration { return 0 }, Engines: e, Claims: c,
		Sender: &traffic.Sender{Client: transport.NewClient(), MaxAnswerBytes: 1 << 20}})
	front := echo.New()
	front.HTTPErrorHandler = api.HandleError
	(&api.CallerHandlers{Router: router, MaxBodyBytes: 500, RequestTimeout: time.Minute}).Register(front, func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			c.Set(api.PrincipalKey, c.Request().Header.Get("X-Test-Principal"))
			return next(c)
		}
	})
	api.RegisterHealth(front, func() error { return verdict.New(verdict.NotRun, verdict.ReasonDraining, "stopping") })
	server := httptest.NewServer(front)
	t.Cleanup(server.Close)
	return server.URL
}

func call(t *testing.T, method, url, body string, headers ...string) (int, http.Header, string) {
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, resp.Header, string(data)
}

// TestCompletionFormats guards against responses that clients of completion APIs
// cannot read, and against responses without the request id or the weight versions.
func TestCompletionFormats(t *testing.T) {
	fake := new(fakeEngine)
	url := newServer(t, fake, nil)
	status, header, body := call(t, "POST", url+"/v1/completions", `{"model":"dial","prompt":"p","max_tokens":9}`, "X-Request-Id", "q1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "q1", header.Get("X-Request-Id"))
	var answer map[string]any
	require.NoError(t, json.Unmarshal([]byte(body), &answer))
	delete(answer, "created")
	text, _ := json.Marshal(answer)
	require.JSONEq(t, `{"id":"q1","object":"text_completion","model":"dial","choices":[{"index":0,"text":"oak beam","finish_reason":"stop"}],
		"usage":{"completion_tokens":3},"lavender":{"request_id":"q1","ranges":[{"from":0,"to":3,"version":7}]}}`, string(text))

	chat := `{"model":"dial","messages":[{"role":"user","content":"hi"}],"stream":true}`
	_, header, body = call(t, "POST", url+"/v1/chat/completions", chat)
	require.NotEmpty(t, header.Get("X-Request-Id"))
	require.Equal(t, "text/event-stream", header.Get("Content-Type"))
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	require.Len(t, events, 4)
	require.Contains(t, events[0], `"delta":{"content":"oak "},"finish_reason":null`)
	require.Contains(t, events[2], `"finish_reason":"stop"`)
	require.Contains(t, events[2], `"ranges":[{"from":0,"to":3,"version":7}]`)
	require.Equal(t, "data: [DONE]", events[3])
	require.Equal(t, "user: hi\nassistant: ", fake.last.Load().Prompt)
}

// TestBrokenStreamIsNotTakenForComplete guards against a stream that ends like a
// complete stream although its engines failed.
func TestBrokenStreamIsNotTakenForComplete(t *testing.T) {
	url := newServer(t, &fakeEngine{broken: true}, nil)
	status, _, body := call(t, "POST", url+"/v1/completions", `{"model":"dial","prompt":"p","stream":true}`)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"verdict":"may_have_run"`)
	require.NotContains(t, body, "[DONE]")
	status, _, _ = call(t, "POST", url+"/v1/completions", `{"model":"dial","prompt":"p"}`)
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// TestRefusedRequests guards against wrong status codes, and against a response
// without the verdict not_run to a request that was refused before it was sent to a
// backend server.
func TestRefusedRequests(t *testing.T) {
	url := newServer(t, new(fakeEngine), nil)
	good := `{"model":"dial","prompt":"p"}`
	for _, test := range []struct {
		path, body, header, value string
		status                    int
		reason                    verdict.Reason
	}{
		{"/v1/completions", `{"model":`, "", "", 400, verdict.ReasonBadRequest},
		{"/v1/completions", `{"model":"dial"}`, "", "", 400, verdict.ReasonBadRequest},
		{"/v1/completions", `{"model":"dial","prompt":"p","max_tokens":0}`, "", "", 400, verdict.ReasonBadRequest},
		{"/v1/completions", `{"model":"dial","prompt":"p","n":2}`, "", "", 400, verdict.ReasonBadRequest},
		{"/v1/chat/completions", good, "", "", 400, verdict.ReasonBadRequest},
		{"/v1/completions", `{"model":"none","prompt":"p"}`, "", "", 404, verdict.ReasonUnknownModel},
		{"/v1/completions", good, "X-Class", "none", 404, verdict.ReasonUnknownClass},
		{"/v1/completions", good, "X-Deadline-Ms", "soon", 400, verdict.ReasonBadRequest},
		{"/v1/completions", good, "X-Deadline-Ms", "-5", 504, verdict.ReasonDeadline},
		{"/v1/completions", good, "X-Only-Version", "-1", 400, verdict.ReasonBadRequest},
		{"/v1/completions", good, "X-Request-Id", strings.Repeat("x", 129), 400, verdict.ReasonBadRequest},
		{"/v1/completions", strings.Repeat(" ", 501) + good, "", "", 413, verdict.ReasonBodyTooLarge},
		{"/services/none/x", "", "", "", 404, verdict.ReasonUnknownRoute},
		{"/services/report/x", "", "", "", 400, verdict.ReasonMissingKey},
		{"/services/report/x", "", "Idempotency-Key", "k", 503, verdict.ReasonStoreUnavailable},
		{"/nowhere", "", "", "", 404, verdict.ReasonUnknownRoute},
	} {
		headers := []string{}
		if test.header != "" {
			headers = []string{test.header, test.value}
		}
		status, header, body := call(t, "POST", url+test.path, test.body, headers...)
		var answer api.ErrorBody
		require.NoError(t, json.Unmarshal([]byte(body), &answer), body)
		require.Equal(t, test.status, status, body)
		require.Equal(t, test.reason, answer.Error.Reason, body)
		require.Equal(t, verdict.NotRun, answer.Error.Verdict, body)
		require.Equal(t, header.Get("X-Request-Id"), answer.Error.RequestID)
	}
}

// TestServicePassThrough guards against a change of the path, the query, the status
// or a header, and against a claim under the name of another caller.
func TestServicePassThrough(t *testing.T) {
	stored := new(fakeClaims)
	url := newServer(t, nil, stored)
	status, header, body := call(t, "GET", url+"/services/read/a%2Fb/c?x=1", "", "X-Request-Id", "q2")
	require.Equal(t, http.StatusTeapot, status)
	require.Equal(t, "service", header.Get("X-From"))
	require.Equal(t, "GET /a%2Fb/c?x=1 q2", body)
	_, _, body = call(t, "GET", url+"/services/read", "", "X-Request-Id", "q3")
	require.Equal(t, "GET /? q3", body)
	status, _, body = call(t, "POST", url+"/services/report/x", "", "Idempotency-Key", "k", "X-Test-Principal", "app")
	require.Equal(t, http.StatusCreated, status)
	require.Equal(t, "stored", body)
	require.Equal(t, fakeClaims{caller: "app", key: "k"}, *stored)
}

// TestHealth guards against a process that reports itself ready during a graceful
// shutdown, and against a process that is restarted because it reports itself
// unhealthy during the shutdown.
func TestHealth(t *testing.T) {
	url := newServer(t, nil, nil)
	status, _, _ := call(t, "GET", url+"/healthz", "")
	require.Equal(t, http.StatusOK, status)
	status, _, body := call(t, "GET", url+"/readyz", "")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, "draining")
}
