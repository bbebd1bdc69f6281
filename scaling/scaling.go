// Package scaling decides how many backend servers of a service are ordered from a platform,
// by availability zone and kind. It does no I/O and reads no clock.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/desired"
)

// Need is the demand for the servers of a service.
type Need struct {
	Peak   float64 // slots for all work to run at once
	Direct float64 // the part of it that is not items
	// Pressure is the time that steps take until they are ready, as a share of the completion
	// target, of the model that is the furthest behind. It is 0 if unknown.
	Pressure float64
	Step     time.Duration // longest time of a step
	Shown    bool          // there has been some demand
}

// Supply is the state of one kind of servers of a service in a zone.
type Supply struct {
	Present     int  // servers that do not leave
	InForce     int  // number that was ordered last, or Present before the first order
	Unavailable bool // the platform has none to offer at the moment
}

// Zone is the state of a service in an availability zone.
type Zone struct {
	Name           string
	Price          float64 // of an ordinary server
	Ordinary, Spot Supply
}

// Target is the wanted number of servers in a zone.
type Target struct{ Ordinary, Spot int }

// Input is what a plan is made from.
type Input struct {
	Bounds desired.Scaling
	Due    int // servers that work with a due time needs
	Total  int // servers that all work needs, at least Due
	Others int // servers in zones that the bounds do not name
	Zones  []Zone
}

func servers(slots float64, perServer int) int {
	n := math.Ceil(slots / float64(max(1, perServer)))
	return int(max(0, min(n, math.MaxInt32))) // 0 if slots is not a number
}

// Plan returns the wanted number of servers by zone name. Ordinary servers cover the work with
// a due time, because the platform may reclaim all spot servers at once and have no others for
// longer than a step may take. Spot servers cover a part of the rest.
func Plan(in Input) map[string]Target {
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name)) })
	targets := make([]Target, len(zones))
	spot := max(0, min(in.Total-in.Due, int(maxSpotShare*float64(in.Total))))
	if len(zones) == 1 { // a single zone may lose all its spot servers
		spot = 0
	}
	planSpot(&in, zones, targets, spot)
	planOrdinary(&in, zones, targets)
	byName := make(map[string]Target, len(zones))
	for i, z := range zones {
		byName[z.Name] = targets[i]
	}
	return byName
}

// offered returns the servers that a target stands for: those that are present if the platform
// has no others.
func offered(s Supply, target int) int {
	if s.Unavailable {
		return min(s.Present, target)
	}
	return target
}

// planSpot distributes spot servers evenly, first over the cheapest zones.
func planSpot(in *Input, zones []Zone, targets []Target, number int) {
	for i, z := range zones {
		if z.Spot.Unavailable { // those that are present stay
			targets[i].Spot = min(z.Spot.Present, number)
			number -= targets[i].Spot
		}
	}
	for level := 1; number > 0 && level <= in.Bounds.Max; level++ {
		for i, z := range zones {
			if number > 0 && !z.Spot.Unavailable && max(in.Bounds.Min, z.Ordinary.InForce)+targets[i].Spot < in.Bounds.Max {
				targets[i].Spot++
				number--
			}
		}
	}
}

// planOrdinary keeps the ordinary servers in force and adds or removes what differs from the
// wanted number. Added servers go to the zones with the fewest, so that the loss of one zone
// costs the least, and those with the most are reduced first.
func planOrdinary(in *Input, zones []Zone, targets []Target) {
	missing := in.Total - in.Others
	for i, z := range zones {
		targets[i].Ordinary = z.Ordinary.InForce
		if !z.Ordinary.Unavailable {
			targets[i].Ordinary = max(in.Bounds.Min, targets[i].Ordinary)
		}
		targets[i].Ordinary = min(targets[i].Ordinary, in.Bounds.Max)
		missing -= offered(z.Ordinary, targets[i].Ordinary) + offered(z.Spot, targets[i].Spot)
	}
	for level := 1; missing > 0 && level <= in.Bounds.Max; level++ {
		for i, z := range zones {
			// The platform may keep an order of spot servers that it cannot provide now.
			spot := max(z.Spot.InForce, targets[i].Spot)
			if missing > 0 && !z.Ordinary.Unavailable && targets[i].Ordinary < level && targets[i].Ordinary+spot < in.Bounds.Max {
				targets[i].Ordinary++
				missing--
			}
		}
	}
	for level := in.Bounds.Max; missing < 0 && level > in.Bounds.Min; level-- {
		for i := len(zones) - 1; i >= 0; i-- {
			if missing < 0 && !zones[i].Ordinary.Unavailable && targets[i].Ordinary == level {
				targets[i].Ordinary--
				missing++
			}
		}
	}
}
