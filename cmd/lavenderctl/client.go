package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/identity"
	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// maxAnswerBytes bounds the body of an answer that is read.
const maxAnswerBytes = 64 << 20

// answer is the complete HTTP response of a server.
type answer struct {
	status int
	body   []byte
}

// call sends a request to the servers in turn until one runs it, and decodes the result
// to out. A conflict is not an error: call returns the answer with status 409.
func (o *options) call(ctx context.Context, method, path string, in, out any) (answer, error) {
	if len(o.servers) == 0 {
		return answer{}, failf(exitUsage, "--server is missing")
	}
	token, err := identity.ReadSecret(o.tokenFile)
	if err != nil {
		return answer{}, failf(exitUsage, "--token-file: %w", err)
	}
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return answer{}, failf(exitError, "encode request: %w", err)
		}
	}
	a, err := o.tryServers(ctx, method, path, token, body)
	if err != nil || a.status == http.StatusConflict {
		return a, err
	}
	if a.status/100 != 2 {
		return a, errorFromAnswer(method, a)
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return a, failf(exitError, "decode answer: %w", err)
	}
	return a, nil
}

// tryServers sends the request to the next server only if the previous one did not run it,
// or if it is a GET request.
func (o *options) tryServers(ctx context.Context, method, path, token string, body []byte) (a answer, err error) {
	for i, server := range o.servers {
		last := i == len(o.servers)-1
		a, err = o.send(ctx, method, "http://"+server+path, token, body)
		if err != nil {
			if !last && (method == http.MethodGet || notSent(err)) {
				continue
			}
			return a, failf(exitUnknown, "%s: %w", server, err)
		}
		if a.status != http.StatusServiceUnavailable || decodeErrorDetail(a).Verdict != verdict.NotRun || last {
			return a, nil
		}
	}
	return a, err
}

func (o *options) send(ctx context.Context, method, url, token string, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return answer{}, err
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", "application/json")
	// Each call uses a new connection, because the HTTP client may repeat a request that
	// failed on a stale one.
	response, err := transport.NewClientWith(transport.Options{SingleUse: true}).Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return answer{status: response.StatusCode, body: data}, err
}

// notSent reports whether no connection was made, so that the request was not sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// decodeErrorDetail returns the error in an answer, or only the text of its status if
// another program, such as a proxy, answered.
func decodeErrorDetail(a answer) api.ErrorDetail {
	var body api.ErrorBody
	if json.Unmarshal(a.body, &body) != nil {
		return api.ErrorDetail{Message: http.StatusText(a.status)}
	}
	return body.Error
}

// errorFromAnswer converts an error answer to an error with an exit code.
func errorFromAnswer(method string, a answer) error {
	detail := decodeErrorDetail(a)
	code := exitError
	if method != http.MethodGet && detail.Verdict != verdict.NotRun {
		code = exitUnknown
	}
	return failf(code, "%s (%s, %s)", detail.Message, detail.Reason, detail.Verdict)
}
