// Package accesskey finds the organisation of a caller by the key that the caller sends. An
// Index is immutable and may be read by any number of goroutines without a lock.
package accesskey

import (
	"errors"
	"fmt"
	"strings"
	"unicode"

	"github.com/lavenderstand/lavenderstand/desired"
)

// MaxKeyBytes is the maximum length of a key, in bytes.
const MaxKeyBytes = 256

// Index maps keys to the organisations of one version of the desired state.
type Index struct {
	organisations []desired.Organisation // without keys, one for each name
	byName        map[string]int         // position in organisations
	byKey         map[string]int         // position in organisations, ambiguous if the key has no organisation
}

// ambiguous marks a key of which it is not known to whom it belongs.
const ambiguous = -1

// New returns the index of a list of organisations, nil for a nil list. If the list is
// invalid, the error says why, and the keys at fault belong to no organisation in the index.
// The error contains no key.
func New(organisations []desired.Organisation) (*Index, error) {
	if organisations == nil {
		return nil, nil
	}
	count := 0
	for i := range organisations {
		count += len(organisations[i].Keys)
	}
	x := &Index{byName: make(map[string]int, len(organisations)), byKey: make(map[string]int, count)}
	var err error
	for i := range organisations {
		err = errors.Join(err, x.add(&organisations[i], i))
	}
	return x, err
}

// add adds the organisation at a position of the list. Entries with the same name are one
// organisation, whose priority is that of the first entry.
func (x *Index) add(o *desired.Organisation, at int) (err error) {
	owner := ambiguous
	if validName(o.Name) {
		owner = x.position(o)
	} else {
		err = fmt.Errorf("organisation %d has an empty or unusable name", at)
	}
	for _, key := range o.Keys {
		other, known := x.byKey[key]
		switch {
		case key == "":
			err = fmt.Errorf("organisation %d (%q) has an empty key", at, o.Name)
		case !known:
			x.byKey[key] = owner
		case other != owner:
			x.byKey[key] = ambiguous
			err = fmt.Errorf("organisation %d (%q) shares a key with another one", at, o.Name)
		}
	}
	return err
}

// position returns the position of an organisation, which it adds if its name is new.
func (x *Index) position(o *desired.Organisation) int {
	at, known := x.byName[o.Name]
	if !known {
		at = len(x.organisations)
		x.byName[o.Name] = at
		x.organisations = append(x.organisations, desired.Organisation{Name: o.Name, Priority: o.Priority})
	}
	return at
}

// validName reports whether a name can be sent in a header and arrives unchanged.
func validName(name string) bool {
	return name != "" && name == strings.TrimSpace(name) && !strings.ContainsFunc(name, unicode.IsControl)
}

// Organisation returns the name of the organisation that holds a key. ok is false if no
// organisation holds it.
func (x *Index) Organisation(key string) (name string, ok bool) {
	at, known := x.byKey[key]
	if !known || at == ambiguous {
		return "", false
	}
	return x.organisations[at].Name, true
}

// Priority returns the priority of an organisation. ok is false if the index is nil or the
// organisation is unknown or has no priority.
func (x *Index) Priority(name string) (priority int, ok bool) {
	if x == nil {
		return 0, false
	}
	at, known := x.byName[name]
	if !known || x.organisations[at].Priority == nil {
		return 0, false
	}
	return *x.organisations[at].Priority, true
}

// Names returns the names of the organisations, in the order of the desired state. It
// returns none for a nil index.
func (x *Index) Names() []string {
	if x == nil {
		return nil
	}
	names := make([]string, len(x.organisations))
	for i := range x.organisations {
		names[i] = x.organisations[i].Name
	}
	return names
}

// Single returns the key in the values of a header. ok is false unless the header is present
// once and contains nothing but a key.
func Single(values []string) (key string, ok bool) {
	if len(values) != 1 {
		return "", false
	}
	key = values[0]
	return key, key != "" && len(key) <= MaxKeyBytes && !strings.ContainsAny(key, ", \t")
}
