package tablestore

import "context"

// outcomeState is what reading back the rows shows about a transaction.
type outcomeState uint8

const (
	// ambiguous means that the outcome is unknown because another writer has
	// changed the rows that would have shown it.
	ambiguous outcomeState = iota
	// committed means that a copy has committed.
	committed
	// conflicted means that no copy has committed and none can.
	conflicted
	// pending means that no copy has committed yet and at most one can.
	pending
)

// outcome is the result of a read back.
type outcome struct {
	state     outcomeState
	versions  map[string]uint64
	conflicts []Condition
}

// guard is a condition that, once broken, never holds again: versions keep rising
// after a deletion, and write-once rows are not deleted. Once a guard is broken, no
// copy can commit.
type guard struct {
	Condition
	// written reports whether the transaction writes the row, so that a commit
	// breaks the guard. A guard on a row that is only read stays intact when a
	// copy commits.
	written bool
}

// guardsOf returns the conditions of a transaction that are guards. The condition
// that a row must not exist is a guard only if the transaction creates the row
// and the row is write-once; otherwise the row may be deleted, after which the
// condition holds again.
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

// readPass holds what one pass over the rows of a transaction has found.
type readPass struct {
	own       map[string]uint64 // versions of rows that carry the operation id of the transaction
	intact    bool              // a guard holds that a commit would have broken
	broken    bool              // a guard does not hold
	conflicts []Condition       // broken guards with the current versions
	absent    int               // number of rows to delete that are absent
}

// readBack reads the rows of the transaction and derives the outcome. The rows are
// read one after the other, so a copy may commit between two reads. Two
// passes are therefore needed to conclude that no copy ever commits: in the first
// a guard was broken, so no copy commits after it, and in the second a guard that
// a commit would have broken was intact, so none had committed before.
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

// outcomeWithoutGuard returns the outcome if the guards do not show it: committed
// if AbsentIsCommitted applies, otherwise ambiguous.
func (c *commit) outcomeWithoutGuard(p readPass) outcome {
	if c.AbsentIsCommitted && len(c.txn.Put) == 0 && p.absent == len(c.txn.Delete) {
		return outcome{state: committed}
	}
	return outcome{state: ambiguous}
}

// createdByOther reports whether another operation has created a write-once row
// that the transaction creates. It requires that the pass has found no row with
// the operation id of the transaction.
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

// readRows reads each row of the transaction once.
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

// addGuard records whether a guard holds for the current version of its row.
func (p *readPass) addGuard(g guard, version uint64) {
	if version != g.Version {
		p.broken = true
		p.conflicts = append(p.conflicts, Condition{Key: g.Key, Version: version})
		return
	}
	p.intact = p.intact || g.written
}
