// Package api implements the HTTP interface of an entry host for callers, trainers
// and operators. It converts requests to typed calls and verdicts to status codes
// and makes no other decisions.
package api

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes why a request failed and whether it may have run.
type ErrorDetail struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Reason    verdict.Reason  `json:"reason"`
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID string          `json:"request_id,omitempty"`
}

const errorType = "lavenderstand_error"

func errorBody(requestID string, err error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message: verdict.Message(err), Type: errorType, Reason: verdict.ReasonOf(err), Verdict: verdict.Of(err), RequestID: requestID,
	}}
}

// errorKey is the key of the echo context under which the error of a refused or
// failed request is stored.
const errorKey = "lavenderstand.error"

// CountErrors returns a middleware that calls count with the reason and verdict of
// each error response, whether a middleware, a handler or echo itself produced it.
func CountErrors(count func(verdict.Reason, verdict.Verdict)) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if err := next(c); err != nil {
				c.Error(err)
			}
			if failed, ok := c.Get(errorKey).(error); ok {
				count(verdict.ReasonOf(failed), verdict.Of(failed))
			}
			return nil
		}
	}
}

func writeError(c echo.Context, err error) error {
	c.Set(errorKey, err)
	return c.JSON(statusOf(verdict.ReasonOf(err)), errorBody(c.Response().Header().Get(headerRequestID), err))
}

// HandleError is an echo.HTTPErrorHandler that writes errors with an ErrorBody,
// including those of echo itself, such as an unknown path.
func HandleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var httpError *echo.HTTPError
	if !errors.As(err, &httpError) {
		_ = writeError(c, err)
		return
	}
	reason := verdict.ReasonBadRequest
	switch httpError.Code {
	case http.StatusNotFound:
		reason = verdict.ReasonUnknownRoute
	case http.StatusUnauthorized:
		reason = verdict.ReasonUnauthenticated
	case http.StatusForbidden:
		reason = verdict.ReasonForbidden
	case http.StatusRequestEntityTooLarge:
		reason = verdict.ReasonBodyTooLarge
	case http.StatusInternalServerError:
		reason = verdict.ReasonInternal
	}
	v := verdict.NotRun
	if reason == verdict.ReasonInternal {
		v = verdict.MayHaveRun
	}
	refusal := verdict.New(v, reason, "%v", httpError.Message)
	c.Set(errorKey, error(refusal))
	_ = c.JSON(httpError.Code, errorBody(c.Response().Header().Get(headerRequestID), refusal))
}

func statusOf(reason verdict.Reason) int {
	switch reason {
	case verdict.ReasonBadRequest, verdict.ReasonMissingKey:
		return http.StatusBadRequest
	case verdict.ReasonUnauthenticated:
		return http.StatusUnauthorized
	case verdict.ReasonForbidden:
		return http.StatusForbidden
	case verdict.ReasonUnknownRoute, verdict.ReasonUnknownClass, verdict.ReasonUnknownModel:
		return http.StatusNotFound
	case verdict.ReasonDuplicateRequest, verdict.ReasonConflict:
		return http.StatusConflict
	case verdict.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.ReasonOverload, verdict.ReasonRateLimited, verdict.ReasonRetryBudget:
		return http.StatusTooManyRequests
	case verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	case verdict.ReasonNoBackend, verdict.ReasonDraining, verdict.ReasonConfigUnconfirmed,
		verdict.ReasonStoreUnavailable, verdict.ReasonNoMajority, verdict.ReasonNotHolder:
		return http.StatusServiceUnavailable
	case verdict.ReasonInternal, verdict.ReasonUnknown:
		return http.StatusInternalServerError
	default:
		return http.StatusBadGateway
	}
}
