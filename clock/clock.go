// Package clock provides the clock that measures leases.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime is a clock that includes the time during which the host was suspended, which
// the monotonic clock of package time does not. Its times are offsets from its start.
type Boottime struct{ start time.Duration }

// NewBoottime returns a clock that starts now. Its first time is 1 ms, not zero, so that
// zero can mean "never" in tables.
func NewBoottime() *Boottime { return &Boottime{start: read() - time.Millisecond} }

// Now returns the time since the start of the clock.
func (b *Boottime) Now() time.Duration { return read() - b.start }

// read returns the time of CLOCK_BOOTTIME.
func read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has provided this clock since version 2.6.39. There is no other clock
		// that can measure a lease.
		panic("CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
