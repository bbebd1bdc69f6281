package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/table"
)

const (
	minLeaseReadInterval = time.Second
	// maxLeaseReadInterval bounds the growth of the period with the number of
	// controllers. Their reads are spread, so one of them still notices a lapsed
	// or released lease early; each keeps its own time of observation.
	maxLeaseReadInterval = 4 * time.Second
	// leaseReadsPerInterval is the number of controllers up to which each reads
	// the lease rows every leaseReadPeriod.
	leaseReadsPerInterval = 32
)

// leaseReadInterval keeps the reads of all controllers together at the rate of
// controllersPerLeaseRead until the period is the longest.
func leaseReadInterval(controllers int) time.Duration {
	grown := minLeaseReadInterval * time.Duration(controllers) / leaseReadsPerInterval
	return max(minLeaseReadInterval, min(grown, maxLeaseReadInterval))
}

// leaseShare is the number of partitions per live controller, rounded up.
func leaseShare(t *table.Tables, partitions int) int {
	live := liveControllers(t)
	return (partitions + live - 1) / live
}

// liveControllers counts this process and the others that are known. One whose
// lease lapsed counts again once it renews its host row.
func liveControllers(t *table.Tables) int {
	live := 1
	for id, h := range t.Hosts.All() {
		if h.Role == table.RoleController && id != t.Self.ID && (h.LeaseLapsedAt == 0 || h.RowSeen > h.LeaseLapsedAt) {
			live++
		}
	}
	return live
}
