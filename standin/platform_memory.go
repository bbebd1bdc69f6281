package standin

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lavenderstand/lavenderstand/tablestore"
)

// maxLedgerEntries is the number of commits that a TableLedger keeps. Further
// commits are only counted.
const maxLedgerEntries = 200_000

// TableLedgerEntry is one committed transaction.
type TableLedgerEntry struct {
	AtMS     int64             `json:"at_ms"`              // since the creation of the store
	Op       string            `json:"op"`                 // Op of the transaction
	Versions map[string]uint64 `json:"versions,omitempty"` // of the rows put, by key
	Deleted  []string          `json:"deleted,omitempty"`  // keys
}

// TableLedger is the ledger of the table service.
type TableLedger struct {
	Commits     []TableLedgerEntry `json:"commits"`
	Truncated   int                `json:"truncated"`    // number of commits that are not kept
	Conflicts   int                `json:"conflicts"`    // transactions rejected because of a condition
	RowsWritten int                `json:"rows_written"` // rows put or deleted
	Reads       int                `json:"reads"`        // row reads and pages of scans
}

// TableStore is the state of the table service. The version of a key keeps
// increasing when its row is deleted and written again.
type TableStore struct {
	mu       sync.Mutex
	rows     map[string]tablestore.Row
	versions map[string]uint64
	ledger   TableLedger
	start    time.Time
}

// NewTableStore returns an empty store.
func NewTableStore() *TableStore {
	return &TableStore{
		rows: make(map[string]tablestore.Row), versions: make(map[string]uint64), start: time.Now(),
	}
}

// Apply runs a transaction. Either all of its changes take effect or none.
func (s *TableStore) Apply(txn tablestore.Txn) tablestore.TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []tablestore.Condition
	for _, c := range txn.If {
		if current := s.rows[c.Key].Version; current != c.Version {
			conflicts = append(conflicts, tablestore.Condition{Key: c.Key, Version: current})
		}
	}
	if len(conflicts) > 0 {
		s.ledger.Conflicts++
		return tablestore.TxnResult{Conflicts: conflicts}
	}
	versions := make(map[string]uint64, len(txn.Put))
	for _, p := range txn.Put {
		s.versions[p.Key]++
		versions[p.Key] = s.versions[p.Key]
		s.rows[p.Key] = tablestore.Row{Key: p.Key, Version: s.versions[p.Key], Op: txn.Op, Value: slices.Clone(p.Value)}
	}
	for _, key := range txn.Delete {
		delete(s.rows, key)
	}
	s.record(txn, versions)
	return tablestore.TxnResult{Committed: true, Versions: versions}
}

func (s *TableStore) record(txn tablestore.Txn, versions map[string]uint64) {
	s.ledger.RowsWritten += len(txn.Put) + len(txn.Delete)
	if len(s.ledger.Commits) >= maxLedgerEntries {
		s.ledger.Truncated++
		return
	}
	s.ledger.Commits = append(s.ledger.Commits, TableLedgerEntry{
		AtMS: time.Since(s.start).Milliseconds(), Op: txn.Op, Versions: versions, Deleted: txn.Delete,
	})
}

// Read returns a row.
func (s *TableStore) Read(key string) (tablestore.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Reads++
	row, found := s.rows[key]
	return row, found
}

// Page returns up to limit rows with the prefix whose keys follow after, in order
// of keys. next is the key after which the next page starts, or empty if there is
// none.
func (s *TableStore) Page(prefix, after string, limit int) (rows []tablestore.Row, next string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Reads++
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return cmp.Compare(a.Key, b.Key) })
	if len(rows) > limit {
		return rows[:limit], rows[limit-1].Key
	}
	return rows, ""
}

// Ledger returns a copy of the ledger.
func (s *TableStore) Ledger() TableLedger {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.ledger
	copied.Commits = slices.Clone(s.ledger.Commits)
	return copied
}

// StoredObject is an entry of the object store's ledger.
type StoredObject struct {
	Key     string `json:"key"`
	Bytes   int    `json:"bytes"`
	Deleted bool   `json:"deleted"`
}

// ObjectStore is the state of the object store. An object is written only once.
type ObjectStore struct {
	mu      sync.Mutex
	objects map[string][]byte
	ledger  []StoredObject
	index   map[string]int // position in the ledger by key
}

// NewObjectStore returns an empty store.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{objects: make(map[string][]byte), index: make(map[string]int)}
}

// Write stores an object. It returns false if the key already holds other bytes.
func (s *ObjectStore) Write(key string, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[key]; ok {
		return string(old) == string(data)
	}
	s.objects[key] = slices.Clone(data)
	s.index[key] = len(s.ledger)
	s.ledger = append(s.ledger, StoredObject{Key: key, Bytes: len(data)})
	return true
}

// Read returns an object.
func (s *ObjectStore) Read(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[key]
	return data, ok
}

// Remove deletes an object.
func (s *ObjectStore) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[key]; ok {
		delete(s.objects, key)
		s.ledger[s.index[key]].Deleted = true
	}
}

// Ledger returns all objects that were stored, including deleted ones.
func (s *ObjectStore) Ledger() []StoredObject {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ledger)
}
