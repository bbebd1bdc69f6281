package readbudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/readbudget"
)

// TestFeedsStayWithinStoreRate guards against hosts that together send the store more reads
// than it serves. With 300 hosts, the store refused nearly all feeds.
func TestFeedsStayWithinStoreRate(t *testing.T) {
	const rate, hosts = 2000, 300
	reads := 0.0
	for _, share := range []float64{readbudget.CoordinationShare, readbudget.ServersShare, readbudget.OperatorsShare} {
		reads += hosts / readbudget.MinInterval(rate, hosts, share).Seconds()
	}
	require.InDelta(t, 0.7*rate, reads, 1)
	require.Less(t, readbudget.MinInterval(rate, 9, readbudget.CoordinationShare), 20*time.Millisecond, "a few hosts are hardly limited")
	require.Zero(t, readbudget.MinInterval(0, hosts, readbudget.ServersShare), "no limit if the rate is not known")
}
