// Package scaling decides how many backend servers of a service are ordered from a platform,
// by availability zone and kind. It does no I/O and reads no clock.
package scaling

import (
	"cmp"
	"math"
	"slices"

	"github.com/lavenderstand/lavenderstand/desired"
)

// baseTolerance is the share by which the base may differ from the ordinary servers in force.
const baseTolerance = 0.25

// Need is the demand for the slots of a service.
type Need struct {
	Peak  float64 // slots for all work to run at once
	Base  float64 // slots in use most of the time
	Shown bool    // there has been some demand
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
	Need   Need
	Slots  int // of one server
	Others int // servers in zones that the bounds do not name
	Zones  []Zone
}

// Servers returns the number of servers that the peak needs.
func (in *Input) Servers() int { return servers(in.Need.Peak, in.Slots) }

func servers(slots float64, perServer int) int {
	n := math.Ceil(slots / float64(max(1, perServer)))
	return int(max(0, min(n, math.MaxInt32))) // 0 if slots is not a number
}

// Plan returns the wanted number of servers by zone name. Ordinary servers cover the base and
// spot servers the rest, with enough of them in several zones that the peak can still be
// served when the platform reclaims those of one zone. Where no spot servers are to be had,
// ordinary ones replace them.
func Plan(in Input) map[string]Target {
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name)) })
	targets := make([]Target, len(zones))
	needed := max(0, in.Servers()-in.Others)
	planBase(&in, zones, targets, min(needed, servers(in.Need.Base, in.Slots)))
	planSpot(&in, zones, targets, needed)
	planReplacements(&in, zones, targets, needed)
	byName := make(map[string]Target, len(zones))
	for i, z := range zones {
		byName[z.Name] = targets[i]
	}
	return byName
}

// planBase changes the ordinary servers in force only if the base differs clearly, because it
// is a mean that varies. More are ordered in the cheapest zones up to twice the even share,
// fewer in the dearest ones. Zones that are full of spot servers are left as they are, because
// exchanging these would cost capacity for the time of a start.
func planBase(in *Input, zones []Zone, targets []Target, base int) {
	total := 0
	for i, z := range zones {
		targets[i].Ordinary = z.Ordinary.InForce
		if !z.Ordinary.Unavailable {
			targets[i].Ordinary = max(in.Bounds.Min, targets[i].Ordinary)
		}
		total += offered(z.Ordinary, targets[i].Ordinary)
	}
	share := (2*base + len(zones) - 1) / max(1, len(zones))
	if more := base - total; float64(more) > baseTolerance*float64(total) {
		for i, z := range zones {
			if n := min(more, share-targets[i].Ordinary, in.Bounds.Max-z.Spot.InForce-targets[i].Ordinary); n > 0 && !z.Ordinary.Unavailable {
				targets[i].Ordinary += n
				more -= n
			}
		}
	}
	if fewer := total - base; float64(fewer) > baseTolerance*float64(total) {
		for i := len(zones) - 1; i >= 0; i-- {
			n := max(0, min(fewer, targets[i].Ordinary-in.Bounds.Min))
			targets[i].Ordinary -= n
			fewer -= n
		}
	}
	for i := range targets { // the first order may be asked to confirm more than the maximum
		targets[i].Ordinary = min(targets[i].Ordinary, in.Bounds.Max)
	}
}

// offered returns the servers that a target stands for: those that are present if the platform
// has no others.
func offered(s Supply, target int) int {
	if s.Unavailable {
		return min(s.Present, target)
	}
	return target
}

// planSpot distributes spot servers evenly over the cheapest zones: as many zones as cost
// least, and at least half of all, so that no zone has more than twice the even share.
func planSpot(in *Input, zones []Zone, targets []Target, needed int) {
	var open []int // indexes of the zones with spot servers on offer
	for i, z := range zones {
		needed -= offered(z.Ordinary, targets[i].Ordinary)
		if z.Spot.Unavailable {
			targets[i].Spot = min(z.Spot.InForce, in.Bounds.Max-targets[i].Ordinary)
			needed -= offered(z.Spot, targets[i].Spot)
			continue
		}
		open = append(open, i)
	}
	if needed <= 0 || len(open) == 0 || len(zones) == 1 { // a single zone may lose all its spot servers
		return
	}
	room := func(i int) int {
		return max(0, in.Bounds.Max-max(targets[i].Ordinary, zones[i].Ordinary.InForce))
	}
	var best []int
	bestCost := math.Inf(1)
	for k := min(len(open), max(2, (len(zones)+1)/2)); k <= len(open); k++ {
		counts, enough := spread(open[:k], room, needed)
		cost := 0.0
		for j, n := range counts {
			cost += float64(n) * zones[open[j]].Price
		}
		if !enough && k < len(open) {
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = counts, cost
		}
	}
	for j, n := range best {
		targets[open[j]].Spot = n
	}
}

// spread returns the smallest even numbers of servers with which enough remain after the loss
// of any one of the zones. If there are none, it returns as many as are of use.
func spread(zones []int, room func(int) int, needed int) (counts []int, enough bool) {
	counts = make([]int, len(zones))
	full := 0
	for _, i := range zones {
		full = max(full, room(i))
	}
	for level := 1; level <= min(needed, full); level++ {
		sum, most := 0, 0
		for j, i := range zones {
			counts[j] = min(level, room(i))
			sum += counts[j]
			most = max(most, counts[j])
		}
		if sum-most >= needed {
			return counts, true
		}
	}
	return counts, false
}

// planReplacements adds ordinary servers where the platform has too few spot servers to offer.
func planReplacements(in *Input, zones []Zone, targets []Target, needed int) {
	for i, z := range zones {
		needed -= offered(z.Ordinary, targets[i].Ordinary) + offered(z.Spot, targets[i].Spot)
	}
	for level := 1; needed > 0 && level <= in.Bounds.Max; level++ {
		for i, z := range zones {
			// The platform may keep an order of spot servers that it cannot provide now.
			spot := max(z.Spot.InForce, targets[i].Spot)
			if needed > 0 && !z.Ordinary.Unavailable && targets[i].Ordinary < level && targets[i].Ordinary+spot < in.Bounds.Max {
				targets[i].Ordinary++
				needed--
			}
		}
	}
}
