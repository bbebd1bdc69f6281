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

// OperatorCallTimeout bounds an operator's call. It is longer than the total time that a
// configuration change may take to wait, prepare and commit.
const OperatorCallTimeout = 18 * time.Second

// maxOperatorBodyBytes is the maximum size of the body of an operator's call.
const maxOperatorBodyBytes = 4 << 20

// OperatorHandlers handles the operators' calls. Reads are served from the status
// snapshot. Changes go through the control loop, except changes of weights, which
// go to the table service.
type OperatorHandlers struct {
	// Ask delivers an event to the control loop and waits for the answer with
	// the given request id. Deliver delivers an event that has no answer.
	Ask     func(ctx context.Context, id string, e event.Event) (command.Command, error)
	Deliver func(ctx context.Context, e event.Event) error
	Status  *status.AtomicSnapshot
	Tables  tablestore.Tables
	NewOpID func() string // returns a new id of a table service operation, also used as a request id
	// History returns all versions of the configuration, oldest first.
	History func(context.Context) ([]ConfigRecord, error)
	// Groups returns the progress of all groups.
	Groups func(context.Context) ([]status.Group, error)
}

// ConfigRecord is a version of the configuration.
type ConfigRecord struct {
	Version uint64          `json:"version"`
	Author  string          `json:"author"`
	Config  json.RawMessage `json:"config"`
}

// RegisterOperators adds the operators' routes to a group, which must have the prefix
// /v1, authenticate its callers and require the role operator.
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

// drain begins a graceful shutdown. The process exits after it has finished its work.
func (o *OperatorHandlers) drain(c echo.Context) error {
	if err := o.Deliver(c.Request().Context(), event.DrainRequested{}); err != nil {
		return writeError(c, verdict.Wrap(err, verdict.NotRun, verdict.ReasonCanceled, "begin the graceful shutdown"))
	}
	return c.JSON(http.StatusAccepted, map[string]bool{"draining": true})
}

// decodeStrictJSON decodes the request body, which must be a single JSON value
// without unknown keys.
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
