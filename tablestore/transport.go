package tablestore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// maxRejectionBytes bounds the part of a rejection's body that is read.
const maxRejectionBytes = 64 << 10

// Rejection is the body of an answer with which a service rejects a request.
// Verdict not_run states that the service rejected the request before executing
// it.
type Rejection struct {
	Error   string           `json:"error"`
	Verdict *verdict.Verdict `json:"verdict,omitempty"`
}

// NewHTTPClient returns an HTTP client for the clients of this package. It adds a bearer token to
// each request, ends a call after timeout and rejects malformed responses.
func NewHTTPClient(token string, timeout time.Duration) *http.Client {
	client := transport.NewClient()
	client.Transport = &BearerTransport{Token: token, Base: client.Transport}
	client.Timeout = timeout
	return client
}

// BearerTransport adds a bearer token to each request.
type BearerTransport struct {
	Token string
	Base  http.RoundTripper // http.DefaultTransport if nil
}

// RoundTrip implements http.RoundTripper.
func (b *BearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.Token)
	base := b.Base
	if base == nil {
		base = http.DefaultTransport
	}
	return base.RoundTrip(r)
}

// write sends a request that may change state. An error has verdict NotRun only
// if the request got no connection, so that none of its bytes were sent.
func write(ctx context.Context, client *http.Client, method, url string, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "%s %s", method, url)
	}
	// Without GetBody net/http cannot send the body a second time by itself.
	req.GetBody = nil
	resp, err := client.Do(req)
	if err == nil {
		return resp, nil
	}
	if connected.Load() {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionLost, "%s %s", method, url)
	}
	return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "%s %s", method, url)
}

// read sends a request that changes no state, so every error has verdict NotRun.
func read(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "read %s", url)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonStoreUnavailable, "read %s", url)
	}
	return resp, nil
}

// statusError returns the error for an answer whose status is not a success. A
// 503 means NotRun only if its body states so, because a proxy may answer 503 to a
// request that it has already forwarded.
func statusError(resp *http.Response, what string) error {
	var body Rejection
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxRejectionBytes))
	_ = json.Unmarshal(raw, &body)
	v, reason := verdict.MayHaveRun, verdict.ReasonStoreUnavailable
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		v, reason = verdict.NotRun, verdict.ReasonRateLimited
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		v, reason = verdict.NotRun, verdict.ReasonBadRequest
	case http.StatusUnauthorized:
		v, reason = verdict.NotRun, verdict.ReasonUnauthenticated
	case http.StatusForbidden:
		v, reason = verdict.NotRun, verdict.ReasonForbidden
	case http.StatusServiceUnavailable:
		if body.Verdict != nil && *body.Verdict == verdict.NotRun {
			v = verdict.NotRun
		}
	}
	return verdict.New(v, reason, "%s: status %d %s", what, resp.StatusCode, body.Error)
}

// readStatusError is like statusError for a read, whose verdict is always NotRun.
func readStatusError(resp *http.Response, what string) error {
	err := statusError(resp, what)
	return verdict.New(verdict.NotRun, verdict.ReasonOf(err), "%s: status %d", what, resp.StatusCode)
}

// decode decodes a JSON body of at most limit bytes.
func decode(r io.Reader, limit int64, into any) error {
	raw, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return err
	}
	if int64(len(raw)) > limit {
		return fmt.Errorf("answer exceeds %d bytes", limit)
	}
	return json.Unmarshal(raw, into)
}

// readToEnd reads the body of an answer whose status is all that it tells. An answer delimited by
// the end of its connection is complete only if the connection was not reset.
func readToEnd(resp *http.Response, what string) error {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRejectionBytes)); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonTruncatedAnswer, "%s", what)
	}
	return nil
}

func closeBody(resp *http.Response) { _ = resp.Body.Close() }
