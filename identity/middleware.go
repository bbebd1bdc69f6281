package identity

import (
	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// Keys that Middleware sets in the echo context. Their values are strings.
const (
	KeyPrincipal = "principal"
	KeyRole      = "role"
)

// Middleware authenticates each request and sets KeyPrincipal and KeyRole.
// Its errors carry a verdict; the error handler of the server writes the answer.
func (p *Principals) Middleware() echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			principal, err := p.Authenticate(c.Request().Header.Get(echo.HeaderAuthorization))
			if err != nil {
				return err
			}
			c.Set(KeyPrincipal, principal.Name)
			c.Set(KeyRole, string(principal.Role))
			return next(c)
		}
	}
}

// RequireRole rejects requests of principals that have none of the given roles. It
// must run after Middleware.
func RequireRole(roles ...Role) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			role, _ := c.Get(KeyRole).(string)
			if err := checkRole(Role(role), roles...); err != nil {
				return err
			}
			return next(c)
		}
	}
}

// RateLimit limits the rate of requests of each principal to perSecond requests per
// second, with bursts of at most burst requests. It must run after Middleware.
func (p *Principals) RateLimit(perSecond float64, burst int) echo.MiddlewareFunc {
	limiters := make(map[string]*rate.Limiter, len(p.entries))
	for _, e := range p.entries {
		limiters[e.Name] = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			name, _ := c.Get(KeyPrincipal).(string)
			if limiter := limiters[name]; limiter == nil || !limiter.Allow() {
				return verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "principal %s exceeds its request rate", name)
			}
			return next(c)
		}
	}
}
