// Package executor carries out the commands of hosts that serve on a platform with
// a shared store, and turns outcomes and changes of the store into events.
package executor

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/store"
)

const (
	// feedSlack is added to it before the read counts as lost. It leaves time for one
	// try through another host.
	feedSlack = 1600 * time.Millisecond
	// feedRetry doubles with each failure in a row up to maxFeedRetry.
	feedRetry    = 80 * time.Millisecond
	maxFeedRetry = 400 * time.Millisecond
)

// Feed follows a table of the store from its full content on.
type Feed struct {
	Name  string // as decisions know the table
	Table string
	Parts []string // of the table, for reading it in full
	Store store.Client
	// Decode turns rows into events. Version is that of the store up to which the table
	// is then known.
	Decode func(rows []store.Row, full bool, version uint64) []event.Event
	// Pause is the wait after each answer with changes, in which further ones gather.
	Pause time.Duration
	// Wait is how long the store holds a read without changes. It is short, because a
	// channel that went silent is noticed only by its time-out.
	Wait    time.Duration
	Deliver func(context.Context, event.Event) error
	// Broken is called after each read that failed.
	Broken func()

	version uint64
	known   bool
	down    bool
	begun   bool
	fresh   atomic.Int64 // Unix nanoseconds before the newest successful read was sent
}

// Age returns the time since the table was known to be current.
func (f *Feed) Age() time.Duration { return time.Since(time.Unix(0, f.fresh.Load())) }

// Run follows the table until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	retry := feedRetry
	for ctx.Err() == nil {
		sent := time.Now()
		rows, full, err := f.read(ctx)
		if err != nil {
			f.failed(ctx, err)
			wait(ctx, retry)
			retry = min(maxFeedRetry, 2*retry)
			continue
		}
		retry = feedRetry
		f.regained(ctx)
		for _, e := range f.Decode(rows, full, f.version) {
			_ = f.Deliver(ctx, e) // fails only when the process ends
		}
		f.fresh.Store(sent.UnixNano())
		if len(rows) > 0 && f.Pause > 0 {
			wait(ctx, f.Pause)
		}
	}
	return nil
}

// read returns the whole table first and after lost history, else changes.
func (f *Feed) read(ctx context.Context) (rows []store.Row, full bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+feedSlack)
	defer cancel()
	if f.known {
		r, err := f.Store.Changes(ctx, f.Table, f.version, f.Wait)
		if !errors.Is(err, store.ErrHistoryGone) {
			if err == nil {
				f.version = max(f.version, r.Version)
			}
			return r.Rows, false, err
		}
		f.known = false
	}
	rows, version, err := f.readParts(ctx)
	if err == nil {
		f.known, f.version = true, version
	}
	return rows, true, err
}

// readParts reads all parts. Changes after the first part was read arrive by the feed.
func (f *Feed) readParts(ctx context.Context) (rows []store.Row, version uint64, err error) {
	for i, part := range f.Parts {
		r, err := f.Store.Read(ctx, f.Table, part, "", 0)
		if err != nil {
			return nil, 0, err
		}
		if i == 0 {
			version = r.Version
		}
		rows = append(rows, r.Rows...)
	}
	return rows, version, nil
}

func (f *Feed) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.Broken()
	if !f.down {
		f.down = true
		_ = f.Deliver(ctx, event.FeedChanged{Table: f.Name, Down: true, Failure: event.FailureOf(err)})
	}
}

func (f *Feed) regained(ctx context.Context) {
	if f.begun && !f.down {
		return
	}
	f.begun, f.down = true, false
	_ = f.Deliver(ctx, event.FeedChanged{Table: f.Name})
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
