// Package clock reads the clock that leases are measured with.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime is a clock that also counts the time for which the host was suspended, which
// the monotonic clock does not. Times are offsets from New.
type Boottime struct{ start time.Duration }

// NewBoottime returns a clock that begins at a small offset, so that zero can mean
// "never" in tables.
func NewBoottime() *Boottime { return &Boottime{start: read() - time.Millisecond} }

// Now returns the time since NewBoottime.
func (b *Boottime) Now() time.Duration { return read() - b.start }

func read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has this clock since Linux 2.6.39; there is no other that a
		// lease could be measured with.
		panic("CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
