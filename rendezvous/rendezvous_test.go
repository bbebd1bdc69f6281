package rendezvous_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/rendezvous"
)

// BenchmarkOrder measures the selection among a number of hosts.
func BenchmarkOrder(b *testing.B) {
	for _, hosts := range []int{10, 100, 360} {
		peers := make(map[string]string)
		for i := range hosts - 1 {
			peers[fmt.Sprintf("host-%d", i)] = "address"
		}
		b.Run(fmt.Sprintf("%d_hosts", hosts), func(b *testing.B) {
			for b.Loop() {
				rendezvous.Order("server", "self", peers)
			}
		})
	}
}

// TestLostHostMovesOnlyItsKeys guards against hosts that select differently, and against keys
// that all move when a host is lost.
func TestLostHostMovesOnlyItsKeys(t *testing.T) {
	peers := map[string]string{"b": "", "c": "", "d": ""}
	fewer := maps.Clone(peers)
	delete(fewer, "d")
	for i := range 100 {
		key := fmt.Sprint(i)
		order := rendezvous.Order(key, "a", peers)
		require.Equal(t, order, rendezvous.Order(key, "b", map[string]string{"a": "", "c": "", "d": ""}))
		if order[0] != "d" {
			require.Equal(t, order[0], rendezvous.Order(key, "a", fewer)[0])
		}
	}
}

func ExampleOrder() {
	peers := map[string]string{"host-b": "10.0.0.2:7380", "host-c": "10.0.0.3:7380"}
	first := rendezvous.Order("server-1", "host-a", peers)[0]
	same := rendezvous.Order("server-1", "host-b", map[string]string{"host-a": "10.0.0.1:7380", "host-c": "10.0.0.3:7380"})[0]
	fmt.Println("all hosts select the same one:", first == same)
	// Output: all hosts select the same one: true
}
