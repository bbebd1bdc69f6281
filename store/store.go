// Package store states what the product needs of a shared transactional store:
// conditional commits of several rows, reads of a range, a feed of changes and
// whole objects. Implementations translate to the store that a deployment has.
package store

import (
	"context"
	"errors"
	"time"
)

// Key names a row. Rows of one Part are committed one after the other; a commit
// over several parts costs the store twice the time.
type Key struct{ Table, Part, Name string }

// Row is a row as it was read. Version rises with each commit of the store and is
// never used twice.
type Row struct {
	Key
	Value   []byte
	Version uint64
	Deleted bool
}

// Condition is a condition of a commit: the version that a row must have, 0 for a
// row that must not exist.
type Condition struct {
	Key     Key
	Version uint64
}

// Commit is a set of changes that apply together or not at all.
type Commit struct {
	Conditions []Condition
	Put        []Row
	Delete     []Key
}

// Range is a set of rows as of one moment. Version is the newest version of the
// store at that moment.
type Range struct {
	Rows    []Row
	Version uint64
}

// Conflict is the error of a commit whose conditions did not hold. Current holds
// the rows that the conditions named, as far as they exist.
type Conflict struct{ Current []Row }

// Error implements error.
func (*Conflict) Error() string { return "a condition of the commit does not hold" }

// Find returns the current row with the given key, nil if it does not exist.
func (c *Conflict) Find(k Key) *Row {
	for i := range c.Current {
		if c.Current[i].Key == k {
			return &c.Current[i]
		}
	}
	return nil
}

// ErrHistoryGone is returned by Changes when the store no longer holds the
// changes after the given version; the table must be read in full.
var ErrHistoryGone = errors.New("the store no longer holds the history of the table")

// ErrObjectNotFound is returned by GetObject when there is no object of that name.
var ErrObjectNotFound = errors.New("the object does not exist")

// Client is the store. Errors carry a verdict: NotRun for a call that had no
// effect, MayHaveRun for one whose outcome is unknown. A failed condition is a
// *Conflict.
type Client interface {
	// Commit applies c and returns the version that its rows now have.
	Commit(ctx context.Context, c Commit) (version uint64, err error)
	// Read returns rows of a part in the order of their names, beginning at from.
	// limit bounds the number of rows; 0 reads all.
	Read(ctx context.Context, table, part, from string, limit int) (Range, error)
	// Changes waits up to wait for changes of a table after a version.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Range, error)
	// PutObject stores an object unless one of that name exists.
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
	DeleteObject(ctx context.Context, name string) error
}
