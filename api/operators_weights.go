package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	weightsPrefix = "weights/"
	// weightsTimeout bounds a change of a weight version, including the reads
	// that resolve an unknown outcome.
	weightsTimeout = 10 * time.Second
	// readBackInterval is the time between two attempts to resolve the outcome.
	readBackInterval = 200 * time.Millisecond
)

// Weights is the desired weight version of a model.
type Weights struct {
	Model     string         `json:"model"`
	Version   ledger.Version `json:"version"`
	ObjectKey string         `json:"object_key,omitempty"` // in the weight store
	Size      int64          `json:"size,omitempty"`       // bytes
}

// WeightsChange is the body of PUT /v1/weights/{model}.
type WeightsChange struct {
	Version         ledger.Version  `json:"version"`
	ExpectedVersion *ledger.Version `json:"expected_version"` // 0 if the model has no version yet
	ObjectKey       string          `json:"object_key"`
	Size            int64           `json:"size"`
}

// WeightsConflict is the body of the response to a change whose expected version is
// not the version in force. Current is the version in force.
type WeightsConflict struct {
	ErrorBody
	Current Weights `json:"current"`
}

func (o *OperatorHandlers) listWeights(c echo.Context) error {
	rows, err := o.Tables.Scan(c.Request().Context(), weightsPrefix)
	if err != nil {
		return writeError(c, err)
	}
	list := make([]Weights, 0, len(rows))
	for _, row := range rows {
		w, err := decodeWeights(row)
		if err != nil {
			return writeError(c, err)
		}
		list = append(list, w)
	}
	return c.JSON(http.StatusOK, list)
}

func decodeWeights(row tablestore.Row) (Weights, error) {
	var w Weights
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return w, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadAnswer, "decode weights row %s", row.Key)
	}
	w.Model = strings.TrimPrefix(row.Key, weightsPrefix)
	return w, nil
}

func (o *OperatorHandlers) putWeights(c echo.Context) error {
	var change WeightsChange
	if err := decodeStrictJSON(c, &change); err != nil {
		return writeError(c, err)
	}
	if change.ExpectedVersion == nil || change.Version <= *change.ExpectedVersion || *change.ExpectedVersion < 0 {
		return writeError(c, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "version and expected_version are required; expected_version must not be negative and version must be above it"))
	}
	if model := c.Param("model"); len(model) > plan.MaxNameBytes || strings.Contains(model, "/") {
		return writeError(c, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "model name is too long or contains a slash"))
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), weightsTimeout)
	defer cancel()
	want := Weights{Model: c.Param("model"), Version: change.Version, ObjectKey: change.ObjectKey, Size: change.Size}
	current, committed, err := o.setWeights(ctx, want, *change.ExpectedVersion)
	switch {
	case err != nil:
		return writeError(c, err)
	case committed:
		return c.JSON(http.StatusOK, current)
	}
	return c.JSON(http.StatusConflict, WeightsConflict{
		ErrorBody: ErrorBody{Error: ErrorDetail{
			Message: "the version of the model is not the expected version", Type: "lavenderstand_error",
			Reason: verdict.ReasonConflict, Verdict: verdict.NotRun,
		}},
		Current: current,
	})
}

// setWeights replaces the expected version with want. If committed is false, current
// is the version in force.
func (o *OperatorHandlers) setWeights(ctx context.Context, want Weights, expected ledger.Version) (current Weights, committed bool, err error) {
	key := weightsPrefix + want.Model
	row, found, err := o.Tables.Get(ctx, key)
	if err != nil {
		return current, false, verdict.Wrap(err, verdict.NotRun, verdict.ReasonOf(err), "read weights of %s", want.Model)
	}
	if found {
		if current, err = decodeWeights(row); err != nil {
			return current, false, err
		}
	}
	if current.Version != expected {
		return current, false, nil
	}
	value, err := json.Marshal(want)
	if err != nil {
		return current, false, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode weights")
	}
	txn := tablestore.Txn{
		Op: o.NewOpID(), If: []tablestore.Condition{{Key: key, Version: row.Version}},
		Put: []tablestore.Put{{Key: key, Value: value}},
	}
	return o.commitWeights(ctx, txn, want)
}

// commitWeights sends the transaction until its outcome is known. The condition on
// the row version lets at most one copy commit. An earlier copy may have caused a
// conflict, so the operation id of the row decides which change was committed.
func (o *OperatorHandlers) commitWeights(ctx context.Context, txn tablestore.Txn, want Weights) (Weights, bool, error) {
	for sent := 0; ; sent++ {
		result, err := o.Tables.Commit(ctx, txn)
		switch {
		case err == nil && result.Committed:
			return want, true, nil
		case err != nil && verdict.Of(err) == verdict.NotRun && sent == 0:
			return Weights{}, false, err
		}
		row, err := o.readBack(ctx, txn.Put[0].Key)
		if err != nil {
			return Weights{}, false, err
		}
		if row.Op == txn.Op {
			return want, true, nil
		}
		if row.Version != txn.If[0].Version {
			current, err := decodeWeights(row)
			return current, false, err
		}
		if err := pause(ctx); err != nil {
			return Weights{}, false, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "outcome of the change to %s is unknown", txn.Put[0].Key)
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(readBackInterval):
		return nil
	}
}

// readBack reads a row and repeats the read until one succeeds. If ctx ends first,
// the outcome of the change remains unknown.
func (o *OperatorHandlers) readBack(ctx context.Context, key string) (tablestore.Row, error) {
	for {
		row, _, err := o.Tables.Get(ctx, key)
		if err == nil {
			return row, nil
		}
		if pause(ctx) != nil {
			return row, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "outcome of the change to %s is unknown", key)
		}
	}
}
