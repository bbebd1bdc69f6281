package usage_test

import (
	"context"
	"fmt"

	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/usage"
)

// A window is fixed once. A second process that fixes it gets the counts of the first, so both
// report the same.
func Example() {
	ctx := context.Background()
	s := pamoja.NewStore()
	first, err := usage.Fix(ctx, s, 350_000_000, map[string]int64{"acme": 7})
	if err != nil {
		panic(err)
	}
	second, err := usage.Fix(ctx, s, 350_000_000, map[string]int64{"acme": 5})
	if err != nil {
		panic(err)
	}
	fmt.Println(first.Counts, second.Counts)
	if err := usage.MarkSent(ctx, s, second); err != nil {
		panic(err)
	}
	stored, err := usage.Read(ctx, s)
	if err != nil {
		panic(err)
	}
	for _, w := range stored.Windows {
		fmt.Println(w.Number, w.Counts, w.Sent)
	}
	// Output:
	// map[acme:7] map[acme:7]
	// 350000000 map[acme:7] true
}
