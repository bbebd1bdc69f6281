// Package pamoja provides a fake of the Pamoja platform, written from the
// platform's documentation: the shared store, which also contains the registry of
// backend servers, and backend servers that generate text, accept weight orders and
// serve plain calls. Tests set its faults and read its ledger.
package pamoja

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Store is an in-memory store. It implements store.Client, so that tests of
// decisions need no network connection.
type Store struct {
	mu      sync.Mutex
	rows    map[store.Key]store.Row
	log     []store.Row // changes in order of version
	dropped uint64      // changes up to this version were removed from the log
	version uint64      // of the newest commit
	objects map[string][]byte
	changed chan struct{} // closed by the next commit

	faultFunc   func(call Call) Outcome
	lateCommits []store.Commit // commits to be applied by ApplyLate
}

// SetFault sets the function that decides the outcome of each call before the call
// is executed.
func (s *Store) SetFault(decide func(call Call) Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFunc = decide
}

// Call describes a call of the store to the function given to SetFault.
type Call struct {
	Write bool
	Table string   // table of a read
	Parts []string // parts that the call accesses
}

// Outcome is the effect of a fault on a call.
type Outcome int

// Outcomes of a call.
const (
	Served      Outcome = iota // the call is executed and answered
	Refused                    // the call is not executed, as the response states
	RequestLost                // the call is not executed, and there is no response
	AnswerLost                 // the call is executed, and there is no response
	AppliedLate                // there is no response, and ApplyLate executes the call
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows: make(map[store.Key]store.Row), objects: make(map[string][]byte), changed: make(chan struct{}),
	}
}

var _ store.Client = (*Store)(nil)

func (s *Store) outcome(c Call) Outcome {
	if s.faultFunc == nil {
		return Served
	}
	return s.faultFunc(c)
}

func (s *Store) fault(c Call) (before, after error) { return errorsOf(s.outcome(c)) }

// errorsOf returns the error of a call that is not executed as before, and the error
// of a call whose response is lost after it was executed as after.
func errorsOf(o Outcome) (before, after error) {
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "response lost")
	switch o {
	case Refused:
		return verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "store refused the call"), nil
	case RequestLost, AppliedLate:
		return lost, nil
	case AnswerLost:
		return nil, lost
	}
	return nil, nil
}

// Commit implements store.Client.
func (s *Store) Commit(_ context.Context, c store.Commit) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := s.outcome(Call{Write: true, Parts: partsOf(c)})
	if outcome == AppliedLate {
		s.lateCommits = append(s.lateCommits, c)
	}
	before, after := errorsOf(outcome)
	if before != nil {
		return 0, before
	}
	version, err := s.apply(c)
	if after != nil {
		return 0, after
	}
	return version, err
}

// ApplyLate applies the late commits whose conditions still hold.
func (s *Store) ApplyLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.lateCommits {
		_, _ = s.apply(c) // no client waits for the result
	}
	s.lateCommits = nil
}

// partsOf returns the parts that a commit reads or writes, without duplicates.
func partsOf(c store.Commit) []string {
	var parts []string
	add := func(k store.Key) {
		if !slices.Contains(parts, k.Part) {
			parts = append(parts, k.Part)
		}
	}
	for _, e := range c.Conditions {
		add(e.Key)
	}
	for _, p := range c.Put {
		add(p.Key)
	}
	for _, k := range c.Delete {
		add(k)
	}
	return parts
}

// apply executes a commit, or returns a *store.Conflict if a condition does not
// hold.
func (s *Store) apply(c store.Commit) (uint64, error) {
	conflict := false
	var current []store.Row
	for _, e := range c.Conditions {
		row, ok := s.rows[e.Key]
		if ok {
			current = append(current, row)
		}
		conflict = conflict || row.Version != e.Version
	}
	if conflict {
		return 0, &store.Conflict{Current: current}
	}
	s.version++
	for _, p := range c.Put {
		p.Version, p.Value = s.version, slices.Clone(p.Value)
		s.rows[p.Key] = p
		s.log = append(s.log, p)
	}
	for _, k := range c.Delete {
		delete(s.rows, k)
		s.log = append(s.log, store.Row{Key: k, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

// Read implements store.Client.
func (s *Store) Read(_ context.Context, table, part, from string, limit int) (store.Range, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before, after := s.fault(Call{Table: table, Parts: []string{part}}); before != nil || after != nil {
		return store.Range{}, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "read lost (injected fault)")
	}
	out := store.Range{Version: s.version}
	for k, row := range s.rows {
		if k.Table == table && k.Part == part && k.Name >= from {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b store.Row) int { return strings.Compare(a.Name, b.Name) })
	if limit > 0 && len(out.Rows) > limit {
		out.Rows = out.Rows[:limit]
	}
	return out, nil
}

// Changes implements store.Client.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Range, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		out, changed, err := s.changes(table, after)
		if err != nil || len(out.Rows) > 0 {
			return out, err
		}
		select {
		case <-ctx.Done():
			return store.Range{}, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonDeadline, "wait for changes ended")
		case <-deadline.C:
			return out, nil
		case <-changed:
		}
	}
}

// changes returns the changes of a table after a version, and the channel that the
// next commit closes.
func (s *Store) changes(table string, after uint64) (store.Range, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before, lost := s.fault(Call{Table: table}); before != nil || lost != nil {
		return store.Range{}, nil, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "change feed lost (injected fault)")
	}
	if after < s.dropped {
		return store.Range{}, nil, store.ErrHistoryGone
	}
	out := store.Range{Version: s.version}
	for _, row := range s.log {
		if row.Table == table && row.Version > after {
			out.Rows = append(out.Rows, row)
		}
	}
	return out, s.changed, nil
}

// Len returns the total number of rows and objects.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows) + len(s.objects)
}

// Compact removes all changes from the log. Reads of older changes then fail with
// store.ErrHistoryGone.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.dropped = nil, s.version
}

// PutObject implements store.Client.
func (s *Store) PutObject(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before, after := s.fault(Call{Write: true}); before != nil || after != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "object write lost (injected fault)")
	}
	if _, ok := s.objects[name]; !ok {
		s.objects[name] = slices.Clone(data)
	}
	return nil
}

// GetObject implements store.Client.
func (s *Store) GetObject(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, store.ErrObjectNotFound
	}
	return data, nil
}

// DeleteObject implements store.Client.
func (s *Store) DeleteObject(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

// Set writes a row as an operator or a backend server does. It has no conditions and
// no faults apply to it.
func (s *Store) Set(table, name string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply(store.Commit{Put: []store.Row{{Key: store.Key{Table: table, Name: name}, Value: value}}}) // cannot fail without conditions
}

// Remove deletes a row. Like Set, it has no conditions and no faults apply to it.
func (s *Store) Remove(table, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply(store.Commit{Delete: []store.Key{{Table: table, Name: name}}}) // cannot fail without conditions
}
