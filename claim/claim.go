// Package claim makes a non-idempotent request run at most once: the request is
// sent only by the process that created the claim row in the table service.
//
//	Claim -> Claimed: send the request, then Finish, or Release if it
//	         definitely did not run and won't be tried on another backend.
//	      -> Finished: replay the stored outcome.
//	      -> InProgress: the request may have run.
//	      -> KeyReused: the key belongs to a request with another body.
//
// A call costs two rows written: the claim and its outcome.
package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// Retention is how long a claim row is kept.
	Retention = 24 * time.Hour
	// MaxStoredBodyBytes is the largest response body that is kept for replay.
	MaxStoredBodyBytes = 64 << 10
)

// Status is the outcome of Claim.
type Status uint8

// Outcomes of Claim. The zero value is none of them.
const (
	Claimed Status = iota + 1
	Finished
	InProgress // claimed by another call, verdict MayHaveRun
	KeyReused  // with another request body, verdict NotRun
)

// Outcome is a response as stored in a finished claim.
type Outcome struct {
	StatusCode  int    `json:"status_code"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted says that the body exceeded MaxStoredBodyBytes and can't be replayed.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// Handle is a claim of this process. It is the receipt for Finish and Release.
type Handle struct {
	key     string
	version uint64
	row     row
}

// Result is the answer to Claim.
type Result struct {
	Status  Status
	Handle  Handle  // if Claimed
	Outcome Outcome // if Finished
}

// Store claims requests over the table service.
type Store struct {
	Tables    tablestore.Tables
	ProcessID string           // id of this process, stored with each claim
	NewOp     func() string    // unique operation ids
	Now       func() time.Time // wall clock, for the retention stamp only
	// Resolve sets the repetition of calls.
	Resolve tablestore.ResolveOptions
	// RowsWritten, if set, receives the rows of each committed write.
	RowsWritten func(rows int)
}

// Claim claims a request or says why it can't be sent. requestHash identifies
// the request's content. On an error nothing was or will be sent, so its verdict
// is NotRun; the claim row may exist nevertheless, and a repetition then gets
// InProgress.
func (s *Store) Claim(ctx context.Context, caller, route, key, requestHash string) (Result, error) {
	now := s.Now()
	h := Handle{key: Key(caller, route, key), row: row{
		State: stateClaimed, Entry: s.ProcessID, RequestHash: requestHash,
		CreatedMS: now.UnixMilli(), KeepUntilMS: now.Add(Retention).UnixMilli(),
	}}
	for {
		version, err := s.write(ctx, h, s.NewOp())
		switch {
		case err == nil && version > 0:
			h.version = version
			return Result{Status: Claimed, Handle: h}, nil
		case err != nil && verdict.ReasonOf(err) != verdict.ReasonConflict:
			return Result{}, unavailableError(err)
		}
		result, again, err := s.classifyExisting(ctx, &h)
		if !again || err != nil {
			return result, err
		}
	}
}

// classifyExisting classifies the row that stands in the way of a claim. again asks for
// another write: the row is gone, or it was released, in which case h now
// carries its version as the condition.
func (s *Store) classifyExisting(ctx context.Context, h *Handle) (result Result, again bool, err error) {
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
	case err != nil: // written by a faulty or newer program: it may have run
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

// Finish stores the outcome of a claimed request, for replay. The caller's
// response doesn't depend on it: without it, the claim stays in progress.
func (s *Store) Finish(ctx context.Context, h Handle, o Outcome) error {
	if len(o.Body) > MaxStoredBodyBytes {
		o.Body, o.BodyOmitted = nil, true
	}
	h.row.State, h.row.Outcome = stateFinished, &o
	return s.update(ctx, h)
}

// Release gives up the claim of a request that definitely did not run, so that
// the caller's next attempt may claim it. It must not be called while any
// attempt of the request may still run. Another attempt by the same process
// needs no Release: it runs under the same claim.
func (s *Store) Release(ctx context.Context, h Handle) error {
	h.row.State = stateReleased
	return s.update(ctx, h)
}

func (s *Store) update(ctx context.Context, h Handle) error {
	version, err := s.write(ctx, h, s.NewOp())
	if err == nil && version == 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonConflict, "claim %s was changed by another writer", h.key)
	}
	return err
}

// write writes the row of a claim, conditional on its version; it returns the
// new version, 0 after a conflict.
func (s *Store) write(ctx context.Context, h Handle, op string) (version uint64, err error) {
	value, err := json.Marshal(h.row)
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode claim")
	}
	resolve := s.Resolve
	// Until this call returns, nobody finishes or releases the new claim, and
	// rows are deleted only after Retention.
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

// get reads the row, again after a failure, until ctx ends.
func (s *Store) get(ctx context.Context, key string) (r tablestore.Row, found bool, err error) {
	return tablestore.GetWithRetry(ctx, s.Tables, key, s.Resolve)
}

// unavailableError is the rejection of a request that can't be claimed.
func unavailableError(cause error) error {
	return verdict.Wrap(cause, verdict.NotRun, verdict.ReasonStoreUnavailable, "claim request")
}
