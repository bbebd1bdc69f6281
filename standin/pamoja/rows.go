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
func (r *Store) SetFault(decide func(call Call) Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultFunc = decide
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

func (r *Store) outcome(c Call) Outcome {
	if r.faultFunc == nil {
		return Served
	}
	return r.faultFunc(c)
}

func (r *Store) fault(c Call) (before, after error) { return errorsOf(r.outcome(c)) }

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

// ApplyLate applies the late commits whose conditions still hold.
func (r *Store) ApplyLate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.lateCommits {
		_, _ = r.apply(c) // no client waits for the result
	}
	r.lateCommits = nil
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
		return store.Range{}, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "read lost (injected fault)")
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
			return store.Range{}, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonDeadline, "wait for changes ended")
		case <-deadline.C:
			return out, nil
		case <-changed:
		}
	}
}

// changes returns the changes of a table after a version, and the channel that the
// next commit closes.
func (r *Store) changes(table string, after uint64) (store.Range, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before, lost := r.fault(Call{Table: table}); before != nil || lost != nil {
		return store.Range{}, nil, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "change feed lost (injected fault)")
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

// Len returns the total number of rows and objects.
func (r *Store) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows) + len(r.objects)
}

// Compact removes all changes from the log. Reads of older changes then fail with
// store.ErrHistoryGone.
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
		return verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable, "object write lost (injected fault)")
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

// Set writes a row as an operator or a backend server does. It has no conditions and
// no faults apply to it.
func (r *Store) Set(table, name string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.apply(store.Commit{Put: []store.Row{{Key: store.Key{Table: table, Name: name}, Value: value}}}) // cannot fail without conditions
}

// Remove deletes a row. Like Set, it has no conditions and no faults apply to it.
func (r *Store) Remove(table, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.apply(store.Commit{Delete: []store.Key{{Table: table, Name: name}}}) // cannot fail without conditions
}
