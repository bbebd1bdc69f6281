package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// OperatorCallTimeout bounds an operator's call. It exceeds the time that a change
// of the configuration may wait, be prepared and commit.
const OperatorCallTimeout = 18 * time.Second

// maxOperatorBodyBytes is the largest body of an operator's call.
const maxOperatorBodyBytes = 4 << 20

// OperatorHandlers serves the operators' calls. Reads of the state come from the
// status snapshot; changes go through the control loop or, for weights, through
// the table service.
type OperatorHandlers struct {
	// Ask delivers an event to the control loop and waits for the answer with
	// the request id; Deliver delivers an event that has no answer.
	Ask     func(ctx context.Context, id string, e event.Event) (command.Command, error)
	Deliver func(ctx context.Context, e event.Event) error
	Status  *status.AtomicSnapshot
	Tables  tablestore.Tables
	NewOpID func() string // returns a new operation id
	// History returns all versions of the configuration, oldest first.
	History func(context.Context) ([]ConfigRecord, error)
	// Groups returns the progress of all groups.
	Groups func(context.Context) ([]status.Group, error)
}

// ConfigRecord is one version of the configuration.
type ConfigRecord struct {
	Version uint64          `json:"version"`
	Author  string          `json:"author"`
	Config  json.RawMessage `json:"config"`
}

// RegisterOperators adds the operators' calls to a group that authenticates its
// callers and requires the role operator. Its prefix is /v1.
func RegisterOperators(g *echo.Group, o *OperatorHandlers) {
	g.GET("/config", func(c echo.Context) error { return c.JSON(http.StatusOK, o.Status.Load().Config) })
	g.PUT("/config", o.putConfig)
	g.GET("/config/history", o.history)
	g.GET("/hosts", func(c echo.Context) error { return c.JSON(http.StatusOK, o.Status.Load().Hosts) })
	g.GET("/backends", func(c echo.Context) error { return c.JSON(http.StatusOK, o.Status.Load().Backends) })
	g.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, o.Status.Load()) })
	g.GET("/groups", o.groups)
	g.GET("/weights", o.listWeights)
	g.PUT("/weights/:model", o.putWeights)
	g.POST("/drain", o.drain)
}

func (o *OperatorHandlers) history(c echo.Context) error {
	records, err := o.History(c.Request().Context())
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, records)
}

func (o *OperatorHandlers) groups(c echo.Context) error {
	groups, err := o.Groups(c.Request().Context())
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, groups)
}

// drain begins the planned stop; the process ends once its work has finished.
func (o *OperatorHandlers) drain(c echo.Context) error {
	if err := o.Deliver(c.Request().Context(), event.DrainRequested{}); err != nil {
		return writeError(c, verdict.Wrap(err, verdict.NotRun, verdict.ReasonCanceled, "begin the planned stop"))
	}
	return c.JSON(http.StatusAccepted, map[string]bool{"draining": true})
}

// decodeStrictJSON decodes a JSON body without unknown keys.
func decodeStrictJSON(c echo.Context, to any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxOperatorBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "read request body")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "request body holds more than one value")
	}
	return nil
}

func principal(c echo.Context) string {
	name, _ := c.Get("principal").(string)
	return name
}
