package control

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// Session runs systems on a fake clock and records events, commands and row changes as
// deterministic text. Tests compare the text with golden files.
type Session struct {
	Tables  *table.Tables
	loop    *Loop
	text    strings.Builder
	watches []func(*Session)
}

// NewSession returns a session over the given tables.
func NewSession(t *table.Tables, systems ...system.Named) *Session {
	return &Session{Tables: t, loop: NewLoop(Options{Tables: t, Systems: systems})}
}

// Watch adds a table to the record. After each step, the session prints the fields of its
// rows that have changed. Fields with the tag json:"-" are omitted.
func Watch[R any](s *Session, name string, rows *table.Table[R]) {
	last := make(map[string]fields)
	zero := fieldsOf(*new(R))
	s.watches = append(s.watches, func(s *Session) {
		seen := make(map[string]bool)
		for key, row := range rows.All() {
			seen[key] = true
			now, before := fieldsOf(row), last[key]
			if before == nil {
				before = zero
			}
			s.printChange(name+"/"+key, before, now)
			last[key] = now
		}
		for _, key := range sortedKeys(last) {
			if !seen[key] {
				fmt.Fprintf(&s.text, "  row     %s/%s deleted\n", name, key)
				delete(last, key)
			}
		}
	})
}

// Step runs one tick at the time now and records it.
func (s *Session) Step(now time.Duration, in ...event.Event) {
	fmt.Fprintf(&s.text, "%v\n", now)
	for _, e := range in {
		fmt.Fprintf(&s.text, "  event   %s %s\n", e.Name(), encode(e))
	}
	commands, next := s.loop.Step(now, in)
	for _, watch := range s.watches {
		watch(s)
	}
	for _, c := range commands {
		fmt.Fprintf(&s.text, "  command %s %s\n", c.Name(), encode(c))
	}
	fmt.Fprintf(&s.text, "  next    %v\n", next)
}

// Bytes returns the text recorded so far.
func (s *Session) Bytes() []byte { return []byte(s.text.String()) }

// printChange prints the fields that differ between before and now, if any.
func (s *Session) printChange(label string, before, now fields) {
	var changes []string
	for _, name := range sortedKeys(now) {
		if string(before[name]) != string(now[name]) {
			changes = append(changes, name+"="+string(now[name]))
		}
	}
	if len(changes) > 0 {
		fmt.Fprintf(&s.text, "  row     %s %s\n", label, strings.Join(changes, " "))
	}
}

// fields are the JSON fields of a row by name.
type fields map[string]json.RawMessage

func fieldsOf(row any) fields {
	var f fields
	if err := json.Unmarshal([]byte(encode(row)), &f); err != nil {
		return fields{"error": json.RawMessage(err.Error())}
	}
	return f
}

// encode returns v as JSON, whose encoder sorts map keys.
func encode(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return "unprintable: " + err.Error()
	}
	return string(data)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
