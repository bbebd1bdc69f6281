package transport

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Statuses of final responses, see RFC 9110, section 15.
const (
	minStatus = 200
	maxStatus = 599
)

// ResponseError is the error of a response that violates HTTP and that net/http accepts. Nothing
// is known about the request, which may have run.
type ResponseError struct{ Problem string }

// Error implements error.
func (e *ResponseError) Error() string { return "malformed HTTP response: " + e.Problem }

// responseChecker rejects malformed responses that net/http returns like others.
type responseChecker struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. It closes the connection of a malformed response, which
// net/http may have put back already.
func (c responseChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	trace, r := traceOf(r)
	resp, err := c.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	err = checkHead(resp)
	if err == nil && trace.foldedHead() {
		// RFC 9112, section 5.2, leaves the choice to refuse it.
		err = &ResponseError{"a field line begins with a blank"}
	}
	if err != nil {
		_ = resp.Body.Close()
		trace.Close()
		return nil, err
	}
	return resp, nil
}

// checkHead returns an error if the status is not one of a final response, such as 000 or 101,
// which no request of these clients asks for, or if the name of a field is no token. net/http
// accepts names with a blank and ignores what such fields state, for example the coding of the
// body (RFC 9112, section 5.1).
func checkHead(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &ResponseError{fmt.Sprintf("status %03d is not one of a final response", resp.StatusCode)}
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &ResponseError{fmt.Sprintf("field name %.40q is not a token", name)}
		}
	}
	return nil
}
