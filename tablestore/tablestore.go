// Package tablestore holds the typed clients of the platform's services: table
// service, object store, host list and weight store. Each call has a deadline
// from its context; errors carry a verdict, which for a write says whether it
// may have taken effect.
package tablestore

import (
	"context"
	"encoding/json"
)

// Row is a row of the table service. Version rises with each write of the key,
// also across deletion; Op is the operation id of the last write.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Op      string          `json:"op"`
	Value   json.RawMessage `json:"value"`
}

// Condition requires a row version; 0 means that the row must not exist.
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

// Txn is a conditional transaction: all of it takes effect or none.
type Txn struct {
	Op     string      `json:"op"`
	If     []Condition `json:"if,omitempty"`
	Put    []Put       `json:"put,omitempty"`
	Delete []string    `json:"delete,omitempty"`
}

// TxnResult is the answer to a transaction.
type TxnResult struct {
	Committed bool              `json:"committed"`
	Versions  map[string]uint64 `json:"versions,omitempty"`
	Conflicts []Condition       `json:"conflicts,omitempty"` // current versions
}

// Tables is the table service.
type Tables interface {
	// Commit runs a transaction once. A conflict is no error: the result says
	// Committed false. An error with verdict.NotRun means that nothing was
	// written, one with verdict.MayHaveRun that the outcome is unknown.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Get reads a row; found is false if it does not exist.
	Get(ctx context.Context, key string) (row Row, found bool, err error)
	// Scan reads all rows whose keys begin with prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
}

// Objects is the object store. Objects are write-once.
type Objects interface {
	// Put stores an object; repeating it with the same bytes succeeds.
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) (data []byte, found bool, err error)
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

// HostList is the platform's lagging list of hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
