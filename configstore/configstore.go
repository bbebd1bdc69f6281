// Package configstore keeps the configuration in the table service: one row with
// the current version and a write-once row per version. A change is one
// transaction over both, conditional on the version before it. The write-once
// row tells the outcome of a change even after later changes.
package configstore

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Keys of the configuration's rows.
const (
	CurrentKey    = "config/current"
	HistoryPrefix = "config/history/"
)

// HistoryKey returns the key of a version's row. Versions are padded so that the
// order of keys is the order of versions.
func HistoryKey(version uint64) string { return fmt.Sprintf("%s%020d", HistoryPrefix, version) }

// Record is one version of the configuration.
type Record struct {
	Version uint64          `json:"version"`
	Author  string          `json:"author"`
	Body    json.RawMessage `json:"body"`
}

// Decode reads the value of a configuration row. Unknown fields, of the record
// or in the body, are no error: a newer program version may have written them.
func Decode(value json.RawMessage) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errorx.IllegalFormat.Wrap(err, "configuration row")
	}
	if r.Version == 0 || len(r.Body) == 0 {
		return Record{}, errorx.IllegalFormat.New("configuration row with version %d and %d bytes of body",
			r.Version, len(r.Body))
	}
	return r, nil
}

// Store reads and changes the configuration.
type Store struct {
	Tables  tablestore.Tables
	NewOp   func() string
	Resolve tablestore.ResolveOptions
}

// Result is the outcome of Commit. Without Committed, Winner is the version that
// was in force instead of the expected one.
type Result struct {
	Committed bool
	Version   uint64 // committed version
	Winner    Record // zero if there is no configuration
}

// Read returns the current configuration; found is false before the first.
func (s *Store) Read(ctx context.Context) (r Record, found bool, err error) {
	r, _, err = s.read(ctx)
	return r, err == nil && r.Version > 0, err
}

func (s *Store) read(ctx context.Context) (r Record, rowVersion uint64, err error) {
	row, found, err := tablestore.GetWithRetry(ctx, s.Tables, CurrentKey, s.Resolve)
	if err != nil || !found {
		return Record{}, 0, err
	}
	r, err = Decode(row.Value)
	if err != nil {
		return Record{}, 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadAnswer, "read configuration")
	}
	return r, row.Version, nil
}

// Commit replaces version expected (0: none) by the next one. A conflict is no
// error. An error with verdict NotRun means that nothing was changed, one with
// MayHaveRun that the outcome is unknown.
func (s *Store) Commit(ctx context.Context, expected uint64, author string, body json.RawMessage) (Result, error) {
	current, rowVersion, err := s.read(ctx)
	if err != nil {
		return Result{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonOf(err), "change configuration")
	}
	if current.Version != expected {
		return Result{Winner: current}, nil
	}
	next := Record{Version: expected + 1, Author: author, Body: body}
	committed, err := s.write(ctx, rowVersion, next)
	switch {
	case err != nil:
		return Result{}, err
	case committed:
		return Result{Committed: true, Version: next.Version}, nil
	}
	winner, err := s.readWinner(ctx, next.Version)
	return Result{Winner: winner}, err
}

func (s *Store) write(ctx context.Context, rowVersion uint64, next Record) (committed bool, err error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "encode configuration")
	}
	history := HistoryKey(next.Version)
	resolve := s.Resolve
	// The current row is overwritten by the next change, the history row never.
	resolve.WriteOnce = func(key string) bool { return key == history }
	result, err := tablestore.CommitResolved(ctx, s.Tables, tablestore.Txn{
		Op:  s.NewOp(),
		If:  []tablestore.Condition{{Key: history, Version: 0}, {Key: CurrentKey, Version: rowVersion}},
		Put: []tablestore.Put{{Key: history, Value: value}, {Key: CurrentKey, Value: value}},
	}, resolve)
	return result.Committed, err
}

// readWinner returns the change that took the version.
func (s *Store) readWinner(ctx context.Context, version uint64) (Record, error) {
	r, found, err := s.Version(ctx, version)
	if err != nil || !found {
		return Record{}, verdict.New(verdict.NotRun, verdict.ReasonConflict,
			"configuration version %d was taken by another change that can't be read: %v", version, err)
	}
	return r, nil
}

// Version returns a version from the history.
func (s *Store) Version(ctx context.Context, version uint64) (r Record, found bool, err error) {
	row, found, err := tablestore.GetWithRetry(ctx, s.Tables, HistoryKey(version), s.Resolve)
	if err != nil || !found {
		return Record{}, false, err
	}
	r, err = Decode(row.Value)
	return r, err == nil, err
}

// History returns all versions in order, and the number of malformed rows that
// were skipped.
func (s *Store) History(ctx context.Context) (records []Record, malformed int, err error) {
	rows, err := s.Tables.Scan(ctx, HistoryPrefix)
	if err != nil {
		return nil, 0, err
	}
	for _, row := range rows {
		r, err := Decode(row.Value)
		if err != nil {
			malformed++
			continue
		}
		records = append(records, r)
	}
	return records, malformed, nil
}
