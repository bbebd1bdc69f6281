package usage

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// holderKey is the key of the row in which the host that collects counts stores its own. It
// reports them to nobody, so they would be lost with it.
var holderKey = store.Key{Table: Table, Name: "holder"}

// HolderCounts holds the counts of the host that collects counts, and those that it found in
// the row of the host before it.
type HolderCounts struct {
	Fence     uint64 // fencing token of the host that wrote the row
	Processes []Report
}

// holderRecord is the stored form of HolderCounts.
type holderRecord struct {
	Fence     uint64          `json:"fence"`
	Processes []processRecord `json:"processes"`
}

type processRecord struct {
	Host    string         `json:"host"`
	BootID  string         `json:"boot"`
	Windows []windowRecord `json:"windows"`
}

type windowRecord struct {
	Number int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// WriteHolder stores the counts of the host that collects counts, and returns the new version
// of the row. version is the expected version. If an earlier write under the same fencing token
// took effect but its answer was lost, WriteHolder continues from the version of that write. In
// every other case in which the row does not have the expected version, the error has the
// reason conflict.
func WriteHolder(ctx context.Context, s store.Client, version uint64, h HolderCounts) (uint64, error) {
	rec := holderRecord{Fence: h.Fence}
	for _, p := range h.Processes {
		out := processRecord{Host: p.Host, BootID: p.BootID}
		for _, w := range p.Windows {
			out.Windows = append(out.Windows, windowRecord{Number: w.Window, Counts: w.Counts})
		}
		rec.Processes = append(rec.Processes, out)
	}
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode counts of the holder")
	}
	newVersion, err := commitHolder(ctx, s, version, value)
	var conflict *store.Conflict
	if !errors.As(err, &conflict) {
		return newVersion, err
	}
	if row := conflict.Find(holderKey); row != nil {
		if stored, ok := parseHolder(*row); ok && stored.Fence == h.Fence {
			newVersion, err = commitHolder(ctx, s, row.Version, value)
		}
	}
	if errors.As(err, &conflict) {
		return 0, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConflict, "counts of the holder")
	}
	return newVersion, err
}

func commitHolder(ctx context.Context, s store.Client, version uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return s.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: holderKey, Version: version}}, Put: []store.Row{{Key: holderKey, Value: value}},
	})
}

// parseHolder decodes the row. ok is false if it is not valid.
func parseHolder(r store.Row) (h HolderCounts, ok bool) {
	var rec holderRecord
	if r.Deleted || json.Unmarshal(r.Value, &rec) != nil {
		return HolderCounts{}, false
	}
	h.Fence = rec.Fence
	for _, p := range rec.Processes {
		out := Report{Host: p.Host, BootID: p.BootID}
		for _, w := range p.Windows {
			if w.Counts == nil {
				w.Counts = map[string]int64{}
			}
			out.Windows = append(out.Windows, Count{Window: w.Number, Counts: w.Counts})
		}
		h.Processes = append(h.Processes, out)
	}
	return h, true
}
