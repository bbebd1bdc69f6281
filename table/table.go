// Package table holds the control state of a process. Rows are plain typed values in
// slices; handles address them and stay valid until the row is deleted. Only the
// control goroutine reads or writes tables, so they take no locks. Rows do no I/O.
//
// A time in a row is a monotonic offset from the start of this process, never a time of
// another process's clock.
package table

import "iter"

// Handle addresses a row. The zero Handle addresses no row. A handle of a deleted row
// finds nothing, even after the slot is used again.
type Handle struct {
	index      uint32
	generation uint32
}

// Valid reports whether the handle is not the zero Handle.
func (h Handle) Valid() bool { return h.generation != 0 }

// slot holds a row. Its generation increases with each deletion, which invalidates
// handles of earlier rows.
type slot[R any] struct {
	generation uint32
	used       bool
	key        string
	row        R
}

// Table is a set of rows with unique keys. The zero value is an empty table.
type Table[R any] struct {
	slots []slot[R]
	free  []uint32 // indexes of unused slots
	byKey map[string]Handle
}

// Len returns the number of rows.
func (t *Table[R]) Len() int { return len(t.byKey) }

// Upsert returns the row with the given key, inserting a zero row if there is none.
// The pointer is valid until the next Upsert on the table.
func (t *Table[R]) Upsert(key string) (row *R, created bool) {
	if h, ok := t.byKey[key]; ok {
		return &t.slots[h.index].row, false
	}
	h := t.allocate()
	s := &t.slots[h.index]
	s.used, s.key = true, key
	if t.byKey == nil {
		t.byKey = make(map[string]Handle)
	}
	t.byKey[key] = h
	return &s.row, true
}

// allocate returns the handle of a free slot.
func (t *Table[R]) allocate() Handle {
	if n := len(t.free); n > 0 {
		index := t.free[n-1]
		t.free = t.free[:n-1]
		return Handle{index: index, generation: t.slots[index].generation}
	}
	t.slots = append(t.slots, slot[R]{generation: 1})
	return Handle{index: uint32(len(t.slots) - 1), generation: 1}
}

// Find returns the row with the given key, nil if there is none.
func (t *Table[R]) Find(key string) *R {
	h, ok := t.byKey[key]
	if !ok {
		return nil
	}
	return &t.slots[h.index].row
}

// Handle returns the handle of the row with the given key, the zero Handle if there is
// no such row.
func (t *Table[R]) Handle(key string) Handle { return t.byKey[key] }

// Get returns the row of a handle, nil if the row was deleted.
func (t *Table[R]) Get(h Handle) *R {
	if !h.Valid() || int(h.index) >= len(t.slots) {
		return nil
	}
	s := &t.slots[h.index]
	if !s.used || s.generation != h.generation {
		return nil
	}
	return &s.row
}

// Delete removes the row with the given key. Handles to it become invalid.
func (t *Table[R]) Delete(key string) {
	h, ok := t.byKey[key]
	if !ok {
		return
	}
	delete(t.byKey, key)
	t.slots[h.index] = slot[R]{generation: h.generation + 1}
	t.free = append(t.free, h.index)
}

// All iterates over the keys and rows in slot order. The order depends only on the
// sequence of changes to the table. The current row may be deleted while iterating.
func (t *Table[R]) All() iter.Seq2[string, *R] {
	return func(yield func(string, *R) bool) {
		for i := range t.slots {
			s := &t.slots[i]
			if s.used && !yield(s.key, &s.row) {
				return
			}
		}
	}
}
