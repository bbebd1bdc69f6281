package tablestore

import "fmt"

// OpIDs returns a function that generates operation ids of 128 random bits. The
// argument random is typically Uint64 of math/rand/v2. The returned function is
// safe for concurrent use if random is.
func OpIDs(random func() uint64) func() string {
	return func() string { return fmt.Sprintf("%016x%016x", random(), random()) }
}
