// Package executor executes the commands of hosts on a platform with a shared store, and
// converts their outcomes and the changes of the store to events.
package executor

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// feedReadMargin is added to Feed.LongPollWait to give the timeout of a read. It leaves
	// time for one attempt through another host.
	feedReadMargin = 1600 * time.Millisecond
	// minFeedRetryInterval is the wait after a failed read. It doubles with each consecutive
	// failure up to maxFeedRetryInterval.
	minFeedRetryInterval = 80 * time.Millisecond
	maxFeedRetryInterval = 400 * time.Millisecond
	// maxRateLimitedAge is the time without a successful read after which a feed is
	// considered lost if the store refuses its reads because of the rate limit. A host needs
	// more recent data to decide whether other hosts have stopped responding.
	maxRateLimitedAge = time.Second
	// suspensionSlack is the time by which a read may exceed its timeout on a busy host
	// without being taken for one during which the process was suspended.
	suspensionSlack = 500 * time.Millisecond
	// intervalJitterRatio is the share by which waits between reads vary in both directions,
	// so that hosts that see a change at the same time do not all read again at the same
	// time.
	intervalJitterRatio = 0.5
)

// Feed reads a table of the store in full and then follows its changes.
type Feed struct {
	Name  string // name of the table in events
	Table string
	Parts []string // partitions of the table, for reading it in full
	Store store.Client
	// Decode converts rows to events. version is the store version up to which the table is
	// known with these rows.
	Decode func(rows []store.Row, full bool, version uint64) []event.Event
	// CoalesceDelay is the wait after each response with changes, so that one read returns
	// several further changes.
	CoalesceDelay time.Duration
	// MinInterval returns the minimum mean interval between two reads. Nil means no limit.
	MinInterval func() time.Duration
	// LongPollWait is the time for which the store holds a read while there are no changes.
	// It is short, because a connection that stopped responding is noticed only by the
	// timeout of a read.
	LongPollWait time.Duration
	// Now returns the time of a clock that counts suspended time and is never set. It is
	// positive.
	Now     func() time.Duration
	Deliver func(context.Context, event.Event) error
	// OnReadFailure is called after each failed read, except those that the store refused
	// because of its rate limit.
	OnReadFailure func()

	version uint64       // store version up to which the table is known
	synced  bool         // the table has been read in full
	partial fullRead     // full read that has not reached its end
	down    bool         // the feed is reported as lost
	started bool         // a read has succeeded
	cutOff  atomic.Bool  // the last reads failed while the process ran
	freshAt atomic.Int64 // time of Now just before the last successful read was sent, 0 if there was none
}

// fullRead is the state of a full read of a table.
type fullRead struct {
	rows      []store.Row
	version   uint64 // store version when the first partition was read
	partsRead int    // number of partitions that have been read
	startedAt time.Duration
}

// Age returns the time since the table was last known to be current.
func (f *Feed) Age() time.Duration {
	freshAt := time.Duration(f.freshAt.Load())
	if freshAt == 0 {
		return math.MaxInt64
	}
	return f.Now() - freshAt
}

// Overdue reports whether the table was last known to be current more than limit ago although
// no read has failed. This is so after the process was suspended, until it has read again.
func (f *Feed) Overdue(limit time.Duration) bool { return !f.cutOff.Load() && f.Age() > limit }

// Run follows the table until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	retryInterval := minFeedRetryInterval
	for ctx.Err() == nil {
		sent, parts := f.Now(), f.partial.partsRead
		rows, full, currentAt, err := f.read(ctx)
		if err != nil {
			f.handleReadFailure(ctx, err, f.Now()-sent)
			if f.partial.partsRead > parts {
				retryInterval = minFeedRetryInterval
			}
			sleep(ctx, jitter(retryInterval))
			retryInterval = min(maxFeedRetryInterval, 2*retryInterval)
			continue
		}
		retryInterval = minFeedRetryInterval
		regained := f.handleReadSuccess(ctx)
		for _, e := range f.decode(rows, full) {
			_ = f.Deliver(ctx, e) // fails only when the process ends
		}
		if regained {
			_ = f.Deliver(ctx, event.FeedCaughtUp{Table: f.Name})
		}
		f.freshAt.Store(int64(currentAt))
		f.cutOff.Store(false)
		f.waitForNextRead(ctx, sent, len(rows) > 0)
	}
	return nil
}

