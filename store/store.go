// Package store defines the interface to a shared transactional store: conditional commits
// of several rows, range reads, a change feed for each table, and objects. Implementations
// adapt it to the store of a deployment.
package store

import (
	"context"
	"errors"
	"time"
)

// Key identifies a row. Part is the partition of the table. Commits to one partition are
// serialized; a commit to several partitions takes the store twice as long.
type Key struct{ Table, Part, Name string }

// Row is a row at one version. Version is the version of the commit that wrote the row.
// Versions increase with each commit to the store and are never reused.
type Row struct {
	Key
	Value   []byte
	Version uint64
	Deleted bool
}

// Condition is a precondition of a commit: the row must have the given version, or must not
// exist if the version is 0.
type Condition struct {
	Key     Key
	Version uint64
}

// Commit is a set of changes that the store applies atomically.
type Commit struct {
	Conditions []Condition
	Put        []Row
	Delete     []Key
}

// Range is a consistent snapshot of a set of rows. Version is the newest version of the
// store at the time of the snapshot.
type Range struct {
	Rows    []Row
	Version uint64
}

// Conflict is the error of a commit whose conditions did not hold. Current holds the
// rows that the conditions name, without those that do not exist.
type Conflict struct{ Current []Row }

// Error implements error.
func (*Conflict) Error() string { return "a condition of the commit does not hold" }

// Find returns the current row with the given key, or nil if it does not exist.
func (c *Conflict) Find(k Key) *Row {
	for i := range c.Current {
		if c.Current[i].Key == k {
			return &c.Current[i]
		}
	}
	return nil
}

// ErrHistoryGone is returned by Changes when the store no longer holds all changes after
// the given version. The table must then be read in full.
var ErrHistoryGone = errors.New("the store no longer holds the history of the table")

// ErrObjectNotFound is returned by GetObject when no object has the given name.
var ErrObjectNotFound = errors.New("the object does not exist")

// Client is a client of the store. Errors carry a verdict: NotRun for a call that had no
// effect, MayHaveRun for one whose outcome is unknown. If a condition of a commit does not
// hold, the error is a *Conflict.
type Client interface {
	// Commit applies c and returns the version that its rows now have.
	Commit(ctx context.Context, c Commit) (version uint64, err error)
	// Read returns the rows of a partition in the order of their names, starting at the
	// name from. limit bounds the number of rows; 0 means no limit.
	Read(ctx context.Context, table, part, from string, limit int) (Range, error)
	// Changes returns the changes of a table after a version. If there are none, it waits
	// for up to wait.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Range, error)
	// PutObject stores an object unless an object with that name exists.
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
	DeleteObject(ctx context.Context, name string) error
}
