package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/table"
)

const (
	leaseReadPeriod = time.Second
	// longestLeaseReadPeriod bounds the growth of the period with the number of
	// controllers. Their reads are spread, so one of them still notices a lapsed
	// or released lease early; each keeps its own time of observation.
	longestLeaseReadPeriod = 4 * time.Second
	// controllersPerLeaseRead is the number of controllers up to which each reads
	// the lease rows every leaseReadPeriod.
	controllersPerLeaseRead = 32
)

// leasePeriod keeps the reads of all controllers together at the rate of
// controllersPerLeaseRead until the period is the longest.
func leasePeriod(controllers int) time.Duration {
	grown := leaseReadPeriod * time.Duration(controllers) / controllersPerLeaseRead
	return max(leaseReadPeriod, min(grown, longestLeaseReadPeriod))
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
