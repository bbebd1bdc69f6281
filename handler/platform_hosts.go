package handler

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const hostPrefix = "host/"

type hostValue struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	Address string `json:"address"`
}

func decodeHost(row tablestore.Row) (event.HostRow, error) {
	var v hostValue
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return event.HostRow{}, err
	}
	id := strings.TrimPrefix(row.Key, hostPrefix)
	if id == "" || v.Host == "" || v.Role == "" {
		return event.HostRow{}, errorx.IllegalFormat.New("host row %s has no id, host or role", row.Key)
	}
	return event.HostRow{
		ID: id, Host: v.Host, Zone: v.Zone, Role: v.Role, Address: v.Address, RowVersion: row.Version,
	}, nil
}

// decodeRows decodes the rows. It skips malformed rows and counts them.
func decodeRows[T any](p *PlatformDeps, kind string, rows []tablestore.Row, decode func(tablestore.Row) (T, error)) []T {
	decoded := make([]T, 0, len(rows))
	for _, row := range rows {
		v, err := decode(row)
		if err != nil {
			p.count(CounterMalformedRows, map[string]string{"kind": kind})
			continue
		}
		decoded = append(decoded, v)
	}
	return decoded
}

func (p *PlatformDeps) readHostRows(ctx context.Context, _ command.ReadHostRows) event.Event {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := p.Tables.Scan(ctx, hostPrefix)
	if err != nil {
		return event.HostRowsRead{Failure: event.FailureOf(err)}
	}
	return event.HostRowsRead{Rows: decodeRows(p, "host", rows, decodeHost)}
}

// writeHostRow replaces or deletes the current host row. Only this process writes
// the row, but the write is still conditional on the row version, so that a
// delayed copy of a renewal does not restore a deleted row.
func (p *PlatformDeps) writeHostRow(ctx context.Context, c command.WriteHostRow) event.Event {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return event.HostRowWritten{Failure: event.FailureOf(p.putHostRow(ctx, c))}
}

func (p *PlatformDeps) putHostRow(ctx context.Context, c command.WriteHostRow) error {
	key := hostPrefix + c.Row.ID
	options := p.resolveOptions(c.Name())
	current, found, err := tablestore.GetWithRetry(ctx, p.Tables, key, options)
	if err != nil || (c.Delete && !found) {
		return err
	}
	txn := tablestore.Txn{Op: p.NewOpID(), If: []tablestore.Condition{{Key: key, Version: current.Version}}}
	if c.Delete {
		txn.Delete = []string{key}
		options.AbsentIsCommitted = true
	} else {
		value, err := json.Marshal(hostValue{c.Row.Host, c.Row.Zone, c.Row.Role, c.Row.Address})
		if err != nil {
			return verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode host row")
		}
		txn.Put = []tablestore.Put{{Key: key, Value: value}}
		options.WriteOnce = tablestore.EveryCreatedRow // only this process writes the row
	}
	result, err := tablestore.CommitResolved(ctx, p.Tables, txn, options)
	if err == nil && !result.Committed {
		return verdict.New(verdict.NotRun, verdict.ReasonConflict, "host row %s was changed by another writer", key)
	}
	return err
}
