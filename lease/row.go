package lease

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Prefix is the prefix of the keys of lease rows.
const Prefix = "lease/"

// maxTTL bounds the TTL of a lease, so that a malformed row cannot prevent a takeover
// forever.
const maxTTL = time.Hour

// Key returns the key of a lease row.
func Key(name string) string { return Prefix + name }

// Name returns the name of the lease in a key. ok is false if key is not the key of a
// lease row.
func Name(key string) (name string, ok bool) { return strings.CutPrefix(key, Prefix) }

// rowValue is the value of a lease row as stored.
type rowValue struct {
	Holder   string `json:"holder"`
	Address  string `json:"address,omitempty"`
	Fence    uint64 `json:"fence"`
	LengthMS int64  `json:"length_ms"`
}

// Encode returns the value of a lease row.
func Encode(r Record) (json.RawMessage, error) {
	return json.Marshal(rowValue{r.Holder, r.Address, r.Fence, r.TTL.Milliseconds()})
}

// Decode decodes and validates the value of a lease row. Unknown fields are ignored.
func Decode(value json.RawMessage) (Record, error) {
	var v rowValue
	if err := json.Unmarshal(value, &v); err != nil {
		return Record{}, errorx.IllegalFormat.Wrap(err, "lease row")
	}
	ttl := time.Duration(v.LengthMS) * time.Millisecond
	if v.LengthMS < 0 || v.LengthMS > maxTTL.Milliseconds() || (v.Holder != "" && (ttl == 0 || v.Fence == 0)) {
		return Record{}, errorx.IllegalFormat.New("lease row with invalid length_ms %d or fence %d", v.LengthMS, v.Fence)
	}
	return Record{Holder: v.Holder, Address: v.Address, Fence: v.Fence, TTL: ttl}, nil
}

// Write writes a lease row, conditional on its version; version 0 means that the row
// does not exist. committed is false if another process has written the row; this
// process must then not act as holder. After an error the outcome is unknown, except
// that nothing was written if the verdict is NotRun.
func Write(ctx context.Context, tables tablestore.Tables, name string, version uint64, r Record,
	op string, resolve tablestore.ResolveOptions) (newVersion uint64, committed bool, err error) {
	value, err := Encode(r)
	if err != nil {
		return 0, false, err
	}
	key := Key(name)
	// A created row can be treated as write-once, because lease rows are never
	// deleted. A new row that another process has overwritten counts as a lost
	// lease, like any other overwritten row.
	resolve.WriteOnce = tablestore.EveryCreatedRow
	result, err := tablestore.CommitResolved(ctx, tables, tablestore.Txn{
		Op:  op,
		If:  []tablestore.Condition{{Key: key, Version: version}},
		Put: []tablestore.Put{{Key: key, Value: value}},
	}, resolve)
	if err != nil && verdict.ReasonOf(err) == verdict.ReasonConflict {
		return 0, false, nil // another process has written the row, before or after this write
	}
	if err != nil {
		return 0, false, err
	}
	return result.Versions[key], result.Committed, nil
}
