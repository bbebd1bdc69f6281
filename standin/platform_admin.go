package standin

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"
)

// Roles of the fakes of the platform's services.
const (
	RoleTables  = "tables"
	RoleObjects = "objects"
	RoleHosts   = "hosts"
	RoleWeights = "weights"
)

// PlatformRole gives the admin endpoints access to the faults and the ledger of
// one fake.
type PlatformRole struct {
	Injector *PlatformInjector
	Ledger   func() any
}

// PlatformAdmin serves /admin/faults and /admin/ledger for the roles of a process,
// by name.
type PlatformAdmin map[string]PlatformRole

// faultsRequest is the body of POST /admin/faults.
type faultsRequest struct {
	Role string `json:"role"` // if empty, all roles of the process
	Seed uint64 `json:"seed"` // if not 0, reseeds the random number generator
	PlatformFaults
}

// Register adds the admin routes.
func (a PlatformAdmin) Register(e *echo.Echo) {
	e.POST("/admin/faults", a.setFaults)
	e.GET("/admin/faults", a.faults)
	e.GET("/admin/ledger", a.ledger)
}

// setFaults replaces all faults of the selected roles. It rejects unknown fields,
// because a misspelt fault would otherwise have no effect.
func (a PlatformAdmin) setFaults(c echo.Context) error {
	var body faultsRequest
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return reject(c, http.StatusBadRequest, err.Error())
	}
	roles, ok := a.selected(body.Role)
	if !ok {
		return reject(c, http.StatusNotFound, "no such role in this process")
	}
	for _, name := range roles {
		a[name].Injector.Set(body.PlatformFaults, body.Seed)
	}
	return a.faults(c)
}

// selected returns the names of the roles that a request selects, and whether
// they exist in this process.
func (a PlatformAdmin) selected(role string) ([]string, bool) {
	if role != "" {
		_, ok := a[role]
		return []string{role}, ok
	}
	roles := make([]string, 0, len(a))
	for name := range a {
		roles = append(roles, name)
	}
	slices.Sort(roles)
	return roles, true
}

func (a PlatformAdmin) faults(c echo.Context) error {
	answer := make(map[string]any, len(a))
	for name, role := range a {
		faults, counts := role.Injector.Faults()
		answer[name] = map[string]any{"faults": faults, "counts": counts}
	}
	return c.JSON(http.StatusOK, answer)
}

func (a PlatformAdmin) ledger(c echo.Context) error {
	roles, ok := a.selected(c.QueryParam("role"))
	if !ok {
		return reject(c, http.StatusNotFound, "no such role in this process")
	}
	answer := make(map[string]any, len(roles))
	for _, name := range roles {
		answer[name] = a[name].Ledger()
	}
	return c.JSON(http.StatusOK, answer)
}
