package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
)

const (
	// scanIntervalPerRow is the time per row between two scans of a whole table for due
	// work. At 5,100 rows a scan runs every 26 ms instead of in every tick of
	// 5 ms; below 1,000 rows every tick scans.
	scanIntervalPerRow = 5 * time.Microsecond
	// maxPollsPerSecond is the rate of polls of one kind above which the period
	// grows with the number of servers.
	maxPollsPerSecond = 200
)

// scanDue reports whether a table with this number of rows is to be scanned now.
// next is the table's earliest time of a scan; the loop is woken then.
func scanDue(now time.Duration, next *time.Duration, rows int, out *command.Outbox) bool {
	if now < *next {
		out.WakeAt(*next)
		return false
	}
	*next = now + time.Duration(rows)*scanIntervalPerRow
	return true
}

// pollInterval returns the period of polls of a number of servers: the shortest
// one while the rate allows it, otherwise longer, at most longest.
func pollInterval(shortest, longest time.Duration, servers int) time.Duration {
	fitting := time.Duration(servers) * time.Second / maxPollsPerSecond
	return max(shortest, min(fitting, longest))
}
