package scaling

import (
	"slices"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/desired"
)

// Group is the servers of one kind of a service in a zone, and the last order for them.
type Group struct {
	Order        *Order
	Present      int           // servers that do not leave
	LeavingSince time.Duration // when the newest leaving server began to leave, 0 if none leaves
}

// Service is what a decision about a service is made from.
type Service struct {
	Bounds desired.Scaling
	Need   Need
	Level  *Level
	Slots  int     // of one server
	Limit  int     // engines that can load each version, 0 if there is no limit
	Others int     // servers that do not leave in zones that the bounds do not name
	Groups []Group // both kinds in each zone of the bounds
}

// Due is an order to be given.
type Due struct {
	Group  *Group
	Number int
	Reason string
}

// Decision is the outcome of Decide.
type Decision struct {
	Orders  []Due
	Wake    time.Duration // when to decide again at the latest, 0 if not stated
	Needed  int           // servers for all work
	Present int           // servers that do not leave
	Wanted  int           // servers that are wanted and can be ordered
}

// Decide returns the orders that are due. Nothing is ordered before there was some demand,
// because the servers that are present may just have a pause. It records in the orders since when servers differ
// from what is wanted.
func Decide(now time.Duration, s Service) Decision {
	if !s.Need.Shown {
		return Decision{}
	}
	in := Input{Bounds: s.Bounds, Others: s.Others}
	d := Decision{Present: s.Others, Wanted: s.Others}
	inForce, ordinary := s.Others, s.Others
	groups := s.byZone()
	for _, pair := range groups {
		z := Zone{Name: pair[0].Order.Zone, Price: s.Bounds.ZonePrices[pair[0].Order.Zone]}
		z.Ordinary, z.Spot = pair[0].supply(now), pair[1].supply(now)
		d.Present += z.Ordinary.Present + z.Spot.Present
		inForce += z.Ordinary.InForce + z.Spot.InForce
		ordinary += z.Ordinary.InForce
		in.Zones = append(in.Zones, z)
	}
	in.Due, in.Total = s.Level.wanted(now, situation{
		need: s.Need, slots: s.Slots, present: d.Present, inForce: inForce, ordinary: ordinary, startup: s.Bounds.StartupTime, limit: s.Limit,
	})
	d.Needed = in.Total
	targets := Plan(in)
	spare := max(0, d.Present-d.Needed)
	for i, pair := range groups {
		z := in.Zones[i]
		target := targets[z.Name]
		d.Wanted += offered(z.Ordinary, target.Ordinary) + offered(z.Spot, target.Spot)
		for j, want := range []int{target.Ordinary, target.Spot} {
			g := pair[j]
			n, reason, wake := g.Order.Next(now, want, Observed{
				Present: g.Present, LeavingSince: g.LeavingSince, Spare: spare, Over: z.Ordinary.InForce+z.Spot.InForce > s.Bounds.Max, Startup: s.Bounds.StartupTime,
			})
			if wake > 0 && (d.Wake == 0 || wake < d.Wake) {
				d.Wake = wake
			}
			if reason == "" || n > s.Bounds.Max {
				continue
			}
			if reason == ReasonLower {
				spare = max(0, spare-max(0, g.Present-n))
			}
			d.Orders = append(d.Orders, Due{g, n, reason})
		}
	}
	return d
}

// byZone returns the ordinary and the spot servers of each zone, sorted by zone.
func (s *Service) byZone() [][2]*Group {
	index := make(map[string]int)
	var zones [][2]*Group
	for i := range s.Groups {
		g := &s.Groups[i]
		n, ok := index[g.Order.Zone]
		if !ok {
			n = len(zones)
			index[g.Order.Zone] = n
			zones = append(zones, [2]*Group{})
		}
		if g.Order.Spot {
			zones[n][1] = g
		} else {
			zones[n][0] = g
		}
	}
	slices.SortFunc(zones, func(a, b [2]*Group) int { return strings.Compare(a[0].Order.Zone, b[0].Order.Zone) })
	return zones
}

// supply returns the state of the group. If orders brought no servers, the kind counts as
// unavailable for a while.
func (g *Group) supply(now time.Duration) Supply {
	g.Order.observe(now, g.Present)
	if g.Order.Exhausted() && now >= g.Order.UnavailableUntil {
		g.Order.UnavailableUntil, g.Order.Undelivered = now+unavailablePause, 0
	}
	return Supply{Present: g.Present, InForce: g.Order.InForce(g.Present), Unavailable: now < g.Order.UnavailableUntil}
}

// Refused records that the platform has no servers of the kind in the zone.
func (o *Order) Refused(now time.Duration) { o.UnavailableUntil, o.Failures = now+unavailablePause, 0 }