// decode converts rows to events. If that panics, the rows at fault are left out and
// reported as unreadable.
func (f *Feed) decode(rows []store.Row, full bool) []event.Event {
	events, err := f.tryDecode(rows, full)
	if err == nil {
		return events
	}
	var readable []store.Row
	var unreadable []event.Event
	for _, row := range rows {
		if _, err := f.tryDecode([]store.Row{row}, false); err != nil {
			unreadable = append(unreadable, event.RowUnreadable{Table: f.Table, Row: row.Name, Version: row.Version, Message: verdict.Message(err)})
			continue
		}
		readable = append(readable, row)
	}
	events, err = f.tryDecode(readable, full)
	if err != nil {
		events = append(events, event.RowUnreadable{Table: f.Table, Version: f.version, Message: verdict.Message(err)})
	}
	return append(events, unreadable...)
}

func (f *Feed) tryDecode(rows []store.Row, full bool) (events []event.Event, err error) {
	defer verdict.Recover(&err)
	return f.Decode(rows, full, f.version), nil
}

// waitForNextRead waits until the next read is due.
func (f *Feed) waitForNextRead(ctx context.Context, sent time.Duration, changed bool) {
	var delay time.Duration
	if changed {
		delay = f.CoalesceDelay
	}
	if f.MinInterval != nil {
		delay = max(delay, jitter(f.MinInterval())-(f.Now()-sent))
	}
	if delay > 0 {
		sleep(ctx, delay)
	}
}

// jitter returns d, varied at random by up to intervalJitterRatio in both directions.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - intervalJitterRatio + 2*intervalJitterRatio*rand.Float64()))
}

// read returns the changes since the last read, or the whole table if it has not been read
// in full yet or the store no longer has the history. The rows were current at currentAt or
// later.
func (f *Feed) read(ctx context.Context) (rows []store.Row, full bool, currentAt time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.LongPollWait+feedReadMargin)
	defer cancel()
	if f.synced {
		sent := f.Now()
		r, err := f.Store.Changes(ctx, f.Table, f.version, f.LongPollWait)
		if !errors.Is(err, store.ErrHistoryGone) {
			if err == nil {
				f.version = max(f.version, r.Version)
			}
			return r.Rows, false, sent, err
		}
		f.synced = false
	}
	if err := f.readParts(ctx); err != nil {
		return nil, true, 0, err
	}
	rows, f.version, f.synced, currentAt = f.partial.rows, f.partial.version, true, f.partial.startedAt
	f.partial = fullRead{}
	return rows, true, currentAt, nil
}

// readParts reads all partitions of the table. Changes made after the first partition was
// read arrive as changes later. If the store refuses a read because of its rate limit, the
// next call continues with the refused partition: otherwise no host would complete a full
// read when many hosts start at the same time.
func (f *Feed) readParts(ctx context.Context) error {
	p := &f.partial
	if p.partsRead == 0 {
		p.startedAt = f.Now()
	}
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

// handleReadFailure reports the feed as lost after a failed read. Refusals because of the
// rate limit count only after maxRateLimitedAge without a successful read. A read that took
// far longer than its timeout says nothing about the store: the process was suspended.
func (f *Feed) handleReadFailure(ctx context.Context, err error, took time.Duration) {
	if ctx.Err() != nil {
		return
	}
	if verdict.ReasonOf(err) == verdict.ReasonRateLimited {
		if f.Age() < maxRateLimitedAge {
			return // the store works; the next read follows after the retry interval
		}
	} else {
		f.OnReadFailure()
	}
	if took < f.LongPollWait+feedReadMargin+suspensionSlack {
		f.cutOff.Store(true)
	}
	if !f.down {
		f.down = true
		_ = f.Deliver(ctx, event.FeedChanged{Table: f.Name, Down: true, Failure: event.FailureOf(err)})
	}
}

// handleReadSuccess reports the feed as available, and returns true, after its first
// successful read and when it was lost before.
func (f *Feed) handleReadSuccess(ctx context.Context) bool {
	if f.started && !f.down {
		return false
	}
	f.started, f.down = true, false
	_ = f.Deliver(ctx, event.FeedChanged{Table: f.Name})
	return true
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
