// Package presence keeps a row for each host of the system, by which others find it.
// A row that a killed host left behind is replaced when the host starts again; who
// uses the rows must bear hosts that do not answer.
package presence

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const rowPrefix = "host/"

// writeTimeout bounds a write; the decision to write is made again.
const writeTimeout = time.Second

// Record is what a host says of itself. WriteID differs with each write, which shows that
// the process lives.
type Record struct {
	Address string `json:"address"`
	BootID  string `json:"lifetime"`
	WriteID uint64 `json:"write"`
}

func key(host string) store.Key {
	return store.Key{Table: lot.TableCoordination, Name: rowPrefix + host}
}

// HostName returns the host of a row, empty if the row is not one of a host.
func HostName(r store.Row) string {
	host, ok := strings.CutPrefix(r.Name, rowPrefix)
	if !ok {
		return ""
	}
	return host
}

// Parse returns the record of a host; ok is false if the row cannot be read.
func Parse(r store.Row) (rec Record, ok bool) {
	ok = !r.Deleted && json.Unmarshal(r.Value, &rec) == nil && rec.Address != ""
	return rec, ok
}

// Write writes the row of a host, or removes it. Version is that of the present row.
func Write(ctx context.Context, s store.Client, host string, rec Record, version uint64, remove bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode row of host %s", host)
	}
	c := store.Commit{Conditions: []store.Condition{{Key: key(host), Version: version}}}
	if remove {
		c.Delete = []store.Key{key(host)}
	} else {
		c.Put = []store.Row{{Key: key(host), Value: value}}
	}
	v, err := s.Commit(ctx, c)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConflict, "row of host %s", host)
	}
	return v, err
}
