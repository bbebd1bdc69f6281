// Package orderlease implements the lease under which a single process sends orders to
// engines. The lease is a row of the store that its holder renews. The version of the row
// at which a process acquired the lease is the fencing token: versions increase and are
// never reused.
package orderlease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Key is the key of the row that holds the order lease.
var Key = store.Key{Table: lot.TableCoordination, Name: "duty/orders"}

// writeTimeout bounds one write. It allows for a direct call and one through another host.
const writeTimeout = 900 * time.Millisecond

// Record is the content of the row.
type Record struct {
	Holder lot.Process `json:"holder"` // empty after a release
	// Settled is set once the holder no longer waits for orders of the holder before it.
	Settled bool `json:"settled,omitempty"`
	// Quiet is the time before the write of a release in which no holder sent an order.
	Quiet time.Duration `json:"quiet,omitempty"`
	// StoreUpFor is the time before the write for which the store had served the holder
	// without a break.
	StoreUpFor time.Duration `json:"store_up,omitempty"`
	WriteID    uint64        `json:"write"` // unique to each write of a holder
}

// Parse decodes the row of the lease. ok is false if the row is deleted or not valid.
func Parse(r store.Row) (rec Record, ok bool) {
	if r.Deleted || json.Unmarshal(r.Value, &rec) != nil {
		return Record{}, false
	}
	return rec, true
}

// Writer writes the lease for one process. It is not safe for concurrent use.
type Writer struct {
	Store  store.Client
	Self   lot.Process
	Now    func() time.Duration
	writes uint64
}

// Result is the outcome of a write. Version is the new version of the row; SentAt is the
// time just before the write was sent.
type Result struct {
	Version uint64
	SentAt  time.Duration
}

// Write acquires, renews or releases the lease. version is the expected version of its
// row. rec is the content of the row without its WriteID. If an earlier write of this process took effect but its response was lost, Write
// continues from the version of that write. In every other case in which the row does not
// have the expected version, the error has the reason conflict.
func (w *Writer) Write(ctx context.Context, version uint64, rec Record) (Result, error) {
	result, current, err := w.tryWrite(ctx, version, rec)
	if err == nil && current != nil {
		if stored, ok := Parse(*current); ok && stored.Holder == w.Self {
			result, current, err = w.tryWrite(ctx, current.Version, rec)
		}
	}
	if err == nil && current != nil {
		return Result{}, verdict.New(verdict.NotRun, verdict.ReasonConflict, "the order lease changed to version %d", current.Version)
	}
	return result, err
}

// tryWrite writes the lease once. If the row does not have the given version, it returns
// the current row.
func (w *Writer) tryWrite(ctx context.Context, version uint64, rec Record) (Result, *store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	w.writes++
	rec.WriteID = w.writes
	value, err := json.Marshal(rec)
	if err != nil {
		return Result{}, nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode order lease")
	}
	sentAt := w.Now()
	v, err := w.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: Key, Version: version}},
		Put:        []store.Row{{Key: Key, Value: value}},
	})
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		row := conflict.Find(Key)
		if row == nil {
			row = &store.Row{Key: Key}
		}
		return Result{}, row, nil
	}
	return Result{Version: v, SentAt: sentAt}, nil, err
}
