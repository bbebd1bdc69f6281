// Package standin provides fakes of the outside systems: the platform's
// services, model engines, plain and scoring services, trainers and callers.
// Faults are set over HTTP, and the ledgers of the fakes serve to verify the
// results. The package is for tests and the demo only.
package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/tablestore"
)

// HostList is a fake of the platform's host list. Changes become visible after
// Lag.
type HostList struct {
	InitialHosts []tablestore.ListedHost // hosts listed at the start
	Lag          time.Duration           // between a change and its visibility
	Injector     *PlatformInjector       // no faults if nil

	mu      sync.Mutex
	changes []hostChange
	ledger  []HostListChange
}

// hostChange is a change that may not be visible yet.
type hostChange struct {
	visible time.Time
	hosts   []tablestore.ListedHost
}

// HostListChange is an entry of the host list's ledger.
type HostListChange struct {
	At      time.Time               `json:"at"`
	Visible time.Time               `json:"visible"`
	Hosts   []tablestore.ListedHost `json:"hosts"`
}

// Set replaces the list.
func (h *HostList) Set(hosts []tablestore.ListedHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set(hosts)
}

// SetState changes the state of a host. It returns false if the host is not
// listed.
func (h *HostList) SetState(name, state string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := slices.Clone(h.newest())
	i := slices.IndexFunc(hosts, func(l tablestore.ListedHost) bool { return l.Name == name })
	if i < 0 {
		return false
	}
	hosts[i].State = state
	h.set(hosts)
	return true
}

// SetLag sets the lag of subsequent changes.
func (h *HostList) SetLag(lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Lag = lag
}

// Hosts returns the list that is visible now.
func (h *HostList) Hosts() []tablestore.ListedHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.changes) > 0 && !time.Now().Before(h.changes[0].visible) {
		h.InitialHosts, h.changes = h.changes[0].hosts, h.changes[1:]
	}
	return h.InitialHosts
}

// Ledger returns all changes.
func (h *HostList) Ledger() []HostListChange {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.ledger)
}

// newest returns the list after all changes, visible or not.
func (h *HostList) newest() []tablestore.ListedHost {
	if n := len(h.changes); n > 0 {
		return h.changes[n-1].hosts
	}
	return h.InitialHosts
}

// set appends a change. A change never becomes visible before an earlier one.
func (h *HostList) set(hosts []tablestore.ListedHost) {
	now := time.Now()
	visible := now.Add(h.Lag)
	if n := len(h.changes); n > 0 && visible.Before(h.changes[n-1].visible) {
		visible = h.changes[n-1].visible
	}
	h.changes = append(h.changes, hostChange{visible, hosts})
	h.ledger = append(h.ledger, HostListChange{At: now, Visible: visible, Hosts: hosts})
}

// Register adds the host list's routes.
func (h *HostList) Register(e *echo.Echo) {
	if h.Injector == nil {
		h.Injector = NewPlatformInjector(1)
	}
	g := newGate(h.Injector, PlatformRates{})
	e.GET("/v1/hosts", func(c echo.Context) error {
		return g.read(c, func() error {
			hosts := h.Hosts()
			if hosts == nil {
				hosts = []tablestore.ListedHost{}
			}
			return c.JSON(http.StatusOK, map[string]any{"hosts": hosts})
		})
	})
	h.registerAdmin(e)
}

func (h *HostList) registerAdmin(e *echo.Echo) {
	e.PUT("/admin/hosts", func(c echo.Context) error {
		var body struct {
			Hosts []tablestore.ListedHost `json:"hosts"`
		}
		if err := c.Bind(&body); err != nil {
			return err
		}
		h.Set(body.Hosts)
		return c.NoContent(http.StatusNoContent)
	})
	e.POST("/admin/hosts/state", func(c echo.Context) error {
		var body struct{ Name, State string }
		if err := c.Bind(&body); err != nil {
			return err
		}
		if body.State != tablestore.StateLive && body.State != tablestore.StateLeaving {
			return reject(c, http.StatusBadRequest, "invalid state: expected live or leaving")
		}
		if !h.SetState(body.Name, body.State) {
			return reject(c, http.StatusNotFound, "host is not in the list")
		}
		return c.NoContent(http.StatusNoContent)
	})
	e.POST("/admin/hosts/lag", func(c echo.Context) error {
		var body struct {
			LagMS int64 `json:"lag_ms"`
		}
		if err := c.Bind(&body); err != nil {
			return err
		}
		h.SetLag(time.Duration(body.LagMS) * time.Millisecond)
		return c.NoContent(http.StatusNoContent)
	})
}
