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

// maxTTL bounds the length of a lease, so that a malformed row can't block
// takeover for good.
const maxTTL = time.Hour

// Key returns the key of a lease row.
func Key(name string) string { return Prefix + name }

// Name returns the name of the lease in a key; ok is false for another key.
func Name(key string) (name string, ok bool) { return strings.CutPrefix(key, Prefix) }

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

// Decode reads the value of a lease row. Unknown fields are ignored.
func Decode(value json.RawMessage) (Record, error) {
	var v rowValue
	if err := json.Unmarshal(value, &v); err != nil {
		return Record{}, errorx.IllegalFormat.Wrap(err, "lease row")
	}
	length := time.Duration(v.LengthMS) * time.Millisecond
	if v.LengthMS < 0 || v.LengthMS > maxTTL.Milliseconds() || (v.Holder != "" && (length == 0 || v.Fence == 0)) {
		return Record{}, errorx.IllegalFormat.New("lease row with length %d ms and fence %d", v.LengthMS, v.Fence)
	}
	return Record{Holder: v.Holder, Address: v.Address, Fence: v.Fence, TTL: length}, nil
}

// Write writes a lease row, conditional on its version (0: no row). committed is
// false if another process has written the row; then this process must not act
// as holder. An error means that the outcome is unknown or, with verdict
// NotRun, that nothing was written.
func Write(ctx context.Context, tables tablestore.Tables, name string, version uint64, r Record,
	op string, resolve tablestore.ResolveOptions) (newVersion uint64, committed bool, err error) {
	value, err := Encode(r)
	if err != nil {
		return 0, false, err
	}
	key := Key(name)
	// Lease rows are never deleted. A new row that another process has
	// overwritten counts as lost, like any other overwritten lease.
	resolve.WriteOnce = tablestore.EveryCreatedRow
	result, err := tablestore.CommitResolved(ctx, tables, tablestore.Txn{
		Op:  op,
		If:  []tablestore.Condition{{Key: key, Version: version}},
		Put: []tablestore.Put{{Key: key, Value: value}},
	}, resolve)
	if err != nil && verdict.ReasonOf(err) == verdict.ReasonConflict {
		return 0, false, nil // overwritten, whether or not our write came first
	}
	if err != nil {
		return 0, false, err
	}
	return result.Versions[key], result.Committed, nil
}
