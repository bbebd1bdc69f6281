// Package configstore stores the configuration in the table service. One row holds the
// current version, and each version has a history row that is written only once. A
// change is one transaction that writes both rows, conditional on the previous version.
// The history row shows the outcome of a change even after later changes.
package configstore

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Keys of the configuration rows.
const (
	CurrentKey    = "config/current"
	HistoryPrefix = "config/history/"
)

// HistoryKey returns the key of the history row of a version. The version is padded with
// zeros, so that the keys sort by version.
func HistoryKey(version uint64) string { return fmt.Sprintf("%s%020d", HistoryPrefix, version) }

// Record is one version of the configuration.
type Record struct {
	Version uint64          `json:"version"`
	Author  string          `json:"author"`
	Body    json.RawMessage `json:"body"`
}

// Decode decodes and validates the value of a configuration row. Unknown fields of the
// record or the body are not an error, because a newer program version may have written
// them.
func Decode(value json.RawMessage) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errorx.IllegalFormat.Wrap(err, "decode configuration row")
	}
	if r.Version == 0 || len(r.Body) == 0 {
		return Record{}, errorx.IllegalFormat.New("configuration row with version %d and a body of %d bytes, expected both above 0",
			r.Version, len(r.Body))
	}
	return r, nil
}

// Store reads and changes the configuration.
type Store struct {
	Tables  tablestore.Tables
	NewOpID func() string // returns a unique operation id
	Resolve tablestore.ResolveOptions
}

// Result is the outcome of Commit. If Committed is false, Winner is the version that was
// in force instead of the expected one.
type Result struct {
	Committed bool
	Version   uint64 // committed version
	Winner    Record // zero if there is no configuration yet
}

// Read returns the current configuration. found is false if there is none yet.
func (s *Store) Read(ctx context.Context) (r Record, found bool, err error) {
	r, _, err = s.read(ctx)
	return r, err == nil && r.Version > 0, err
}

// read returns the current configuration and the version of its row. Both are zero if
// there is none yet.
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

// Commit replaces the configuration of version expected with the next version. expected
// is 0 if there is no configuration yet. A conflict is not an error. An error with the
// verdict NotRun means that nothing was changed, and one with MayHaveRun that the outcome
// is unknown.
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

// write writes the next version, conditional on the version of the current row.
func (s *Store) write(ctx context.Context, rowVersion uint64, next Record) (committed bool, err error) {
	value, err := json.Marshal(next)
	if err != nil {
		return false, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "encode configuration")
	}
	history := HistoryKey(next.Version)
	resolve := s.Resolve
	// The next change overwrites the current row, but a history row is never
	// overwritten.
	resolve.WriteOnce = func(key string) bool { return key == history }
	result, err := tablestore.CommitResolved(ctx, s.Tables, tablestore.Txn{
		Op:  s.NewOpID(),
		If:  []tablestore.Condition{{Key: history, Version: 0}, {Key: CurrentKey, Version: rowVersion}},
		Put: []tablestore.Put{{Key: history, Value: value}, {Key: CurrentKey, Value: value}},
	}, resolve)
	return result.Committed, err
}

// readWinner returns the accepted change for the version.
func (s *Store) readWinner(ctx context.Context, version uint64) (Record, error) {
	r, found, err := s.Version(ctx, version)
	if err != nil || !found {
		return Record{}, verdict.New(verdict.NotRun, verdict.ReasonConflict,
			"configuration version %d was committed by another change, which cannot be read: %v", version, err)
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
