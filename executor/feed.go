// Package executor carries out the commands of hosts that serve on a platform with
// a shared store, and turns outcomes and changes of the store into events.
package executor

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// feedReadMargin is added to it before the read counts as lost. It leaves time for one
	// try through another host.
	feedReadMargin = 1600 * time.Millisecond
	// minFeedRetryInterval doubles with each failure in a row up to maxFeedRetry.
	minFeedRetryInterval = 80 * time.Millisecond
	maxFeedRetryInterval = 400 * time.Millisecond
	// maxRateLimitedAge is the time without a successful read after which a feed whose reads
	// the store refuses by its rate counts as lost. A host that judges the silence of
	// others needs younger knowledge.
	maxRateLimitedAge = time.Second
	// intervalJitterRatio varies the time between reads, so that hosts which all learn of a change
	// at the same moment do not ask again at the same moment.
	intervalJitterRatio = 0.5
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
	// CoalesceDelay is the wait after each answer with changes, in which further ones gather.
	CoalesceDelay time.Duration
	// MinInterval is the smallest mean time between two reads; nil does not limit them.
	MinInterval func() time.Duration
	// LongPollWait is how long the store holds a read without changes. It is short, because a
	// channel that went silent is noticed only by its time-out.
	LongPollWait time.Duration
	Deliver      func(context.Context, event.Event) error
	// OnReadFailure is called after each read that failed.
	OnReadFailure func()

	version uint64
	synced  bool
	partial fullRead // of a read in full that was refused before its end
	down    bool
	started bool
	freshAt atomic.Int64 // Unix nanoseconds before the newest successful read was sent
}

// fullRead is a table as far as it has been read in full.
type fullRead struct {
	rows      []store.Row
	version   uint64 // of the store when the first part was read
	partsRead int    // that have been read
}

// Age returns the time since the table was known to be current.
func (f *Feed) Age() time.Duration { return time.Since(time.Unix(0, f.freshAt.Load())) }

// Run follows the table until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	retry := minFeedRetryInterval
	for ctx.Err() == nil {
		sent, parts := time.Now(), f.partial.partsRead
		rows, full, err := f.read(ctx)
		if err != nil {
			f.handleReadFailure(ctx, err)
			if f.partial.partsRead > parts {
				retry = minFeedRetryInterval
			}
			sleep(ctx, jitter(retry))
			retry = min(maxFeedRetryInterval, 2*retry)
			continue
		}
		retry = minFeedRetryInterval
		f.handleReadSuccess(ctx)
		for _, e := range f.Decode(rows, full, f.version) {
			_ = f.Deliver(ctx, e) // fails only when the process ends
		}
		f.freshAt.Store(sent.UnixNano())
		f.waitForNextRead(ctx, sent, len(rows) > 0)
	}
	return nil
}

// waitForNextRead waits until the next read is due.
func (f *Feed) waitForNextRead(ctx context.Context, sent time.Time, changed bool) {
	var due time.Duration
	if changed {
		due = f.CoalesceDelay
	}
	if f.MinInterval != nil {
		due = max(due, jitter(f.MinInterval())-time.Since(sent))
	}
	if due > 0 {
		sleep(ctx, due)
	}
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - intervalJitterRatio + 2*intervalJitterRatio*rand.Float64()))
}

// read returns the whole table first and after lost history, else changes.
func (f *Feed) read(ctx context.Context) (rows []store.Row, full bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.LongPollWait+feedReadMargin)
	defer cancel()
	if f.synced {
		r, err := f.Store.Changes(ctx, f.Table, f.version, f.LongPollWait)
		if !errors.Is(err, store.ErrHistoryGone) {
			if err == nil {
				f.version = max(f.version, r.Version)
			}
			return r.Rows, false, err
		}
		f.synced = false
	}
	if err := f.readParts(ctx); err != nil {
		return nil, true, err
	}
	rows, f.version, f.synced = f.partial.rows, f.partial.version, true
	f.partial = fullRead{}
	return rows, true, nil
}

// readParts reads all parts. Changes after the first part was read arrive by the feed. A
// part that the store refused by its rate is read again without those before it: when
// many hosts start at once, none of them would come to the end otherwise.
func (f *Feed) readParts(ctx context.Context) error {
	p := &f.partial
	for p.partsRead < len(f.Parts) {
		r, err := f.Store.Read(ctx, f.Table, f.Parts[p.partsRead], "", 0)
		if err != nil {
			if verdict.ReasonOf(err) != verdict.ReasonRateLimited {
				f.partial = fullRead{}
			}
			return err
		}
		if p.partsRead == 0 {
			p.version = r.Version
		}
		p.rows = append(p.rows, r.Rows...)
		p.partsRead++
	}
	return nil
}

func (f *Feed) handleReadFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if verdict.ReasonOf(err) == verdict.ReasonRateLimited {
		if f.Age() < maxRateLimitedAge {
			return // the store works; the next read is later
		}
	} else {
		f.OnReadFailure()
	}
	if !f.down {
		f.down = true
		_ = f.Deliver(ctx, event.FeedChanged{Table: f.Name, Down: true, Failure: event.FailureOf(err)})
	}
}

func (f *Feed) handleReadSuccess(ctx context.Context) {
	if f.started && !f.down {
		return
	}
	f.started, f.down = true, false
	_ = f.Deliver(ctx, event.FeedChanged{Table: f.Name})
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
