// Package orderlease keeps the lease under which one process gives orders to engines, a
// row that its holder renews. The version of the row at which a process took the
// lease is its fencing token: versions rise and are never used twice.
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

// Key is the key of the lease for orders.
var Key = store.Key{Table: lot.TableCoordination, Name: "duty/orders"}

// writeTimeout bounds one write. It has room for a direct call and one through another
// host.
const writeTimeout = 900 * time.Millisecond

type record struct {
	Holder  lot.Process `json:"holder"`
	WriteID uint64      `json:"write"` // differs with each write of a holder
}

// Parse decodes the lease.
func Parse(r store.Row) (holder lot.Process, ok bool) {
	var rec record
	if r.Deleted || json.Unmarshal(r.Value, &rec) != nil {
		return lot.Process{}, false
	}
	return rec.Holder, true
}

// Writer writes the lease for one process. It is used by one goroutine at a time.
type Writer struct {
	Store  store.Client
	Self   lot.Process
	Now    func() time.Duration
	writes uint64
}

// Result is the outcome of a write. SentAt is the time just before it was sent.
type Result struct {
	Version uint64
	SentAt  time.Duration
}

// Write takes, renews or releases the lease, whose row has the given version. If an
// earlier write of this process took effect without an answer, it continues from
// there. A lease of another process is an error with the reason conflict.
func (k *Writer) Write(ctx context.Context, version uint64, release bool) (Result, error) {
	w, current, err := k.tryWrite(ctx, version, release)
	if err == nil && current != nil {
		if holder, ok := Parse(*current); ok && holder == k.Self {
			w, current, err = k.tryWrite(ctx, current.Version, release)
		}
	}
	if err == nil && current != nil {
		return Result{}, verdict.New(verdict.NotRun, verdict.ReasonConflict, "the lease changed to version %d", current.Version)
	}
	return w, err
}

func (k *Writer) tryWrite(ctx context.Context, version uint64, release bool) (Result, *store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	k.writes++
	rec := record{Holder: k.Self, WriteID: k.writes}
	if release {
		rec.Holder = lot.Process{}
	}
	value, err := json.Marshal(rec)
	if err != nil {
		return Result{}, nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode lease")
	}
	sent := k.Now()
	v, err := k.Store.Commit(ctx, store.Commit{
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
	return Result{Version: v, SentAt: sent}, nil, err
}
