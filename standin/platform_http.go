package standin

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Rates of the platform's table service and object store.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
)

// PlatformRates limit a service. A rate of 0 means no limit.
type PlatformRates struct{ WritesPerSecond, ReadsPerSecond float64 }

// gate applies faults and rates to the requests of one service.
type gate struct {
	injector *PlatformInjector
	writes   *rate.Limiter
	reads    *rate.Limiter
}

func newGate(injector *PlatformInjector, r PlatformRates) gate {
	return gate{injector: injector, writes: limiter(r.WritesPerSecond), reads: limiter(r.ReadsPerSecond)}
}

// limiter allows bursts of at least one largest transaction, which could never
// pass otherwise.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), tablestore.MaxTxnRows))
}

// read passes a read on, or answers it with a rejection.
func (g gate) read(c echo.Context, handle func() error) error {
	return g.pass(c, g.injector.decide(false), g.reads, 1, handle)
}

// write passes a write of some rows on. apply makes the change and returns the
// function that answers.
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

func (g gate) pass(c echo.Context, d faultDecision, limit *rate.Limiter, n int, handle func() error) error {
	// A request whose sender has gone is still handled, as a real service may.
	time.Sleep(d.delay)
	switch {
	case d.kind == faultDown:
		return reject(c, http.StatusServiceUnavailable, "down")
	case d.kind == faultRejected, !limit.AllowN(time.Now(), n):
		return reject(c, http.StatusTooManyRequests, "rate exceeded")
	}
	return handle()
}

// reject answers a request that was not executed.
func reject(c echo.Context, status int, message string) error {
	v := verdict.NotRun
	return c.JSON(status, tablestore.Rejection{Error: message, Verdict: &v})
}

// closeConnection ends the connection without an answer.
func closeConnection(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	return conn.Close()
}

// RequireBearer returns a middleware that rejects requests without the token.
// Requests of /admin need no token.
func RequireBearer(token string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if c.Request().Header.Get("Authorization") != "Bearer "+token && !isAdmin(c) {
				return reject(c, http.StatusUnauthorized, "token missing or wrong")
			}
			return next(c)
		}
	}
}

func isAdmin(c echo.Context) bool {
	path := c.Request().URL.Path
	return len(path) >= len("/admin/") && path[:len("/admin/")] == "/admin/"
}
