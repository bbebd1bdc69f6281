package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/table"
)

const (
	minLeaseReadInterval = time.Second
	// maxLeaseReadInterval bounds the read interval, which grows with the number of
	// controllers. Their reads are spread over time, so one of them still notices
	// an expired or released lease early. Each controller measures the age of a
	// lease from the time when it first read the row itself.
	maxLeaseReadInterval = 4 * time.Second
	// leaseReadsPerInterval is the number of reads by all controllers together per
	// minLeaseReadInterval, above which the interval of each grows.
	leaseReadsPerInterval = 32
)

// leaseReadInterval returns the time between a controller's reads of the lease
// rows. It keeps the reads of all controllers together at leaseReadsPerInterval
// until maxLeaseReadInterval is reached.
func leaseReadInterval(controllers int) time.Duration {
	grown := minLeaseReadInterval * time.Duration(controllers) / leaseReadsPerInterval
	return max(minLeaseReadInterval, min(grown, maxLeaseReadInterval))
}

// leaseShare returns the number of partitions per live controller, rounded up.
func leaseShare(t *table.Tables, partitions int) int {
	live := liveControllers(t)
	return (partitions + live - 1) / live
}

// liveControllers returns the number of known controllers, including this process.
// A controller whose lease expired counts again once it renews its host row.
func liveControllers(t *table.Tables) int {
	live := 1
	for id, h := range t.Hosts.All() {
		if h.Role == table.RoleController && id != t.Self.ID && (h.LeaseExpiredAt == 0 || h.RowSeen > h.LeaseExpiredAt) {
			live++
		}
	}
	return live
}
