package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/traffic"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	headerRequestID      = "X-Request-Id"
	headerClass          = "X-Class"
	headerDeadline       = "X-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerOnlyVersion    = "X-Only-Version"

	// PrincipalKey is the key of the echo context under which an authentication
	// middleware stores the caller's name as a string.
	PrincipalKey = "principal"
	anonymous    = "anonymous"

	// maxNameBytes is the maximum length of request ids, idempotency keys, group
	// ids and names of trainers, models and scorers.
	maxNameBytes = 128
)

// CallerHandlers handles the requests of callers. RequestTimeout bounds the
// processing time of a request.
type CallerHandlers struct {
	Router         *traffic.Router
	MaxBodyBytes   int64
	RequestTimeout time.Duration
}

// Register adds the callers' routes. The given middleware runs before the handlers
// and must include authentication.
func (s *CallerHandlers) Register(e *echo.Echo, middleware ...echo.MiddlewareFunc) {
	middleware = append([]echo.MiddlewareFunc{requestID}, middleware...)
	e.POST("/v1/completions", s.completions, middleware...)
	e.POST("/v1/chat/completions", s.chat, middleware...)
	e.Any("/services/:route", s.proxyService, middleware...)
	e.Any("/services/:route/*", s.proxyService, middleware...)
}

// requestID is a middleware that returns the request's id in the response. It
// generates the id if the request has none.
func requestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := c.Request().Header.Get(headerRequestID)
		if id == "" {
			id = strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
		}
		if !validName(id) {
			return writeError(c, badRequest("%s must be 1 to %d visible ASCII characters", headerRequestID, maxNameBytes))
		}
		c.Response().Header().Set(headerRequestID, id)
		return next(c)
	}
}

func validName(name string) bool {
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return false
		}
	}
	return len(name) > 0 && len(name) <= maxNameBytes
}

func badRequest(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, format, args...)
}

func origin(c echo.Context) traffic.Origin {
	caller, ok := c.Get(PrincipalKey).(string)
	if !ok || caller == "" {
		caller = anonymous
	}
	return traffic.Origin{
		ID: c.Response().Header().Get(headerRequestID), Caller: caller, Class: c.Request().Header.Get(headerClass)}
}

// withDeadline returns a context that ends after RequestTimeout, or earlier if the
// caller's X-Deadline-Ms header, the time for which the caller still waits, is
// shorter. A value of zero or less is a deadline in the past.
func (s *CallerHandlers) withDeadline(c echo.Context) (context.Context, context.CancelFunc, error) {
	remaining := s.RequestTimeout
	if text := c.Request().Header.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, nil, badRequest("%s must be a number of milliseconds", headerDeadline)
		}
		remaining = min(remaining, time.Duration(max(0, min(ms, s.RequestTimeout.Milliseconds())))*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), remaining)
	return ctx, cancel, nil
}

func (s *CallerHandlers) readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, s.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBodyTooLarge, "request body is larger than %d bytes", s.MaxBodyBytes)
	}
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "read request body")
	}
	return body, nil
}

func (s *CallerHandlers) readJSON(c echo.Context, into any) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "request body is not valid JSON for this call")
	}
	return nil
}
