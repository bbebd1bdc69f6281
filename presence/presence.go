// Package presence maintains a row for each host of the system, from which hosts read one
// another's addresses. The row of a killed host remains until the host starts again and replaces it,
// so users of the rows must tolerate hosts that do not respond.
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

// writeTimeout bounds one write. The caller decides whether to repeat a failed write.
const writeTimeout = time.Second

// Record is the content of the presence row of a host. WriteID changes with each write, so
// that a new value shows that the process is alive.
type Record struct {
	Address string `json:"address"`
	BootID  string `json:"lifetime"`
	WriteID uint64 `json:"write"`
	// LimitedEngines lists the engines of which the host knows that they name a request limit.
	LimitedEngines []string `json:"limited_engines,omitempty"`
}

func key(host string) store.Key {
	return store.Key{Table: lot.TableCoordination, Name: rowPrefix + host}
}

// HostName returns the name of the host that a row describes, or "" if it is not a
// presence row.
func HostName(r store.Row) string {
	host, ok := strings.CutPrefix(r.Name, rowPrefix)
	if !ok {
		return ""
	}
	return host
}

// Parse decodes a presence row. ok is false if the row is deleted or not valid.
func Parse(r store.Row) (rec Record, ok bool) {
	ok = !r.Deleted && json.Unmarshal(r.Value, &rec) == nil && rec.Address != ""
	return rec, ok
}

// Write writes or removes the presence row of a host. version is the expected version of
// the row. If the row has another version, the error has the reason conflict.
func Write(ctx context.Context, s store.Client, host string, rec Record, version uint64, remove bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode presence row of host %s", host)
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
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConflict, "presence row of host %s", host)
	}
	return v, err
}
