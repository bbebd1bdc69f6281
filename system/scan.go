package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
)

const (
	// scanIntervalPerRow is the time per row between scans of a whole table for due
	// work. With 5,100 rows a scan runs every 26 ms instead of in every tick of
	// 5 ms; with fewer than 1,000 rows every tick scans.
	scanIntervalPerRow = 5 * time.Microsecond
	// maxPollsPerSecond is the rate of polls of one kind above which the poll
	// interval grows with the number of servers.
	maxPollsPerSecond = 200
)

// scanDue reports whether a table with the given number of rows is due for a scan.
// next is the earliest time of the next scan; scanDue advances it, or has the loop
// woken at that time.
func scanDue(now time.Duration, next *time.Duration, rows int, out *command.Outbox) bool {
	if now < *next {
		out.WakeAt(*next)
		return false
	}
	*next = now + time.Duration(rows)*scanIntervalPerRow
	return true
}

// pollInterval returns the interval at which each of a number of servers is
// polled. It is shortest while maxPollsPerSecond allows it, otherwise longer, but
// not above longest.
func pollInterval(shortest, longest time.Duration, servers int) time.Duration {
	fitting := time.Duration(servers) * time.Second / maxPollsPerSecond
	return max(shortest, min(fitting, longest))
}
