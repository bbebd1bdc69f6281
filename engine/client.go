package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// MaxAnswerBytes bounds the body of an answer that is not a stream.
	MaxAnswerBytes = 8 << 20
	// MaxKVBytes bounds an exported KV cache entry.
	MaxKVBytes = 64 << 20
)

// Client calls model engines and scoring services by IP address and port. It
// never repeats a request. A client is safe for concurrent use.
type Client struct {
	http  *http.Client
	token string
}

// NewClient returns a client. A token that is not empty authenticates orders to
// engines that check the issuer.
func NewClient(token string) *Client {
	return &Client{token: token, http: transport.NewClient()}
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// State reads the load and weight report of a backend server.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var s State
	err := c.call(ctx, http.MethodGet, address, "/v1/state", nil, &s)
	return s, err
}

// orderPath is the path for orders. The client sends its token only there.
const orderPath = "/v1/wanted"

// SendOrder sends an order to an engine. If the engine refuses it, the error has
// verdict NotRun and reason stale_fence for an old fence or forbidden for an
// unknown issuer.
func (c *Client) SendOrder(ctx context.Context, address string, w Order) error {
	return c.call(ctx, http.MethodPut, address, orderPath, w, nil)
}

// CacheEvents reads the cache events that follow a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var page CacheEvents
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, http.MethodGet, address, path, nil, &page)
	return page, err
}

// Cancel stops a request if it is still queued or running.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	return c.call(ctx, http.MethodPost, address, "/v1/cancel", CancelRequest{RequestID: requestID}, nil)
}

// ExportKV returns the KV cache entry of a prompt in the engine's own format.
func (c *Client) ExportKV(ctx context.Context, address string, r KVRequest) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "encode request")
	}
	return c.roundTrip(ctx, http.MethodPost, address, "/v1/kv/export", body, MaxKVBytes)
}

// ImportKV sends an engine a KV cache entry that another engine has exported.
func (c *Client) ImportKV(ctx context.Context, address string, entry []byte) error {
	_, err := c.roundTrip(ctx, http.MethodPost, address, "/v1/kv/import", entry, MaxAnswerBytes)
	return err
}

// Score returns one score per sample, in the order of the request.
func (c *Client) Score(ctx context.Context, address string, r ScoreRequest) ([]float64, error) {
	var answer ScoreAnswer
	if err := c.call(ctx, http.MethodPost, address, "/v1/score", r, &answer); err != nil {
		return nil, err
	}
	if len(answer.Scores) != len(r.Samples) {
		return nil, verdict.New(verdict.Ran, verdict.ReasonBadAnswer,
			"scoring service returned %d scores for %d samples", len(answer.Scores), len(r.Samples))
	}
	return answer.Scores, nil
}

// call sends in as JSON and decodes the answer into out. Either may be nil.
func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "encode request")
		}
		body = encoded
	}
	answer, err := c.roundTrip(ctx, method, address, path, body, MaxAnswerBytes)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.ReasonBadAnswer, "decode answer of %s", path)
	}
	return nil
}

// roundTrip sends a request and returns the body of a 2xx answer, which may have at
// most limit bytes.
func (c *Client) roundTrip(ctx context.Context, method, address, path string, body []byte, limit int64) ([]byte, error) {
	resp, err := c.send(ctx, method, address, path, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := readAnswer(resp.Body, limit)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		return nil, statusError(resp.StatusCode, answer)
	}
	return answer, nil
}

// send sends a request once and returns the response, whose body is not read yet.
func (c *Client) send(ctx context.Context, method, address, path string, body []byte) (*http.Response, error) {
	var trace transport.Trace
	req, err := http.NewRequestWithContext(trace.Attach(ctx), method, "http://"+address+path, transport.SingleUseBody(body))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "build request")
	}
	req.ContentLength = int64(len(body))
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" && path == orderPath {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, roundTripError(&trace, err)
	}
	return resp, nil
}

func readAnswer(r io.Reader, limit int64) ([]byte, error) {
	answer, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, contextReason(err, verdict.ReasonTruncatedAnswer), "read answer")
	}
	if int64(len(answer)) > limit {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "answer exceeds %d bytes", limit)
	}
	return answer, nil
}

// statusError returns the error for an answer whose status is not a success.
func statusError(status int, body []byte) error {
	switch status {
	case http.StatusForbidden, http.StatusUnauthorized:
		return verdict.New(verdict.NotRun, verdict.ReasonForbidden, "backend server does not accept the issuer")
	case http.StatusConflict:
		return verdict.New(verdict.NotRun, verdict.ReasonStaleFence, "backend server has seen a higher fence")
	case http.StatusServiceUnavailable:
		var r Refusal
		if json.Unmarshal(body, &r) == nil && r.Verdict == verdict.NotRun.String() {
			return refusalError(r)
		}
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonBackendFailed, "backend server answered with status %d", status)
}

func refusalError(r Refusal) error {
	if r.Reason == ReasonLeaving {
		return verdict.New(verdict.NotRun, verdict.ReasonBackendLeaving, "backend server is leaving")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonBackendRefused, "backend server refused the request before running it: %.100s", r.Reason)
}
