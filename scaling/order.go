package scaling

import (
	"time"
)

const (
	// minOrderInterval is the minimum time between two orders of one kind in a zone.
	minOrderInterval = 2 * time.Second
	// lowerDelay is the time for which fewer servers must have been wanted until fewer are
	// ordered. Capacity is worth far more than its price.
	lowerDelay = 20 * time.Second
	// lowerShare is the share of the servers by which the target must be lower. It exceeds the
	// variation of the sizes of lots.
	lowerShare = 0.25
	// startupMargin is the time beyond the startup time after which servers that were ordered
	// are considered missing. Records of servers arrive up to a second late.
	startupMargin = 1500 * time.Millisecond
	// lossDelay is the time for which servers must be missing until they are replaced, unless
	// they announced that they leave. Live servers write an expired record again within two
	// seconds.
	lossDelay = 2500 * time.Millisecond
	// excessDelay is the time after an order of fewer servers after which those that are still
	// present are considered ordered by a late call.
	excessDelay = 10 * time.Second
	// undeliveredLimit is the number of orders in a row without servers after which the kind
	// is considered unavailable in the zone.
	undeliveredLimit = 2
	// unavailablePause is the time for which a kind that the platform could not offer in a
	// zone is not ordered again. Such times last up to 10 s.
	unavailablePause = 3 * time.Second
)

// Order is the last order of a kind of servers of a service in a zone. It is kept in the store
// but for the fields from Pending on.
type Order struct {
	Service, Zone string
	Spot          bool
	Ordered       bool // there has been an order
	Number        int
	Version       uint64 // of the row, 0 if there is none

	Pending          bool // an order is under way
	Previous         Number
	At               time.Duration // when the last order was sent; the time of reading if another process sent it
	NextAt           time.Duration // earliest time of the next order
	UnavailableUntil time.Duration // the platform has none to offer until then
	Failures         int           // consecutive failures
	Undelivered      int           // orders in a row after which servers were missing
	ShortSince       time.Duration // since when fewer servers are present than ordered, 0 if not
	LowerSince       time.Duration // since when fewer servers are wanted than ordered, 0 if not
	LowerMost        int           // largest number that was wanted since then
	Outcome          string        // of the last order, for views
	recent           Peak          // servers present
	mostPresent      int           // maximum of recent
}

// Number is the number of an order, if there was one.
type Number struct {
	Ordered bool
	Number  int
}

// Observed is what is known of the servers that an order is about.
type Observed struct {
	Present      int
	LeavingSince time.Duration // when the newest leaving server began to leave, 0 if none leaves
	Spare        int           // servers of the service that may be removed without need for them
	Over         bool          // both kinds together exceed the maximum
	Startup      time.Duration
}

// InForce returns the number of servers that the platform is believed to keep. Before the first
// order these are the most that were present recently: a list may lack some for a while.
func (o *Order) InForce(present int) int {
	if o.Ordered {
		return o.Number
	}
	return max(present, o.mostPresent)
}

// observe records the number of servers present.
func (o *Order) observe(now time.Duration, present int) {
	o.recent.Observe(now, float64(present))
	o.mostPresent = int(o.recent.Max(now))
}

// Reasons of an order.
const (
	ReasonRaise  = "raise"  // more servers are wanted
	ReasonLower  = "lower"  // fewer servers have been wanted for some time
	ReasonRepeat = "repeat" // the servers do not match the last order
)

// Next returns the number to be ordered now and the reason, which is empty if nothing is to be
// ordered. wake is the time at which to ask again, 0 if none. It records since when the servers
// differ from what is wanted.
func (o *Order) Next(now time.Duration, want int, seen Observed) (number int, reason string, wake time.Duration) {
	inForce := o.InForce(seen.Present)
	o.track(now, want, inForce, seen)
	if o.Pending || now < o.UnavailableUntil {
		return 0, "", 0
	}
	due := func(at time.Duration, number int, reason string) (int, string, time.Duration) {
		if at = max(at, o.NextAt); now < at {
			return 0, "", at
		}
		return number, reason, 0
	}
	short := seen.Present < min(inForce, want)
	started := time.Duration(0) // when the servers of the last order must be present
	if o.Ordered {
		started = o.At + seen.Startup + startupMargin
	}
	switch {
	case want > inForce:
		return due(0, max(want, o.floor(seen)), ReasonRaise)
	case short && o.At < seen.LeavingSince:
		return due(0, inForce, ReasonRepeat) // reclaimed or taken away since the order
	case short:
		return due(max(started, o.ShortSince+lossDelay), inForce, ReasonRepeat)
	case o.LowerSince > 0 && seen.Over:
		return due(o.LowerSince+lowerDelay, want, ReasonLower)
	case o.LowerSince > 0 && o.clearlyLower(inForce):
		number := max(o.LowerMost, min(inForce, seen.Present)-seen.Spare, o.floor(seen))
		if number >= inForce && o.Ordered {
			return 0, "", 0
		}
		return due(o.LowerSince+lowerDelay, number, ReasonLower)
	case o.Ordered && seen.Present > o.Number && want <= o.Number:
		return due(o.At+excessDelay, o.Number, ReasonRepeat)
	}
	return 0, "", 0
}

// clearlyLower reports whether fewer servers were wanted all the time since LowerSince, by
// more than the sizes of lots vary.
func (o *Order) clearlyLower(inForce int) bool {
	return float64(inForce-o.LowerMost) >= lowerShare*float64(inForce)
}

// floor returns the least number of an order: the first order replaces no number that is known,
// so it must not remove servers.
func (o *Order) floor(seen Observed) int {
	if o.Ordered {
		return 0
	}
	return o.InForce(seen.Present)
}

// track records since when the servers differ from what is wanted or ordered.
func (o *Order) track(now time.Duration, want, inForce int, seen Observed) {
	switch {
	case want >= inForce:
		o.LowerSince, o.LowerMost = 0, 0
	case o.LowerSince == 0, now >= o.LowerSince+lowerDelay && !seen.Over && !o.clearlyLower(inForce):
		o.LowerSince, o.LowerMost = now, want
	default:
		o.LowerMost = max(o.LowerMost, want)
	}
	switch {
	case seen.Present >= inForce:
		o.ShortSince, o.Undelivered = 0, 0
	case o.ShortSince == 0:
		o.ShortSince = now
	}
}

// Begin records that an order is under way.
func (o *Order) Begin(now time.Duration, number int, reason string) {
	if reason == ReasonRepeat && o.ShortSince > 0 {
		o.Undelivered++
	}
	o.Previous = Number{o.Ordered, o.Number}
	o.Ordered, o.Number = true, number
	o.Pending, o.At, o.NextAt, o.Outcome = true, now, now+minOrderInterval, ""
	o.LowerSince, o.LowerMost = 0, 0
}

// Undo restores the number before an order that the platform did not carry out.
func (o *Order) Undo() { o.Ordered, o.Number = o.Previous.Ordered, o.Previous.Number }

// Exhausted reports whether repeated orders brought no servers.
func (o *Order) Exhausted() bool { return o.Undelivered >= undeliveredLimit }
