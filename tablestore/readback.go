package tablestore

import "context"

// outcomeState is what a read back shows about a transaction.
type outcomeState uint8

const (
	// ambiguous: another writer has removed the evidence.
	ambiguous outcomeState = iota
	// committed: a copy has committed.
	committed
	// conflicted: no copy has committed and none can.
	conflicted
	// pending: no copy has committed so far and at most one can.
	pending
)

type outcome struct {
	state     outcomeState
	versions  map[string]uint64
	conflicts []Condition
}

// guard is a condition that no longer holds once any copy has committed.
// Versions rise across deletion, so a broken guard stays broken.
type guard struct {
	Condition
	// written is false for a condition on a row that the transaction doesn't
	// write: once broken it excludes later copies, but a commit leaves it intact.
	written bool
}

// guardsOf returns the conditions from which the outcome can be concluded. A
// condition "must not exist" is one only if the created row is write-once:
// otherwise the row may be deleted and the condition holds again.
func guardsOf(txn Txn, writeOnce func(key string) bool) []guard {
	puts := make(map[string]bool, len(txn.Put))
	for _, p := range txn.Put {
		puts[p.Key] = true
	}
	deletes := make(map[string]bool, len(txn.Delete))
	for _, key := range txn.Delete {
		deletes[key] = true
	}
	var guards []guard
	for _, c := range txn.If {
		if c.Version > 0 || (puts[c.Key] && writeOnce != nil && writeOnce(c.Key)) {
			guards = append(guards, guard{c, puts[c.Key] || deletes[c.Key]})
		}
	}
	return guards
}

// readPass is one reading of all rows of a transaction.
type readPass struct {
	own       map[string]uint64 // versions of rows that carry the operation id
	intact    bool              // a guard held that a commit would have broken
	broken    bool              // a guard did not hold
	conflicts []Condition
	absent    int // deleted rows that are absent
}

// readBack reads the rows of the transaction. The rows are read one after the
// other, so a copy may land between two reads. "Never committed" is therefore
// concluded only if a guard was broken in the first pass (no copy commits after
// that) and another one was intact in the second (none had committed before).
func (c *commit) readBack(ctx context.Context) (outcome, error) {
	first, err := c.readRows(ctx)
	if err != nil {
		return outcome{}, err
	}
	switch {
	case len(first.own) > 0:
		return outcome{state: committed, versions: first.own}, nil
	case !first.broken && first.intact:
		return outcome{state: pending}, nil
	case !first.broken:
		return c.outcomeWithoutGuard(first), nil
	}
	second, err := c.readRows(ctx)
	if err != nil {
		return outcome{}, err
	}
	switch {
	case len(second.own) > 0:
		return outcome{state: committed, versions: second.own}, nil
	case second.intact || c.createdByOther(second):
		return outcome{state: conflicted, conflicts: second.conflicts}, nil
	}
	return c.outcomeWithoutGuard(second), nil
}

// outcomeWithoutGuard concludes from absent rows, if the caller asked for that.
func (c *commit) outcomeWithoutGuard(p readPass) outcome {
	if c.AbsentIsCommitted && len(c.txn.Put) == 0 && p.absent == len(c.txn.Delete) {
		return outcome{state: committed}
	}
	return outcome{state: ambiguous}
}

// createdByOther reports whether a write-once row that the transaction creates
// was created by another operation. The pass has found no own row.
func (c *commit) createdByOther(p readPass) bool {
	present := make(map[string]bool, len(p.conflicts))
	for _, conflict := range p.conflicts {
		present[conflict.Key] = conflict.Version > 0
	}
	for _, g := range c.guards {
		if g.Version == 0 && present[g.Key] {
			return true
		}
	}
	return false
}

func (c *commit) readRows(ctx context.Context) (readPass, error) {
	p := readPass{own: make(map[string]uint64)}
	rows := make(map[string]Row)
	get := func(key string) (Row, error) {
		if row, ok := rows[key]; ok {
			return row, nil
		}
		ctx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
		defer cancel()
		row, _, err := c.tables.Get(ctx, key)
		rows[key] = row // the zero Row, with version 0, if absent
		return row, err
	}
	for _, put := range c.txn.Put {
		row, err := get(put.Key)
		if err != nil {
			return p, err
		}
		if row.Op == c.txn.Op {
			p.own[put.Key] = row.Version
		}
	}
	for _, g := range c.guards {
		row, err := get(g.Key)
		if err != nil {
			return p, err
		}
		p.addGuard(g, row.Version)
	}
	for _, key := range c.txn.Delete {
		row, err := get(key)
		if err != nil {
			return p, err
		}
		if row.Version == 0 {
			p.absent++
		}
	}
	return p, nil
}

func (p *readPass) addGuard(g guard, version uint64) {
	if version != g.Version {
		p.broken = true
		p.conflicts = append(p.conflicts, Condition{Key: g.Key, Version: version})
		return
	}
	p.intact = p.intact || g.written
}
