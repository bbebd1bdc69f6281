package capacity_test

import (
	"fmt"
	"time"

	"github.com/lavenderstand/lavenderstand/capacity"
)

func Example() {
	// An engine of six slots takes 40 ms per event up to three requests, and longer in
	// proportion beyond.
	e := capacity.Estimator{Slots: 6}
	for i := range 200 {
		requests := 1 + i%6
		took := 40 * time.Millisecond * time.Duration(max(3, requests)) / 3
		e.Observe(capacity.Observation{At: time.Duration(i) * 100 * time.Millisecond, Requests: requests, Took: took, Units: 1})
	}
	got := e.Estimate()
	fmt.Println("alone:", got.Time(1).Round(time.Millisecond))
	fmt.Println("with six requests:", got.Time(6).Round(time.Millisecond))
	fmt.Println("useful requests:", got.Capacity)
	// Output:
	// alone: 40ms
	// with six requests: 80ms
	// useful requests: 3
}
