package main

import (
	"github.com/lavenderstand/lavenderstand/daemon"
	"github.com/lavenderstand/lavenderstand/system"
)

// systems returns the systems of an entry host in the order in which they run: the systems
// that update the state of hosts and backend servers come before those that plan with it.
func (e *entry) systems() []system.Named {
	t := e.Settings.Timing
	confirm := daemon.Seconds(t.ConfigConfirmSeconds)
	return []system.Named{
		{Name: "hosts", Run: system.Hosts(daemon.Seconds(t.HostRowSeconds))},
		{Name: "configuration", Run: system.Configuration(system.ConfigTiming{
			PollInterval: daemon.Seconds(t.ConfigPollSeconds), ConfirmWithin: confirm,
			ContactAfter: daemon.Seconds(t.ContactAfterSeconds),
		})},
		{Name: "membership", Run: system.Membership(daemon.Seconds(t.HostListSeconds))},
		{Name: "load", Run: system.LoadReports(daemon.Seconds(t.StateReportSeconds))},
		{Name: "departure", Run: system.Departure()},
		{Name: "ejection", Run: system.Ejection()},
		{Name: "classes", Run: system.Classes()},
		{Name: "prefixes", Run: system.Prefixes()},
		{Name: "drain", Run: system.Drain(daemon.Seconds(t.DrainDelaySeconds))},
		{Name: "routing", Run: system.Routing(system.RoutingOptions{ConfirmWithin: confirm})},
		{Name: "status", Run: system.Status(statusInterval)},
	}
}
