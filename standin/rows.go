package standin

import (
	"maps"
	"slices"
	"strings"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
)

// Rows is an in-memory model of the table service for control loops that run
// without executors. It has conditional transactions over typed rows, and lease
// rows. The version of a key keeps increasing when its row is deleted and written
// again.
type Rows struct {
	Written  int // number of rows put or deleted
	rows     map[string]command.RowWrite
	versions map[string]uint64
	leases   map[int]event.LeaseRow
}

// NewRows returns an empty model.
func NewRows() *Rows {
	return &Rows{
		rows: make(map[string]command.RowWrite), versions: make(map[string]uint64),
		leases: make(map[int]event.LeaseRow),
	}
}

// Leases returns the lease rows in order of their partitions.
func (s *Rows) Leases() []event.LeaseRow {
	var rows []event.LeaseRow
	for _, partition := range slices.Sorted(maps.Keys(s.leases)) {
		rows = append(rows, s.leases[partition])
	}
	return rows
}

// WriteLease writes a lease row if its version is the current one, and returns the
// row with its new version. Otherwise it returns the current row and false.
func (s *Rows) WriteLease(row event.LeaseRow) (event.LeaseRow, bool) {
	if current := s.leases[row.Partition]; row.RowVersion != current.RowVersion {
		return current, false
	}
	row.RowVersion++
	s.leases[row.Partition] = row
	return row, true
}

// SetLease replaces a lease row without a condition, as if another process had
// written it.
func (s *Rows) SetLease(row event.LeaseRow) { s.leases[row.Partition] = row }

// Row returns a row and whether it exists.
func (s *Rows) Row(key string) (command.RowWrite, bool) {
	r, ok := s.rows[key]
	return r, ok
}

// Keys returns the keys of all rows in sorted order.
func (s *Rows) Keys() []string { return slices.Sorted(maps.Keys(s.rows)) }

// current returns the version of a row, or 0 if it does not exist.
func (s *Rows) current(key string) uint64 {
	if _, ok := s.rows[key]; !ok {
		return 0
	}
	return s.versions[key]
}

// Commit runs a transaction and returns the new versions of the rows put. It
// returns false and changes nothing if a condition does not hold.
func (s *Rows) Commit(rows []command.RowWrite) (map[string]uint64, bool) {
	for _, r := range rows {
		if !r.AnyVersion && s.current(r.Key) != r.IfVersion {
			return nil, false
		}
	}
	versions := make(map[string]uint64)
	for _, r := range rows {
		s.Written++
		if r.Delete {
			delete(s.rows, r.Key)
			continue
		}
		s.versions[r.Key]++
		s.rows[r.Key], versions[r.Key] = r, s.versions[r.Key]
	}
	return versions, true
}

// Load returns all rows of a trainer.
func (s *Rows) Load(trainer string) event.TrainerLoaded {
	e := event.TrainerLoaded{Trainer: event.TrainerRow{Name: trainer}}
	for _, key := range s.Keys() {
		r := s.rows[key]
		switch {
		case r.Trainer != nil && key == ledger.TrainerKey(trainer):
			e.Trainer.RowVersion, e.Trainer.Record = s.versions[key], *r.Trainer
		case r.Group != nil && strings.HasPrefix(key, "group/"+trainer+"/"):
			e.Groups = append(e.Groups, event.GroupRow{Trainer: trainer, RowVersion: s.versions[key], Record: *r.Group})
		case r.Sample != nil && strings.HasPrefix(key, "sample/"+trainer+"/"):
			e.Samples = append(e.Samples, event.SampleRow{Trainer: trainer, Record: *r.Sample})
		case r.Batch != nil && strings.HasPrefix(key, "lot/"+trainer+"/"):
			e.Batches = append(e.Batches, *r.Batch)
		}
	}
	return e
}
