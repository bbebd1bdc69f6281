// Package api is the HTTP front of an entry host. It turns requests into typed
// calls and verdicts into status codes; it decides nothing else.
package api

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/traffic"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// ErrorBody is the body of every error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says why a request failed and whether it may have run.
type ErrorDetail struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Reason    verdict.Reason  `json:"reason"`
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID string          `json:"request_id,omitempty"`
}

// RegisterServices adds the pass-through for plain services.
func RegisterServices(e *echo.Echo, router *traffic.Router, maxBody int64) {
	e.Any("/services/:route/*", func(c echo.Context) error {
		call, err := readCall(c, maxBody)
		if err == nil {
			var reply traffic.Reply
			if reply, err = router.Serve(c.Request().Context(), c.Param("route"), call); err == nil {
				return c.Blob(reply.Status, reply.Header.Get(echo.HeaderContentType), reply.Body)
			}
		}
		return writeError(c, err)
	})
}

func readCall(c echo.Context, maxBody int64) (traffic.Call, error) {
	r := c.Request()
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, maxBody))
	if err != nil {
		return traffic.Call{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBodyTooLarge, "read request body")
	}
	path := "/" + c.Param("*")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return traffic.Call{Method: r.Method, Path: path, Header: r.Header, Body: body}, nil
}

func writeError(c echo.Context, err error) error {
	reason := verdict.ReasonOf(err)
	return c.JSON(statusOf(reason), ErrorBody{Error: ErrorDetail{
		Message:   err.Error(),
		Type:      "lavenderstand_error",
		Reason:    reason,
		Verdict:   verdict.Of(err),
		RequestID: c.Request().Header.Get("X-Request-Id"),
	}})
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
