// Package pamoja is a stand-in of the Pamoja platform, written from its pages: the
// store, the registry of backend servers in it, and backend servers that generate
// text, take orders and serve plain calls. Tests set its faults and read its ledger.
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

// Store is a store in memory. It implements store.Client, so that tests of decisions
// need no connection.
type Store struct {
	mu      sync.Mutex
	rows    map[store.Key]store.Row
	log     []store.Row // changes in the order of their versions
	dropped uint64      // changes up to this version are no longer in the log
	version uint64
	objects map[string][]byte
	changed chan struct{} // closed by the next change

	faultFunc   func(call Call) Outcome
	lateCommits []store.Commit // not yet carried out
}

// SetFault sets what decides the outcome of a call before it is carried out.
func (r *Store) SetFault(decide func(call Call) Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultFunc = decide
}

// Call describes a call of the store for Fault.
type Call struct {
	Write bool
	Table string   // of a read
	Parts []string // that the call touches
}

// Outcome is what a fault does to a call.
type Outcome int

// Outcomes of a call.
const (
	Served      Outcome = iota
	Refused             // nothing is done, and the answer says so
	RequestLost         // nothing is done, and there is no answer
	AnswerLost          // the call is carried out, and there is no answer
	AppliedLate         // there is no answer, and the call is carried out by ApplyLate
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows: make(map[store.Key]store.Row), objects: make(map[string][]byte), changed: make(chan struct{}),
	}
}

var _ store.Client = (*Store)(nil)

func (r *Store) outcome(c Call) Outcome {
	if r.faultFunc == nil {
		return Served
	}
	return r.faultFunc(c)
}

func (r *Store) fault(c Call) (before, after error) { return errorsOf(r.outcome(c)) }

// errorsOf returns the error of a call that is not carried out, and that of one whose
// answer is lost afterwards.
func errorsOf(o Outcome) (before, after error) {
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "the answer was lost")
	switch o {
	case Refused:
		return verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "the store refused the call"), nil
	case RequestLost, AppliedLate:
		return lost, nil
	case AnswerLost:
		return nil, lost
	}
	return nil, nil
}

// Commit implements store.Client.
func (r *Store) Commit(_ context.Context, c store.Commit) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := r.outcome(Call{Write: true, Parts: partsOf(c)})
	if outcome == AppliedLate {
		r.lateCommits = append(r.lateCommits, c)
	}
	before, after := errorsOf(outcome)
	if before != nil {
		return 0, before
	}
	version, err := r.apply(c)
	if after != nil {
		return 0, after
	}
	return version, err
}

// ApplyLate carries out the commits that were put off, if their conditions still hold.
func (r *Store) ApplyLate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.lateCommits {
		_, _ = r.apply(c) // nobody waits for the outcome
	}
	r.lateCommits = nil
}

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

func (r *Store) apply(c store.Commit) (uint64, error) {
	conflict := false
	var current []store.Row
	for _, e := range c.Conditions {
		row, ok := r.rows[e.Key]
		if ok {
			current = append(current, row)
		}
		conflict = conflict || row.Version != e.Version
	}
	if conflict {
		return 0, &store.Conflict{Current: current}
	}
	r.version++
	for _, p := range c.Put {
		p.Version, p.Value = r.version, slices.Clone(p.Value)
		r.rows[p.Key] = p
		r.log = append(r.log, p)
	}
	for _, k := range c.Delete {
		delete(r.rows, k)
		r.log = append(r.log, store.Row{Key: k, Version: r.version, Deleted: true})
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return r.version, nil
}

// Read implements store.Client.
func (r *Store) Read(_ context.Context, table, part, from string, limit int) (store.Range, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before, after := r.fault(Call{Table: table, Parts: []string{part}}); before != nil || after != nil {
		return store.Range{}, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "the read was lost")
	}
	out := store.Range{Version: r.version}
	for k, row := range r.rows {
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
func (r *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Range, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		out, changed, err := r.changes(table, after)
		if err != nil || len(out.Rows) > 0 {
			return out, err
		}
		select {
		case <-ctx.Done():
			return store.Range{}, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonDeadline, "feed")
		case <-deadline.C:
			return out, nil
		case <-changed:
		}
	}
}

func (r *Store) changes(table string, after uint64) (store.Range, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before, lost := r.fault(Call{Table: table}); before != nil || lost != nil {
		return store.Range{}, nil, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "the feed was lost")
	}
	if after < r.dropped {
		return store.Range{}, nil, store.ErrHistoryGone
	}
	out := store.Range{Version: r.version}
	for _, row := range r.log {
		if row.Table == table && row.Version > after {
			out.Rows = append(out.Rows, row)
		}
	}
	return out, r.changed, nil
}

// Len returns the number of rows and objects.
func (r *Store) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows) + len(r.objects)
}

// Compact drops the history.
func (r *Store) Compact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log, r.dropped = nil, r.version
}

// PutObject implements store.Client.
func (r *Store) PutObject(_ context.Context, name string, data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before, after := r.fault(Call{Write: true}); before != nil || after != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "the object was lost")
	}
	if _, ok := r.objects[name]; !ok {
		r.objects[name] = slices.Clone(data)
	}
	return nil
}

// GetObject implements store.Client.
func (r *Store) GetObject(_ context.Context, name string) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, ok := r.objects[name]
	if !ok {
		return nil, store.ErrObjectNotFound
	}
	return data, nil
}

// DeleteObject implements store.Client.
func (r *Store) DeleteObject(_ context.Context, name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.objects, name)
	return nil
}

// Set writes a row as an operator or a backend server does, without conditions and
// without faults.
func (r *Store) Set(table, name string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.apply(store.Commit{Put: []store.Row{{Key: store.Key{Table: table, Name: name}, Value: value}}}) // no condition can fail
}

// Remove removes a row as Set writes one.
func (r *Store) Remove(table, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.apply(store.Commit{Delete: []store.Key{{Table: table, Name: name}}}) // no condition can fail
}
