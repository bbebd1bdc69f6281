package forward

import (
	"math"
	"time"
)

// RecordLimit records the number of requests per second that a server takes from all hosts
// together, 0 if it names no limit.
func (l *Load) RecordLimit(perSecond float64, at time.Time) {
	l.limit.Store(math.Float64bits(perSecond))
	l.limitSeenAt.Store(at.UnixNano())
}

// Limit returns the number of requests per second that the server takes from all hosts
// together, 0 if it named no limit in its last answer.
func (l *Load) Limit() float64 { return math.Float64frombits(l.limit.Load()) }
