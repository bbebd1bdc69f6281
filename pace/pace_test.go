package pace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/pace"
)

// TestFeedsStayWithinTheStoresRate guards against hosts that together ask the store for
// more than it serves (a site of 300 hosts: nearly all feeds were refused).
func TestFeedsStayWithinTheStoresRate(t *testing.T) {
	const rate, hosts = 2000, 300
	reads := 0.0
	for _, share := range []float64{pace.Coordination, pace.Servers, pace.Operators} {
		reads += hosts / pace.Interval(rate, hosts, share).Seconds()
	}
	require.InDelta(t, 0.7*rate, reads, 1)
	require.Less(t, pace.Interval(rate, 9, pace.Coordination), 20*time.Millisecond, "few hosts are not slowed down")
	require.Zero(t, pace.Interval(0, hosts, pace.Servers), "without a known rate")
}
