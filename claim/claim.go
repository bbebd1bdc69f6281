// Package claim ensures that a non-idempotent request runs at most once. Only the
// process that created the claim row of a request in the table service sends it.
//
// Claim returns one of these results:
//
//	Claimed:    send the request, then call Finish, or Release if it definitely
//	            did not run and will not be tried on another backend.
//	Finished:   replay the stored outcome.
//	InProgress: the request may have run.
//	KeyReused:  the key belongs to a request with different content.
//
// Each request writes two rows: the claim and its outcome.
package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// Retention is how long a claim row is kept, counted from the call of Claim.
	Retention = 24 * time.Hour
	// MaxStoredBodyBytes is the size of the largest response body that is stored for
	// replay.
	MaxStoredBodyBytes = 64 << 10
)

// Status indicates whether a request was claimed.
type Status uint8

// Values of Status. The zero value is not one of them.
const (
	Claimed    Status = iota + 1 // this process may send the request
	Finished                     // the outcome of an earlier request is stored
	InProgress                   // claimed by another call; the verdict is MayHaveRun
	KeyReused                    // claimed for different content; the verdict is NotRun
)

// Outcome is the response that is stored in a finished claim.
type Outcome struct {
	StatusCode  int    `json:"status_code"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted means that the body exceeded MaxStoredBodyBytes, was not stored and
	// cannot be replayed.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// Handle identifies a claim that this process holds. Finish and Release require it.
type Handle struct {
	key     string
	version uint64
	row     row
}

// Result is the result of Claim.
type Result struct {
	Status  Status
	Handle  Handle  // set if Status is Claimed
	Outcome Outcome // set if Status is Finished
}

// Store creates and updates claims in the table service.
type Store struct {
	Tables    tablestore.Tables
	ProcessID string           // id of this process, stored with each claim
	NewOpID   func() string    // returns a unique operation id
	Now       func() time.Time // wall clock, used only for the time stamps in rows
	// Resolve configures the retries of calls to the table service.
	Resolve tablestore.ResolveOptions
	// RowsWritten, if set, is called with the number of rows of each committed write.
	RowsWritten func(rows int)
}

// Claim claims a request or returns why it must not be sent. requestHash identifies the
// content of the request. After an error the request was not and must not be sent, so
// the verdict of the error is NotRun. The claim row may exist nevertheless, and a
// repeated Claim then returns InProgress.
func (s *Store) Claim(ctx context.Context, caller, route, key, requestHash string) (Result, error) {
	now := s.Now()
	h := Handle{key: Key(caller, route, key), row: row{
		State: stateClaimed, Entry: s.ProcessID, RequestHash: requestHash,
		CreatedMS: now.UnixMilli(), KeepUntilMS: now.Add(Retention).UnixMilli(),
	}}
	for {
		version, err := s.write(ctx, h, s.NewOpID())
		switch {
		case err == nil && version > 0:
			h.version = version
			return Result{Status: Claimed, Handle: h}, nil
		case err != nil && verdict.ReasonOf(err) != verdict.ReasonConflict:
			return Result{}, unavailableError(err)
		}
		result, retry, err := s.classifyExisting(ctx, &h)
		if !retry || err != nil {
			return result, err
		}
	}
}

// classifyExisting reads the row that prevented a claim and returns the result for it.
// retry is true if the claim should be written again. In that case the row either no
// longer exists or was released, and h.version is set to its version for the condition
// of the write.
func (s *Store) classifyExisting(ctx context.Context, h *Handle) (result Result, retry bool, err error) {
	found, exists, err := s.get(ctx, h.key)
	switch {
	case err != nil:
		return Result{}, false, unavailableError(err)
	case !exists:
		h.version = 0
		return Result{}, true, nil
	}
	r, err := decodeRow(found.Value)
	switch {
	case err != nil: // written by a faulty or newer program, so the request may have run
		return Result{Status: InProgress}, false, nil
	case r.RequestHash != h.row.RequestHash:
		return Result{Status: KeyReused}, false, nil
	case r.State == stateFinished:
		return Result{Status: Finished, Outcome: *r.Outcome}, false, nil
	case r.State == stateReleased:
		h.version = found.Version
		return Result{}, true, nil
	}
	return Result{Status: InProgress}, false, nil
}

// Finish stores the outcome of a claimed request for replay. The response to the caller
// does not depend on it. Without Finish, the claim stays in progress.
func (s *Store) Finish(ctx context.Context, h Handle, o Outcome) error {
	if len(o.Body) > MaxStoredBodyBytes {
		o.Body, o.BodyOmitted = nil, true
	}
	h.row.State, h.row.Outcome = stateFinished, &o
	return s.update(ctx, h)
}

// Release gives up the claim of a request that definitely did not run, so that the
// caller can repeat the request and claim it again. It must not be called while an
// attempt of the request may still run. Another attempt by the same process does not
// need Release, because it runs under the same claim.
func (s *Store) Release(ctx context.Context, h Handle) error {
	h.row.State = stateReleased
	return s.update(ctx, h)
}

// update writes the row of a claim that this process holds. A conflict is an error.
func (s *Store) update(ctx context.Context, h Handle) error {
	version, err := s.write(ctx, h, s.NewOpID())
	if err == nil && version == 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonConflict, "claim %s was changed by another writer", h.key)
	}
	return err
}

// write writes the row of a claim, conditional on its version. It returns the new
// version, or 0 after a conflict.
func (s *Store) write(ctx context.Context, h Handle, op string) (version uint64, err error) {
	value, err := json.Marshal(h.row)
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode claim")
	}
	resolve := s.Resolve
	// A created row can be treated as write-once: until this call returns, no process
	// finishes or releases the new claim, and rows are deleted only after Retention.
	resolve.WriteOnce = tablestore.EveryCreatedRow
	result, err := tablestore.CommitResolved(ctx, s.Tables, tablestore.Txn{
		Op:  op,
		If:  []tablestore.Condition{{Key: h.key, Version: h.version}},
		Put: []tablestore.Put{{Key: h.key, Value: value}},
	}, resolve)
	if err != nil || !result.Committed {
		return 0, err
	}
	if s.RowsWritten != nil {
		s.RowsWritten(1)
	}
	return result.Versions[h.key], nil
}

// get reads the row. It retries after a failure until ctx ends.
func (s *Store) get(ctx context.Context, key string) (r tablestore.Row, found bool, err error) {
	return tablestore.GetWithRetry(ctx, s.Tables, key, s.Resolve)
}

// unavailableError returns the refusal of a request that cannot be claimed.
func unavailableError(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, verdict.ReasonStoreUnavailable, "claim request")
}
