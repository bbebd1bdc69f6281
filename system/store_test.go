package system_test

import (
	"maps"
	"slices"
	"strings"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
)

// store is a memory model of the table service: conditional transactions over
// rows whose versions rise across deletions.
type store struct {
	rows     map[string]command.RowWrite
	versions map[string]uint64
	lease    map[int]event.LeaseRow
	written  int
}

func newStore() store {
	return store{lease: make(map[int]event.LeaseRow), rows: make(map[string]command.RowWrite), versions: make(map[string]uint64)}
}

func (s *store) leases() []event.LeaseRow {
	var rows []event.LeaseRow
	for _, partition := range slices.Sorted(maps.Keys(s.lease)) {
		rows = append(rows, s.lease[partition])
	}
	return rows
}

func (s *store) writeLease(row event.LeaseRow) (event.LeaseRow, bool) {
	if current := s.lease[row.Partition]; row.RowVersion != current.RowVersion {
		return current, false
	}
	row.RowVersion++
	s.lease[row.Partition] = row
	return row, true
}

func (s *store) current(key string) uint64 {
	if _, ok := s.rows[key]; !ok {
		return 0
	}
	return s.versions[key]
}

func (s *store) commit(rows []command.RowWrite) (map[string]uint64, bool) {
	for _, r := range rows {
		if !r.Any && s.current(r.Key) != r.If {
			return nil, false
		}
	}
	versions := make(map[string]uint64)
	for _, r := range rows {
		s.written++
		if r.Delete {
			delete(s.rows, r.Key)
			continue
		}
		s.versions[r.Key]++
		s.rows[r.Key], versions[r.Key] = r, s.versions[r.Key]
	}
	return versions, true
}

func (s *store) load(trainer string) event.TrainerLoaded {
	e := event.TrainerLoaded{Trainer: event.TrainerRow{Name: trainer}}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		r := s.rows[key]
		switch {
		case r.Trainer != nil && key == ledger.TrainerKey(trainer):
			e.Trainer.RowVersion, e.Trainer.Record = s.versions[key], *r.Trainer
		case r.Group != nil && strings.HasPrefix(key, "group/"+trainer+"/"):
			e.Groups = append(e.Groups, event.GroupRow{Trainer: trainer, RowVersion: s.versions[key], Record: *r.Group})
		case r.Sample != nil && strings.HasPrefix(key, "sample/"+trainer+"/"):
			e.Samples = append(e.Samples, event.SampleRow{Trainer: trainer, Record: *r.Sample})
		case r.Lot != nil && strings.HasPrefix(key, "lot/"+trainer+"/"):
			e.Lots = append(e.Lots, *r.Lot)
		}
	}
	return e
}
