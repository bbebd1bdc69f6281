// Package usage defines the counts of requests by organisation that are reported to a
// platform, and stores them. The counts of a window of time are written once, before the first
// report of the window is sent; every report of the window then states the stored counts,
// whichever host sends it.
package usage

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Table is the table of the store that holds the windows. The name of a row is the number of
// the window.
const Table = "usage"

// writeTimeout bounds one write. It allows for a direct call and one through another host.
const writeTimeout = 900 * time.Millisecond

// Count holds the requests of one process in a window. They are cumulative, so that a report
// can be repeated.
type Count struct {
	Window int64
	Counts map[string]int64 // by organisation
}

// Report holds the counts that a process reports to the host that collects them.
type Report struct {
	Host    string
	BootID  string        // of the process
	Clock   time.Duration // time since 1970 at the process, without correction, when it sent the report
	Windows []Count
}

// Answer is the answer to a report. The other fields are not set unless Holder is.
type Answer struct {
	Holder       bool  // the host collects counts
	FixedThrough int64 // counts of this and earlier windows are no longer changed
	// Correction is the time to be added to the clock of the process that reported.
	Correction time.Duration
}

// Receiver receives reports.
type Receiver interface {
	Report(ctx context.Context, r Report) (Answer, error)
}

// Window is a stored window.
type Window struct {
	Number  int64
	Counts  map[string]int64 // by organisation
	Sent    bool             // the platform has taken the report
	Version uint64           // of the row
}

// record is the stored form of a window.
type record struct {
	Counts map[string]int64 `json:"counts"`
	Sent   bool             `json:"sent,omitempty"`
}

func key(number int64) store.Key {
	return store.Key{Table: Table, Name: strconv.FormatInt(number, 10)}
}

// parse decodes a row. ok is false if it is not a valid window.
func parse(r store.Row) (w Window, ok bool) {
	number, err := strconv.ParseInt(r.Name, 10, 64)
	var rec record
	if err != nil || r.Deleted || json.Unmarshal(r.Value, &rec) != nil {
		return Window{}, false
	}
	if rec.Counts == nil {
		rec.Counts = map[string]int64{}
	}
	return Window{Number: number, Counts: rec.Counts, Sent: rec.Sent, Version: r.Version}, true
}

// Fix stores the counts of a window unless the window is stored already. It returns the window
// as stored: its counts are those to report, whichever process wrote them.
func Fix(ctx context.Context, s store.Client, number int64, counts map[string]int64) (Window, error) {
	w := Window{Number: number, Counts: counts}
	version, err := write(ctx, s, w)
	var conflict *store.Conflict
	if !errors.As(err, &conflict) {
		w.Version = version
		return w, err
	}
	row := conflict.Find(key(number))
	if row == nil {
		return Window{}, verdict.New(verdict.NotRun, verdict.ReasonConflict, "usage window %d was removed", number)
	}
	stored, ok := parse(*row)
	if !ok {
		return Window{}, verdict.New(verdict.NotRun, verdict.ReasonStoreRejected, "the row of usage window %d cannot be decoded", number)
	}
	return stored, nil
}

// MarkSent records that the platform has taken the report of a window. It does nothing if the
// window was changed or removed meanwhile: only a sender of the same counts changes it.
func MarkSent(ctx context.Context, s store.Client, w Window) error {
	w.Sent = true
	_, err := write(ctx, s, w)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

func write(ctx context.Context, s store.Client, w Window) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := json.Marshal(record{Counts: w.Counts, Sent: w.Sent})
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode usage window %d", w.Number)
	}
	return s.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: key(w.Number), Version: w.Version}},
		Put:        []store.Row{{Key: key(w.Number), Value: value}},
	})
}

// Remove deletes windows. They must be too old to be reported.
func Remove(ctx context.Context, s store.Client, numbers []int64) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var c store.Commit
	for _, n := range numbers {
		c.Delete = append(c.Delete, key(n))
	}
	_, err := s.Commit(ctx, c)
	return err
}

// Stored is the content of the table.
type Stored struct {
	Windows       []Window
	Holder        HolderCounts
	HolderVersion uint64 // of the row that holds Holder, 0 if there is none
	Unreadable    int    // rows that are not valid
}

// Read returns the content of the table. Rows that are not valid are left out and counted.
func Read(ctx context.Context, s store.Client) (Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	r, err := s.Read(ctx, Table, "", "", 0)
	if err != nil {
		return Stored{}, err
	}
	var stored Stored
	for _, row := range r.Rows {
		ok := false
		if row.Key == holderKey {
			stored.HolderVersion = row.Version
			stored.Holder, ok = parseHolder(row)
		} else {
			var w Window
			if w, ok = parse(row); ok {
				stored.Windows = append(stored.Windows, w)
			}
		}
		if !ok {
			stored.Unreadable++
		}
	}
	return stored, nil
}
