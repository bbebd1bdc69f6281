package ledger_test

import (
	"fmt"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// A completion during which the engine changed from weight version 4 to 5 has two
// ranges. Its staleness is that of the older version.
func Example() {
	var ranges []ledger.Range
	ranges = ledger.AppendRange(ranges, 120, 4)
	ranges = ledger.AppendRange(ranges, 80, 5)
	fmt.Println(ranges, ledger.CheckRanges(ranges, 200))
	fmt.Println("staleness at version 6:", ledger.Staleness(ranges, 6))
	// Output:
	// [{0 120 4} {120 200 5}] <nil>
	// staleness at version 6: 2
}
