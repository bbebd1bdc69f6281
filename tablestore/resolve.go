package tablestore

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// Timing of CommitResolved.
const (
	// DefaultAttemptTimeout limits one call, so that a slow answer leaves time
	// to read back.
	DefaultAttemptTimeout = time.Second
	initialBackoff        = 20 * time.Millisecond
	maxBackoff            = time.Second
)

// ResolveOptions sets how CommitResolved repeats calls.
type ResolveOptions struct {
	// Random returns numbers in [0, 1) for the jitter of the backoff. It must
	// be safe for concurrent use if the ResolveOptions is shared.
	Random func() float64
	// Count, if set, receives the reason of each repeated call.
	Count func(reason verdict.Reason)
	// AttemptTimeout limits each call; DefaultAttemptTimeout if 0.
	AttemptTimeout time.Duration
	// WriteOnce reports whether a row that the transaction creates (condition
	// version 0) is neither deleted nor overwritten while copies of the
	// transaction may be under way. Only then does its absence, or another
	// operation id, prove that no copy has committed. Nil means no row.
	WriteOnce func(key string) bool
	// AbsentIsCommitted makes a transaction that only deletes count as
	// committed once all its rows are absent, whoever deleted them. Rows that
	// are absent carry no operation id, so the author can't be known.
	AbsentIsCommitted bool
}

// EveryCreatedRow is a ResolveOptions.WriteOnce for transactions all of whose created
// rows are write-once.
func EveryCreatedRow(string) bool { return true }

// CommitResolved commits a transaction and resolves an unknown outcome by
// reading back, until ctx ends. It sends the transaction again, with the same
// operation id, only while at most one of the copies can commit. Like Commit it
// returns no error for a conflict. An error with verdict MayHaveRun means that
// the outcome is still unknown; its reason is ReasonConflict if another writer
// has since written the rows that could have told. After a read back, Versions
// lacks rows that another writer has overwritten.
func CommitResolved(ctx context.Context, tables Tables, txn Txn, r ResolveOptions) (TxnResult, error) {
	if err := txn.Check(); err != nil {
		return TxnResult{}, err
	}
	c := commit{tables: tables, txn: txn, ResolveOptions: r, guards: guardsOf(txn, r.WriteOnce)}
	if c.AttemptTimeout == 0 {
		c.AttemptTimeout = DefaultAttemptTimeout
	}
	return c.run(ctx)
}

// commit is one call of CommitResolved.
type commit struct {
	ResolveOptions
	tables     Tables
	txn        Txn
	guards     []guard
	unknownErr error // of the first copy whose outcome is unknown
}

func (c *commit) run(ctx context.Context) (TxnResult, error) {
	for attempt := 0; ; attempt++ {
		result, err := c.send(ctx)
		if err == nil && (result.Committed || c.unknownErr == nil) {
			return result, nil
		}
		reason := verdict.ReasonConflict
		if err != nil {
			reason = verdict.ReasonOf(err)
			if verdict.Of(err) != verdict.NotRun && c.unknownErr == nil {
				c.unknownErr = err
			}
			if c.unknownErr == nil && !transient(reason) {
				return TxnResult{}, err
			}
		}
		if c.unknownErr != nil {
			result, done, err := c.resolve(ctx, attempt)
			if done || err != nil {
				return result, err
			}
		} else if !c.wait(ctx, attempt) {
			return TxnResult{}, err
		}
		c.count(reason)
	}
}

// send sends one copy.
func (c *commit) send(ctx context.Context) (TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
	defer cancel()
	return c.tables.Commit(ctx, c.txn)
}

// resolve reads back until the outcome is known (done) or the transaction may
// be sent again.
func (c *commit) resolve(ctx context.Context, attempt int) (result TxnResult, done bool, err error) {
	for ; ; attempt++ {
		if !c.wait(ctx, attempt) {
			return TxnResult{}, false, c.unresolvedError(verdict.ReasonStoreUnavailable)
		}
		o, err := c.readBack(ctx)
		if err != nil {
			c.count(verdict.ReasonOf(err))
			continue
		}
		switch o.state {
		case committed:
			return TxnResult{Committed: true, Versions: o.versions}, true, nil
		case conflicted:
			return TxnResult{Conflicts: o.conflicts}, true, nil
		case pending:
			return TxnResult{}, false, nil
		}
		return TxnResult{}, false, c.unresolvedError(verdict.ReasonConflict)
	}
}

func (c *commit) unresolvedError(reason verdict.Reason) error {
	return verdict.Wrap(c.unknownErr, verdict.MayHaveRun, reason, "outcome of operation %s is unknown", c.txn.Op)
}

// wait pauses before the next call; it returns false when ctx has ended.
func (c *commit) wait(ctx context.Context, attempt int) bool {
	limit := min(maxBackoff, initialBackoff<<min(attempt, 10))
	timer := time.NewTimer(time.Duration(float64(limit) * c.Random()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

func (c *commit) count(reason verdict.Reason) {
	if c.Count != nil {
		c.Count(reason)
	}
}

// transient reports whether a call that was not run may succeed later.
func transient(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonRateLimited, verdict.ReasonStoreUnavailable, verdict.ReasonConnectFailed:
		return true
	}
	return false
}
