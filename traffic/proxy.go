// Package traffic implements the request path. The goroutine of a request reads the
// plan, picks a backend server, sends the request, checks the answer and decides on
// retries. It holds the exact state of its request and no control state.
package traffic

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Call is a request to a plain service.
type Call struct {
	Method string
	Path   string // including the query
	Header http.Header
	Body   []byte
}

// Reply is the complete answer of a plain service.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// headerVerdict is the header in which a plain service states that it refused a
// request before running it.
const headerVerdict = "X-Verdict"

// Sender sends one attempt to one backend server. Client should come from
// transport.NewClient. With another client, any failure after a connection was
// obtained counts as MayHaveRun.
type Sender struct {
	Client         *http.Client
	MaxAnswerBytes int64
}

// Send makes one attempt. The error's verdict is NotRun only if no byte of the
// request was written or if the backend server stated that it refused the request
// before running it.
func (s *Sender) Send(ctx context.Context, b *plan.Backend, call Call) (Reply, error) {
	var trace transport.Trace
	req, err := newRequest(trace.Attach(ctx), b, call)
	if err != nil {
		return Reply{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "build request")
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return Reply{}, sendError(err, trace.NothingSent())
	}
	defer func() { _ = resp.Body.Close() }()
	return s.readReply(resp)
}

func newRequest(ctx context.Context, b *plan.Backend, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+b.Address+call.Path, transport.SingleUseBody(call.Body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = forwardedHeader(call.Header)
	return req, nil
}

func sendError(err error, nothingSent bool) error {
	if nothingSent {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "connect to backend server")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionLost, "no answer from backend server")
}

func (s *Sender) readReply(resp *http.Response) (Reply, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.MaxAnswerBytes+1))
	if err != nil {
		return Reply{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonTruncatedAnswer, "read answer of backend server")
	}
	if int64(len(body)) > s.MaxAnswerBytes {
		return Reply{}, verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "answer is larger than %d bytes", s.MaxAnswerBytes)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerVerdict) == verdict.NotRun.String() {
		return Reply{}, refusalError(resp, body)
	}
	return Reply{Status: resp.StatusCode, Header: forwardedHeader(resp.Header), Body: body}, nil
}

// refusalError returns the error for a refusal by a backend server. The server is
// shutting down if it states that reason or closes the connection.
func refusalError(resp *http.Response, body []byte) error {
	var stated engine.Refusal
	_ = json.Unmarshal(body, &stated) // the body is optional, so a decoding error is ignored
	if resp.Close || stated.Reason == engine.ReasonLeaving {
		return verdict.New(verdict.NotRun, verdict.ReasonBackendLeaving, "backend server is leaving")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonBackendRefused, "backend server refused the request")
}
