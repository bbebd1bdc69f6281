package api

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// RegisterHealth adds /healthz, which succeeds while the process runs, and /readyz,
// which fails with the error of ready while the process should receive no new
// requests.
func RegisterHealth(e *echo.Echo, ready func() error) {
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", func(c echo.Context) error {
		if err := ready(); err != nil {
			return writeError(c, err)
		}
		return c.NoContent(http.StatusOK)
	})
}
