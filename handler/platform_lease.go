package handler

import (
	"context"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lease"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

func decodeLease(row tablestore.Row) (event.LeaseRow, error) {
	name, _ := lease.Name(row.Key)
	partition, err := strconv.Atoi(name)
	if err != nil || partition < 0 || strconv.Itoa(partition) != name {
		return event.LeaseRow{}, errorx.IllegalFormat.New("key of lease row %s does not name a partition", row.Key)
	}
	record, err := lease.Decode(row.Value)
	if err != nil {
		return event.LeaseRow{}, err
	}
	return event.LeaseRow{
		Partition: partition, RowVersion: row.Version,
		Holder: record.Holder, Address: record.Address, Fence: record.Fence, TTL: record.TTL,
	}, nil
}

func (p *PlatformDeps) readLeases(ctx context.Context, _ command.ReadLeases) event.Event {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := p.Leases(ctx)
	return event.LeasesRead{Rows: rows, Failure: event.FailureOf(err)}
}

// Leases reads the lease rows. It implements peer.LeaseReader, with which
// peer.ControllerRouter looks up the holders of partitions.
func (p *PlatformDeps) Leases(ctx context.Context) ([]event.LeaseRow, error) {
	rows, err := p.Tables.Scan(ctx, lease.Prefix)
	if err != nil {
		return nil, err
	}
	return decodeRows(p, "lease", rows, decodeLease), nil
}

// writeLease writes a lease row. It sets SentAt before it sends the first copy of
// the write, because this is the earliest time at which an observer can see the
// new row version.
func (p *PlatformDeps) writeLease(ctx context.Context, c command.WriteLease) event.Event {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	answer := event.LeaseWritten{Row: c.Row, SentAt: p.Clock()}
	record := lease.Record{Holder: c.Row.Holder, Address: c.Row.Address, Fence: c.Row.Fence, TTL: c.Row.TTL}
	version, committed, err := lease.Write(ctx, p.Tables, strconv.Itoa(c.Row.Partition), c.Row.RowVersion,
		record, p.NewOpID(), p.resolveOptions(c.Name()))
	answer.Committed, answer.Failure = committed, event.FailureOf(err)
	if committed {
		answer.Row.RowVersion = version
	}
	return answer
}
