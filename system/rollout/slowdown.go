package rollout

import (
	"math"
	"time"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// slowdownRatio is the ratio of a server's event interval to its steady one above which
	// the server counts as slowed down. Ordinary variation with the number of runs is below.
	slowdownRatio = 1.4
	// burstLength is the length of an ordinary burst of work of others on the same machine,
	// and repeatChance the probability that another burst follows at once.
	burstLength  = 600 * time.Millisecond
	repeatChance = 0.15
	// burstOdds is the number of bursts for each lasting slowdown, among slowdowns that have
	// just begun. It is an estimate: an engine has a burst each 4 s, and how often lasting
	// slowdowns begin is not known.
	burstOdds = 15
	// burstSlowdown is the largest slowdown in a burst. A larger one is the less likely a
	// burst, by the power of burstFalloff.
	burstSlowdown = 2.5
	burstFalloff  = 4
	// lastingLength is the expected further duration of a slowdown that is not a burst. Known
	// ones take 6 to 8 s or are permanent.
	lastingLength = 5 * time.Second
	// slowdownTTL is the time without a measurement after which the age of a slowdown is
	// counted anew.
	slowdownTTL = 2 * time.Second
	// steadyAfter is the age of a slowdown at which it becomes the steady pace of the server.
	// It is longer than the known temporary slowdowns.
	steadyAfter = 10 * time.Second
	// steadySmoothing is the weight of a new measurement in the steady interval.
	steadySmoothing = 0.1
)

// applyInterval applies a measured event interval of a server to its pace and to the age of
// its slowdown.
func applyInterval(now time.Duration, r *table.Rollout, s *table.Server, interval time.Duration, requests int, out *command.Outbox) {
	if interval <= 0 {
		return
	}
	before := eventInterval(r, s)
	recordPace(now, s, interval)
	observe(now, s, true, capacity.Observation{Requests: max(1, requests, s.Running), Took: interval, Units: 1}, out)
	if s.SuspectUntil == 0 {
		s.Slowdown = nextSlowdown(now, s.Slowdown, before, min(interval, eventInterval(r, s)))
	}
}

// nextSlowdown returns the slowdown of a server after a measurement. before is the steady
// interval of a server without one. interval is the smaller one of the measurement and the
// smoothed interval, which falls behind at both ends of a slowdown.
func nextSlowdown(now time.Duration, d table.Slowdown, before, interval time.Duration) table.Slowdown {
	if d.Steady == 0 {
		d.Steady = before
	}
	silent := now-d.MeasuredAt > slowdownTTL
	d.MeasuredAt = now
	switch {
	case float64(interval) <= slowdownRatio*float64(d.Steady):
		d.Since, d.Steady = 0, smooth(d.Steady, interval, steadySmoothing)
	case d.Since == 0 || silent:
		d.Since = now
	case now-d.Since > steadyAfter:
		d.Since, d.Steady = 0, interval
	}
	return d
}

// paceForecast is the expected course of a server's event interval.
type paceForecast struct {
	current time.Duration // event interval for the time span
	span    time.Duration
	steady  time.Duration // event interval afterwards
}

// timeFor returns the expected time for a number of events.
func (f paceForecast) timeFor(events float64) time.Duration {
	if f.current <= 0 {
		return time.Duration(events * float64(f.steady))
	}
	slow := min(events, float64(f.span)/float64(f.current))
	return time.Duration(slow*float64(f.current) + (events-slow)*float64(f.steady))
}

// typical returns the expected time for typicalEvents.
func (f paceForecast) typical() time.Duration { return f.timeFor(typicalEvents) }

// forecastPace returns the forecast of a server's pace. A slowdown that has just begun is
// probably a burst and not worth a reaction; the longer it lasts, the longer it is expected
// to go on. A server whose interval is not known to have changed keeps it.
func forecastPace(now time.Duration, r *table.Rollout, s *table.Server) paceForecast {
	interval, d := eventInterval(r, s), s.Slowdown
	switch {
	case r.Baselines.Moves || s.SuspectUntil != 0 || d.Steady == 0:
		return paceForecast{steady: interval}
	case d.Since == 0 || d.Since == d.MeasuredAt: // a single measurement is noise
		return paceForecast{steady: d.Steady}
	}
	return paceForecast{current: interval, span: remainingSlowdown(now-d.Since, float64(interval)/float64(d.Steady)), steady: d.Steady}
}

// remainingSlowdown returns the expected further duration of a slowdown of some age by some
// ratio. Bursts follow each other with repeatChance, so the odds of a burst fall with age.
func remainingSlowdown(age time.Duration, ratio float64) time.Duration {
	repeats := max(0, float64(age-burstLength)/float64(burstLength))
	odds := burstOdds * math.Pow(repeatChance, repeats) * math.Pow(burstSlowdown/max(ratio, burstSlowdown), burstFalloff)
	return time.Duration(float64(lastingLength)/(1+odds)) + max(0, burstLength-age)
}
