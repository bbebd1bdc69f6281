package permit_test

import (
	"fmt"
	"testing"

	"github.com/lavenderstand/lavenderstand/permit"
)

// BenchmarkOrder measures the choice of the host that grants the permits of a server.
func BenchmarkOrder(b *testing.B) {
	for _, hosts := range []int{10, 100, 360} {
		peers := make(map[string]string)
		for i := range hosts - 1 {
			peers[fmt.Sprintf("host-%d", i)] = "address"
		}
		b.Run(fmt.Sprintf("%d_hosts", hosts), func(b *testing.B) {
			for b.Loop() {
				permit.Order("server", "self", peers)
			}
		})
	}
}
