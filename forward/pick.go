package forward

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crossZonePenalty is the share of the response time that is added for servers in other
	// availability zones, because traffic between zones adds latency and cost.
	crossZonePenalty = 0.15
	// defaultResponseTime is assumed while no response of a service has been measured.
	defaultResponseTime = 25 * time.Millisecond
	// limitedPenalty is the share of the response time that is added for servers that name a
	// request limit, so that the others are used first.
	limitedPenalty = 0.5
	// tieBreak is the share of the response time up to which a random amount is added, so
	// that hosts with the same view do not all choose the same server.
	tieBreak = 0.05
	// triedPenalty and suspectPenalty are added for servers that were tried for the same
	// request or are suspect. They are used only if no other server is left.
	triedPenalty   = 10 * time.Second
	suspectPenalty = 5 * time.Second
	// minRefusalPause is the minimum time for which a server that refused a request is sent
	// no other. A slow server is left alone for longer, see refusalPause.
	minRefusalPause = 10 * time.Millisecond
)

// choice is the server chosen for an attempt. If target is nil, all servers are full, and
// wait is the time after which one of them is expected to have room; if wait is 0 as well,
// the service has no servers.
type choice struct {
	target   *Target
	expected time.Duration // expected time until the response of target
	queued   bool          // the request waits for a slot or for a permit of target
	response time.Duration // the part of expected in which the request runs
	// permitWait is the part of expected in which the request waits for a permit.
	permitWait time.Duration
	wait       time.Duration
}

// chooser holds what the choice of a server depends on besides the plan.
type chooser struct {
	now          time.Time
	nanos        int64 // now in Unix nanoseconds
	tried        map[string]int
	avoid        string             // id of a server that is never chosen
	avoidLimited bool               // never choose a server that names a request limit
	background   bool               // leave the servers' queues to callers that wait for a response
	stream       bool               // the request is a stream, whose unit of work is an event
	baseline     bool               // estimate by the smoothed response time alone, for comparison
	random       func() float64     // uniform in [0, 1)
	usable       func(*Target) bool // servers that may be chosen, nil for all
}

// choose returns the server of a service that is expected to respond first.
func (c *chooser) choose(p *Plan, service string) choice {
	targets := p.Services[service]
	c.nanos = c.now.UnixNano()
	assumed := c.assumedTime(targets)
	var best choice
	var bestScore time.Duration
	var rated rating
	for _, t := range targets {
		c.rate(p, t, assumed, &rated)
		switch {
		case rated.excluded:
		case rated.wait > 0:
			if best.target == nil && (best.wait == 0 || rated.wait < best.wait) {
				best.wait = rated.wait
			}
		case best.target == nil || rated.score < bestScore:
			e := &rated.estimate
			score := rated.score + time.Duration(tieBreak*c.random()*float64(e.response))
			if best.target != nil && score >= bestScore {
				continue
			}
			best, bestScore = choice{target: t, expected: e.total(), queued: e.queued() || e.permitWait > 0, response: e.response, permitWait: e.permitWait}, score
		}
	}
	return best
}

// rating is how a server compares with the others of its service for an attempt.
type rating struct {
	target   *Target
	estimate responseEstimate
	excluded bool          // the server is never chosen for the attempt
	wait     time.Duration // time until the server may be sent the request, 0 if it may be now
	score    time.Duration // the lowest of those without a wait is chosen
}

// rate rates a server. assumed is the result of assumedTime for its service. rated is reused for
// all servers of a choice.
func (c *chooser) rate(p *Plan, t *Target, assumed time.Duration, rated *rating) {
	*rated = rating{target: t}
	if t.Load.Leaving() || t.ID == c.avoid || (c.avoidLimited && t.Load.Limit() > 0) || (c.usable != nil && !c.usable(t)) {
		rated.excluded = true
		return
	}
	c.estimate(t, assumed, &rated.estimate)
	rated.estimate.permitWait = t.Load.permitWait(c.background, c.now)
	if rated.wait = c.waitFor(t, &rated.estimate); rated.wait == 0 {
		rated.score = c.score(p, t, &rated.estimate)
	}
}

// rank returns all servers of a service in the order in which choose would return them, then
// those with a wait by its length, then those that are never chosen.
func (c *chooser) rank(p *Plan, service string) []rating {
	targets := p.Services[service]
	c.nanos = c.now.UnixNano()
	assumed := c.assumedTime(targets)
	ranked := make([]rating, len(targets))
	for i, t := range targets {
		c.rate(p, t, assumed, &ranked[i])
	}
	slices.SortStableFunc(ranked, func(a, b rating) int {
		switch {
		case a.excluded != b.excluded && b.excluded:
			return -1
		case a.excluded != b.excluded:
			return 1
		}
		return cmp.Or(cmp.Compare(a.wait, b.wait), cmp.Compare(a.score, b.score))
	})
	return ranked
}

// waitFor returns the time until a server may be sent the request, 0 if it may be now.
func (c *chooser) waitFor(t *Target, e *responseEstimate) time.Duration {
	if wait := t.Load.refusedUntil(c.now); wait > 0 {
		return wait
	}
	if c.background && e.permitWait > 0 {
		return max(minRefusalPause, e.permitWait)
	}
	if c.background && (e.queued() || e.requests >= e.useful) {
		return max(minRefusalPause, e.response/time.Duration(e.slots))
	}
	return 0
}

// score rates a server without the random amount; the lowest score is the best.
func (c *chooser) score(p *Plan, t *Target, e *responseEstimate) time.Duration {
	factor := 0.0
	if t.Zone != p.Zone {
		factor += crossZonePenalty
	}
	if t.Load.Limit() > 0 {
		factor += limitedPenalty
	}
	score := e.permitWait + e.crowdedFor + time.Duration((factor+e.crowded/float64(e.slots))*float64(e.response))
	if len(c.tried) > 0 {
		score += time.Duration(c.tried[t.ID]) * triedPenalty
	}
	if t.Suspect {
		score += suspectPenalty
	}
	if t.Load.suspects.Load() > 0 {
		score += isolationPenalty
	}
	return score
}

// refusalPause returns the time for which a server that refused a request is left alone:
// about the time in which it completes half of its running requests.
func refusalPause(t *Target, now time.Time) time.Duration {
	return max(minRefusalPause, expectedAlone(t, now)/2)
}
