package standin

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Default rate limits of the table service and of the object store. Writes are
// counted in rows, reads in requests.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
)

// PlatformRates are the rate limits of a service. A rate of 0 means no limit.
type PlatformRates struct{ WritesPerSecond, ReadsPerSecond float64 }

// gate applies faults and rate limits to the requests of one service.
type gate struct {
	injector *PlatformInjector
	writes   *rate.Limiter
	reads    *rate.Limiter
}

func newGate(injector *PlatformInjector, r PlatformRates) gate {
	return gate{injector: injector, writes: limiter(r.WritesPerSecond), reads: limiter(r.ReadsPerSecond)}
}

// limiter returns a rate limiter. Its burst has room for a transaction of the
// largest size, which could never be admitted otherwise.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), tablestore.MaxTxnRows))
}

// read handles a read, unless a fault or the rate limit rejects it.
func (g gate) read(c echo.Context, handle func() error) error {
	return g.pass(c, g.injector.decide(false), g.reads, 1, handle)
}

// write handles a write of a number of rows, unless a fault or the rate limit
// rejects it. apply makes the change and returns a function that sends the
// response.
func (g gate) write(c echo.Context, rows int, apply func() func() error) error {
	d := g.injector.decide(true)
	return g.pass(c, d, g.writes, rows, func() error {
		switch d.kind {
		case faultRequestLost:
			return closeConnection(c)
		case faultLate:
			time.AfterFunc(d.late, func() { apply() })
			return closeConnection(c)
		case faultAnswerLost:
			apply()
			return closeConnection(c)
		}
		return apply()()
	})
}

// pass delays a request and calls handle, or rejects the request. The request
// counts as n against the rate limit.
func (g gate) pass(c echo.Context, d faultDecision, limit *rate.Limiter, n int, handle func() error) error {
	// The delay does not end when the client disconnects: like a real service, the
	// fake still handles such a request.
	time.Sleep(d.delay)
	switch {
	case d.kind == faultDown:
		return reject(c, http.StatusServiceUnavailable, "service is down")
	case d.kind == faultRejected, !limit.AllowN(time.Now(), n):
		return reject(c, http.StatusTooManyRequests, "rate limit exceeded")
	}
	return handle()
}

// reject answers a request that was not executed with an error and verdict
// not_run.
func reject(c echo.Context, status int, message string) error {
	v := verdict.NotRun
	return c.JSON(status, tablestore.Rejection{Error: message, Verdict: &v})
}

// closeConnection closes the connection without a response.
func closeConnection(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	return conn.Close()
}

// RequireBearer returns a middleware that rejects requests without the bearer
// token. Requests to /admin need no token.
func RequireBearer(token string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if c.Request().Header.Get("Authorization") != "Bearer "+token && !isAdmin(c) {
				return reject(c, http.StatusUnauthorized, "bearer token missing or wrong")
			}
			return next(c)
		}
	}
}

func isAdmin(c echo.Context) bool {
	path := c.Request().URL.Path
	return len(path) >= len("/admin/") && path[:len("/admin/")] == "/admin/"
}
