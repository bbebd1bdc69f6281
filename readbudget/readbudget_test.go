package readbudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/readbudget"
)

// TestFeedsStayWithinTheStoresRate guards against hosts that together ask the store for
// more than it serves (a site of 300 hosts: nearly all feeds were refused).
func TestFeedsStayWithinTheStoresRate(t *testing.T) {
	const rate, hosts = 2000, 300
	reads := 0.0
	for _, share := range []float64{readbudget.CoordinationShare, readbudget.ServersShare, readbudget.OperatorsShare} {
		reads += hosts / readbudget.MinInterval(rate, hosts, share).Seconds()
	}
	require.InDelta(t, 0.7*rate, reads, 1)
	require.Less(t, readbudget.MinInterval(rate, 9, readbudget.CoordinationShare), 20*time.Millisecond, "few hosts are not slowed down")
	require.Zero(t, readbudget.MinInterval(0, hosts, readbudget.ServersShare), "without a known rate")
}
