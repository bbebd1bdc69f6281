package transport

import (
	"fmt"
	"net/http"
)

// Statuses of final responses, see RFC 9110, section 15.
const (
	minStatus = 200
	maxStatus = 599
)

// StatusError is the error of a response whose status is not one of a final response, such as
// 000 or 101. Nothing is known about the request, which may have run.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %03d is not one of a final response", e.Status)
}

// statusChecker rejects responses whose status is not one of a final response. net/http returns
// them like others, also 101, which no request of these clients asks for.
type statusChecker struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (c statusChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.Transport.RoundTrip(r)
	if err != nil || (resp.StatusCode >= minStatus && resp.StatusCode <= maxStatus) {
		return resp, err
	}
	_ = resp.Body.Close()
	return nil, &StatusError{resp.StatusCode}
}
