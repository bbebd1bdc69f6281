package handler

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/claim"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

const (
	// sweepChunkSize is the number of rows deleted per transaction and
	// sweepInterval the pause between two transactions. Together they limit the
	// deletion of expired claims to 20 of the several hundred writes per second
	// that the table service accepts.
	sweepChunkSize = 20
	sweepInterval  = time.Second
	// sweepTimeout bounds one sweep. The next sweep deletes the remaining rows.
	sweepTimeout = 30 * time.Minute
)

// sweepClaims deletes the claims whose retention period has passed. A row that
// changed after it was read is left to the next sweep.
func (p *PlatformDeps) sweepClaims(ctx context.Context, c command.SweepClaims) event.Event {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := p.Tables.Scan(ctx, claim.Prefix)
	if err != nil {
		return event.ClaimsSwept{Failure: event.FailureOf(err)}
	}
	expired := expiredClaims(rows, time.Now())
	deleted := 0
	for len(expired) > 0 {
		chunk := expired[:min(sweepChunkSize, len(expired))]
		expired = expired[len(chunk):]
		n, err := p.deleteRows(ctx, c.Name(), chunk)
		deleted += n
		if err == nil {
			err = sleep(ctx, sweepInterval)
		}
		if err != nil {
			return event.ClaimsSwept{Deleted: deleted, Failure: event.FailureOf(err)}
		}
	}
	return event.ClaimsSwept{Deleted: deleted}
}

func expiredClaims(rows []tablestore.Row, now time.Time) []tablestore.Row {
	var expired []tablestore.Row
	for _, row := range rows {
		if claim.Expired(row, now) {
			expired = append(expired, row)
		}
	}
	return expired
}

// deleteRows deletes the rows in one transaction and returns the number of
// deleted rows. If any of them changed since it was read, none is deleted.
func (p *PlatformDeps) deleteRows(ctx context.Context, name string, rows []tablestore.Row) (int, error) {
	txn := tablestore.Txn{Op: p.NewOpID()}
	for _, row := range rows {
		txn.If = append(txn.If, tablestore.Condition{Key: row.Key, Version: row.Version})
		txn.Delete = append(txn.Delete, row.Key)
	}
	options := p.resolveOptions(name)
	options.AbsentIsCommitted = true
	result, err := tablestore.CommitResolved(ctx, p.Tables, txn, options)
	if err != nil || !result.Committed {
		return 0, err
	}
	return len(rows), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
