// Package traffic runs the request path. A request's goroutine reads the plan,
// picks a backend server, sends, checks the answer and decides on retries; it
// holds all exact state of the request and no control state.
package traffic

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Call is a request to a plain service.
type Call struct {
	Method string
	Path   string // with query
	Header http.Header
	Body   []byte
}

// Reply is the whole answer of a plain service.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Sender sends one attempt to one backend server.
type Sender struct {
	Client         *http.Client
	MaxAnswerBytes int64
}

// Send makes one attempt. The error's verdict is NotRun only if no byte of the
// request was written or the backend server said that it refused before running.
func (s *Sender) Send(ctx context.Context, b plan.Backend, call Call) (Reply, error) {
	b.Counters.Sent.Add(1)
	defer b.Counters.Done.Add(1)
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), b, call)
	if err != nil {
		return Reply{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "build request")
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return Reply{}, sendError(err, sent.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	return s.readReply(resp)
}

func newRequest(ctx context.Context, b plan.Backend, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+b.Address+call.Path, &onceReader{data: call.Body})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = call.Header.Clone()
	return req, nil
}

func sendError(err error, sent bool) error {
	if !sent {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "connect to backend server")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionLost, "no answer from backend server")
}

func (s *Sender) readReply(resp *http.Response) (Reply, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.MaxAnswerBytes+1))
	if err != nil {
		return Reply{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonTruncatedAnswer, "read answer")
	}
	if int64(len(body)) > s.MaxAnswerBytes {
		return Reply{}, verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "answer is larger than %d bytes", s.MaxAnswerBytes)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Verdict") == verdict.NotRun.String() {
		return Reply{}, verdict.New(verdict.NotRun, verdict.ReasonBackendRefused, "backend server refused the request")
	}
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// onceReader is a body that net/http cannot rewind, so that its transport never
// repeats a request by itself.
type onceReader struct {
	data []byte
	read int
}

// Read implements io.Reader.
func (r *onceReader) Read(p []byte) (int, error) {
	if r.read >= len(r.data) {
		return 0, io.EOF
	}
	n := copy(p, r.data[r.read:])
	r.read += n
	return n, nil
}
