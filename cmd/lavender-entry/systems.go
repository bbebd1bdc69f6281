package main

import (
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/system"
)

// systems returns the systems of an entry host in their order: what is known
// about backend servers first, the plan that rests on it last.
func systems(t settings.Timing) []system.Named {
	return []system.Named{
		{Name: "membership", Run: system.Membership(seconds(t.HostListSeconds))},
		{Name: "load", Run: system.Load(seconds(t.StateReportSeconds))},
		{Name: "departure", Run: system.Departure()},
		{Name: "ejection", Run: system.Ejection()},
		{Name: "classes", Run: system.Classes()},
		{Name: "prefixes", Run: system.Prefixes()},
		{Name: "drain", Run: system.Drain(seconds(t.DrainDelaySeconds))},
		{Name: "routing", Run: system.Routing(system.RoutingOptions{})},
	}
}
