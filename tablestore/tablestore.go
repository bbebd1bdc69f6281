// Package tablestore provides typed clients of the table service, the object
// store, the weight store and the host list. Each call takes its deadline from
// its context. Errors carry a verdict; for a write it states whether the
// write may have taken effect.
package tablestore

import (
	"context"
	"encoding/json"
)

// Row is a row of the table service. Version increases with each write of the
// key and does not start again after a deletion. Op is the operation id of the
// last write.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Op      string          `json:"op"`
	Value   json.RawMessage `json:"value"`
}

// Condition requires that a row has a version; 0 means that the row must not
// exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// MaxTxnRows is the largest number of rows that a transaction may write.
const MaxTxnRows = 1024

// Txn is a conditional transaction. If all conditions hold, all its writes take
// effect, otherwise none. Op identifies the operation; repetitions use the same
// id.
type Txn struct {
	Op     string      `json:"op"`
	If     []Condition `json:"if,omitempty"`
	Put    []Put       `json:"put,omitempty"`
	Delete []string    `json:"delete,omitempty"`
}

// TxnResult is the answer to a transaction: the versions of the written rows,
// or the conditions that failed.
type TxnResult struct {
	Committed bool              `json:"committed"`
	Versions  map[string]uint64 `json:"versions,omitempty"`
	Conflicts []Condition       `json:"conflicts,omitempty"` // with the current versions
}

// Tables is the table service.
type Tables interface {
	// Commit sends a transaction once. A conflict is not an error; the result
	// then has Committed false. An error with verdict.NotRun means that nothing
	// was written, one with verdict.MayHaveRun that the outcome is unknown.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Get reads a row; found is false if the row does not exist.
	Get(ctx context.Context, key string) (row Row, found bool, err error)
	// Scan reads all rows whose keys begin with prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
}

// Objects is the object store. Objects are write-once.
type Objects interface {
	// Put stores an object; repeating it with the same bytes succeeds.
	Put(ctx context.Context, key string, data []byte) error
	// Get reads an object; found is false if the object does not exist.
	Get(ctx context.Context, key string) (data []byte, found bool, err error)
	// Delete deletes an object; deleting an absent object succeeds.
	Delete(ctx context.Context, key string) error
}

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	Name           string `json:"name"`
	Kind           string `json:"kind"` // engine, service, scoring or entry
	Model          string `json:"model"`
	Address        string `json:"address"`
	Zone           string `json:"zone"`
	State          string `json:"state"` // live or leaving
	ChecksFence    bool   `json:"checks_fence"`
	ChecksIdentity bool   `json:"checks_identity"`
}

// States of a listed host.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// HostList is the platform's list of hosts. It may lag behind the true state.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
