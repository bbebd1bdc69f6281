package tablestore

import "fmt"

// OpIDs returns a source of operation ids of 128 random bits. random is
// typically Uint64 of math/rand/v2; it must be safe for concurrent use if the
// source is shared.
func OpIDs(random func() uint64) func() string {
	return func() string { return fmt.Sprintf("%016x%016x", random(), random()) }
}
