package tablestore

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// Timing of CommitResolved.
const (
	// DefaultAttemptTimeout bounds one call, so that time is left to read back
	// after a slow answer.
	DefaultAttemptTimeout = time.Second
	// initialBackoff and maxBackoff set the upper bound of the random pause
	// before a repeated call. The bound starts at initialBackoff and doubles with
	// each attempt up to maxBackoff.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// ResolveOptions configures how CommitResolved repeats calls and which
// conclusions it may draw from the rows that it reads back.
type ResolveOptions struct {
	// Random returns numbers in [0, 1) for the jitter of the backoff. It must
	// be safe for concurrent use if several calls share the ResolveOptions.
	Random func() float64
	// Count, if not nil, is called with the reason of each repetition of a call.
	Count func(reason verdict.Reason)
	// AttemptTimeout bounds each call; 0 means DefaultAttemptTimeout.
	AttemptTimeout time.Duration
	// WriteOnce reports whether a row that the transaction creates (condition
	// version 0) is neither deleted nor overwritten while copies of the
	// transaction may still arrive. The absence of such a row, or another
	// operation id in it, proves that no copy has committed; for other rows it
	// proves nothing. Nil means that no row is write-once.
	WriteOnce func(key string) bool
	// AbsentIsCommitted makes a transaction that only deletes rows count as
	// committed once all these rows are absent, whoever deleted them. An absent
	// row carries no operation id, so it does not show who deleted it.
	AbsentIsCommitted bool
}

// EveryCreatedRow is a ResolveOptions.WriteOnce for transactions that create only
// write-once rows.
func EveryCreatedRow(string) bool { return true }

// CommitResolved commits a transaction. If the outcome of a call is unknown, it
// reads the rows back to find out, until ctx ends. It sends the transaction
// again, with the same operation id, only if at most one of the copies sent can
// commit. Like Commit it returns no error for a conflict. An error with verdict
// MayHaveRun means that the outcome is still unknown; its reason is
// ReasonConflict if another writer has since changed the rows that would have
// shown the outcome. If the outcome comes from reading back, Versions lacks the
// rows that another writer has overwritten.
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

// commit is the state of one call of CommitResolved. GetWithRetry uses only its
// backoff and its counting.
type commit struct {
	ResolveOptions
	tables     Tables
	txn        Txn
	guards     []guard
	unknownErr error // error of the first copy whose outcome is unknown, nil if there is none
}

// run sends copies of the transaction until the outcome is known or ctx ends.
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

// send sends one copy of the transaction.
func (c *commit) send(ctx context.Context) (TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
	defer cancel()
	return c.tables.Commit(ctx, c.txn)
}

// resolve reads the rows back until the outcome is known or the transaction may
// be sent again; done reports which. An error means that the outcome stays
// unknown.
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

// unresolvedError returns the error for an outcome that stays unknown.
func (c *commit) unresolvedError(reason verdict.Reason) error {
	return verdict.Wrap(c.unknownErr, verdict.MayHaveRun, reason, "outcome of operation %s is unknown", c.txn.Op)
}

// wait pauses before the next call. It returns false if ctx has ended.
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

// transient reports whether a call that failed for this reason may succeed later.
func transient(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonRateLimited, verdict.ReasonStoreUnavailable, verdict.ReasonConnectFailed:
		return true
	}
	return false
}
