package identity

import (
	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// Keys of the request context that Middleware sets, each a string.
const (
	KeyPrincipal = "principal"
	KeyRole      = "role"
)

// Middleware authenticates each request and sets KeyPrincipal and KeyRole.
// Errors carry a verdict; the server's error handler writes them.
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

// RequireRole refuses principals of other roles. It runs after Middleware.
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

// RateLimit limits the requests of each principal. It runs after Middleware.
func (p *Principals) RateLimit(perSecond float64, burst int) echo.MiddlewareFunc {
	limiters := make(map[string]*rate.Limiter, len(p.entries))
	for _, e := range p.entries {
		limiters[e.Name] = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			name, _ := c.Get(KeyPrincipal).(string)
			if limiter := limiters[name]; limiter == nil || !limiter.Allow() {
				return verdict.New(verdict.NotRun, verdict.ReasonRateLimited, "principal %s sends too many requests", name)
			}
			return next(c)
		}
	}
}
