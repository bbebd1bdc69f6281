package scaling

import (
	"math"
	"time"
)

const (
	// closeShare is the share of the completion target from which steps are close to the due
	// time. Below two thirds they are ready well before it; the range between orders nothing,
	// so that the variation between steps does not.
	closeShare = 0.85
	// maxRaise is the share of the servers by which a service grows at a time. Engines that
	// start take loads and items from the others, and the effect is seen a step later.
	maxRaise = 0.25
	// maxSpotShare is the share of the servers of a service that may be spot servers: the
	// platform may reclaim those of all zones at once.
	maxSpotShare = 0.25
	// lowShare is the share of the former demand below which it is clearly lower.
	lowShare = 0.5
	// lowDelay is the time for which the demand must be clearly lower until fewer servers are
	// wanted. Trainers pause for several steps, for instance after a failure.
	lowDelay = 60 * time.Second
	// noEffectDelay is the time without a raise after one that did not make steps faster. It
	// spans several steps, so that a fault of that time can end. It is doubled up to
	// maxNoEffectDoublings times if that happens again.
	noEffectDelay        = 60 * time.Second
	maxNoEffectDoublings = 4
	// sameDemand is the factor up to which a demand counts as the same. Lots vary in size.
	sameDemand = 1.1
	// versionsPerLoad is the number of versions for which an engine needs one load: it may
	// lag behind by one version.
	versionsPerLoad = 2
)

// LoadLimit returns the number of engines that can be kept at the versions that trainers name,
// 0 if it is not known. Loads at once take loadTime each, so atOnce*interval/loadTime of them
// end between two versions, and an engine needs one load per versionsPerLoad versions.
func LoadLimit(atOnce int, interval, loadTime time.Duration) int {
	if atOnce <= 0 || interval <= 0 || loadTime <= 0 {
		return 0
	}
	return int(min(math.MaxInt32, versionsPerLoad*float64(atOnce)*float64(interval)/float64(loadTime)))
}

// Level is the number of servers that a service has in calm, and the demand that they serve.
type Level struct {
	Servers int     // in calm, with those that were ordered for due work since
	Start   int     // servers present at the start
	Demand  float64 // slots that were needed for lowDelay on end, 0 before

	EffectAt time.Duration // when steps show the effect of the last change of the servers
	// Continue is set when orders of another process were read: their servers may still start.
	Continue bool

	since           time.Duration // first observation
	seen            bool
	present, demand sustained
	lowSince        time.Duration // since when the demand is clearly lower, 0 if it is not
	recent          lowDemand
	raised          Need // at the last raise, zero once its effect was judged
	fruitless       int  // raises without effect since one that had some
}

// sustained is the least value since a value exceeds a bound.
type sustained struct {
	above bool
	since time.Duration
	least float64
}

// exceeds returns the least value that was observed for lowDelay if all exceeded the bound, and
// the bound otherwise.
func (s *sustained) exceeds(now time.Duration, value, bound float64) float64 {
	switch {
	case value <= bound:
		s.above = false
		return bound
	case !s.above:
		*s = sustained{above: true, since: now, least: value}
	}
	s.least = min(s.least, value)
	if now < s.since+lowDelay {
		return bound
	}
	s.above = false
	return s.least
}

// lowDemand is the maximum of the demand in the current and in the previous lowDelay.
type lowDemand struct {
	at                time.Duration
	current, previous float64
}

func (l *lowDemand) observe(now time.Duration, demand float64) {
	if now-l.at >= lowDelay {
		l.at, l.previous, l.current = now, l.current, 0
	}
	l.current = max(l.current, demand)
}

// max returns the maximum of at least the last lowDelay.
func (l *lowDemand) max() float64 { return max(l.current, l.previous) }

// Observe records the servers present. Those of the first peakMemory are the servers in calm. A
// larger number of ordinary servers must be present for lowDelay: those that replaced others or
// that a late order brought are removed before.
func (l *Level) Observe(now time.Duration, ordinary, spot int) {
	if !l.seen {
		l.seen, l.since = true, now
	}
	if now < l.since+peakMemory {
		l.Start = max(l.Start, ordinary+spot)
		l.Servers = max(l.Servers, l.Start)
		return
	}
	l.Servers = int(l.present.exceeds(now, float64(ordinary), float64(l.Servers)))
}

// situation is what the wanted number of servers depends on.
type situation struct {
	need             Need
	slots            int
	present, inForce int           // servers of both kinds
	ordinary         int           // ordinary servers in force
	startup          time.Duration // of a server
	limit            int           // engines that can load each version, 0 if there is no limit
}

// wanted returns the servers that due work needs, and those that all work needs. It records
// the servers in calm.
func (l *Level) wanted(now time.Duration, s situation) (due, total int) {
	// A burst, such as after an outage, is no measure of what is clearly lower.
	l.Demand = l.demand.exceeds(now, s.need.Peak, l.Demand)
	most := servers(s.need.Peak, s.slots) // more slots than items never help
	if s.limit > 0 {
		most = min(most, s.limit)
	}
	effect := now + s.startup + s.need.Step
	if l.Continue {
		l.Continue, l.EffectAt, l.Servers = false, max(l.EffectAt, effect), max(l.Servers, s.ordinary)
	}
	l.judge(now, s.need)
	switch {
	case s.present < min(l.Servers, s.inForce):
		// Steps are late because servers are missing, and the number is restored first.
		l.EffectAt = max(l.EffectAt, effect)
	case now >= l.EffectAt && s.need.Pressure >= closeShare && l.Servers < most:
		share := min(maxRaise, s.need.Pressure/closeShare-1)
		l.Servers = min(most, l.Servers+max(1, int(share*float64(s.present))))
		l.raised, l.EffectAt = s.need, effect
	}
	due = l.lowered(now, s.need.Peak)
	total = max(due, servers(s.need.Direct, s.slots))
	if s.need.Step > 0 { // servers that start also take loads from those that run due work
		total = min(total, due+int(maxRaise*float64(due)))
	}
	if s.limit > 0 {
		total = max(due, min(total, s.limit))
	}
	return due, total
}

// judge delays the next raise if the last one has not made steps faster although the demand is
// the same: they are late for another reason than too few servers.
func (l *Level) judge(now time.Duration, n Need) {
	if l.raised.Pressure == 0 || now < l.EffectAt {
		return
	}
	if n.Pressure >= l.raised.Pressure && n.Peak <= sameDemand*l.raised.Peak {
		l.EffectAt = now + noEffectDelay<<min(l.fruitless, maxNoEffectDoublings)
		l.fruitless++
	} else {
		l.fruitless = 0
	}
	l.raised = Need{}
}

// lowered returns the servers in calm, or the part of them that the demand needs if it has been
// clearly lower for some time.
func (l *Level) lowered(now time.Duration, demand float64) int {
	l.recent.observe(now, demand)
	switch {
	case demand > lowShare*l.Demand:
		l.lowSince = 0
	case l.lowSince == 0:
		l.lowSince = now
	}
	if l.lowSince == 0 || now < l.lowSince+lowDelay {
		return l.Servers
	}
	most := l.recent.max()
	if most == 0 {
		return 0
	}
	return int(math.Ceil(float64(l.Servers) * most / max(most, l.Demand)))
}
