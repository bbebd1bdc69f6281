// Package standin holds small stand-ins for the outside systems: the platform's
// services, model engines, plain and scoring services, trainers and callers.
// They are for tests and the demo only.
package standin

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/platform"
)

// HostList serves a fixed host list.
type HostList struct{ Listed []platform.ListedHost }

// Register adds the host list's routes.
func (h *HostList) Register(e *echo.Echo) {
	e.GET("/v1/hosts", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]any{"hosts": h.Listed})
	})
}
