package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
)

const (
	retryInterval  = 100 * time.Millisecond // between two attempts of a request
	maxAnswerBytes = 64 << 20               // of one response body
)

// entryClient sends requests to entry hosts. After a failed attempt it switches
// to the next host.
type entryClient struct {
	hosts     []string // IP addresses and ports of entry hosts or of a load balancer
	token     string
	http      *http.Client
	hostIndex int
}

func newEntryClient(hosts []string, token string, hostIndex int) *entryClient {
	return &entryClient{hosts: hosts, token: token, hostIndex: hostIndex, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true},
	}}
}

// entryRequest is a request that may be sent several times.
type entryRequest struct {
	method, path string
	header       map[string]string
	body         []byte
}

// entryAnswer is the response to one attempt. The field err is set if no response
// arrived or if it broke off.
type entryAnswer struct {
	status  int
	body    []byte
	stream  bool
	err     error
	reason  string
	verdict string
}

// send makes one attempt to send a request.
func (c *entryClient) send(ctx context.Context, r entryRequest) entryAnswer {
	host := c.hosts[c.hostIndex%len(c.hosts)]
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+host+r.path, io.NopCloser(bytes.NewReader(r.body)))
	if err != nil {
		return entryAnswer{err: err}
	}
	req.ContentLength = int64(len(r.body))
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.hostIndex++
		return entryAnswer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := entryAnswer{status: resp.StatusCode}
	a.stream = strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	a.body, a.err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	a.parseError()
	if a.err != nil || a.status >= http.StatusInternalServerError {
		c.hostIndex++
	}
	return a
}

// parseError decodes the reason and the verdict of an error response.
func (a *entryAnswer) parseError() {
	var body struct {
		Error struct {
			Reason  string `json:"reason"`
			Verdict string `json:"verdict"`
		} `json:"error"`
	}
	if a.status/100 != 2 && json.Unmarshal(a.body, &body) == nil {
		a.reason, a.verdict = body.Error.Reason, body.Error.Verdict
	}
}

// final reports whether a response is final, so that the client does not retry.
func (a *entryAnswer) final() bool {
	if a.err != nil {
		return false
	}
	switch a.status {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusInternalServerError,
		http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	default:
		return true
	}
}

// events returns the data of the events of a stream, without the final [DONE].
// It returns an error if the stream ends without [DONE].
func (a *entryAnswer) events() ([][]byte, error) {
	reader := engine.NewEventReader(bytes.NewReader(a.body), engine.MaxEventBytes)
	var all [][]byte
	for {
		data, err := reader.Next()
		if err != nil {
			return all, errors.Join(errTruncatedStream, err)
		}
		if string(data) == "[DONE]" {
			return all, nil
		}
		all = append(all, bytes.Clone(data))
	}
}

// errTruncatedStream indicates that a stream ended without its final event.
var errTruncatedStream = errors.New("stream ended without [DONE]")
