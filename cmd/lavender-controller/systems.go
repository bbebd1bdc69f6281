package main

import (
	"time"

	"github.com/lavenderstand/lavenderstand/daemon"
	"github.com/lavenderstand/lavenderstand/system"
)

// claimSweepInterval is the interval between two removals of expired claims. It is short
// compared with the retention of claims, which is 24 h.
const claimSweepInterval = time.Hour

// loadReportIntervals is the interval between two load reports of a backend server, in
// intervals of an entry host. A controller polls less often, because it uses load reports
// for weight rollouts only and polls take most of its processor time.
const loadReportIntervals = 2

// systems returns the systems of a controller in the order in which they run. The leases
// system is first, so that it detects an expired lease before any other decision of the tick.
func (c *controller) systems() []system.Named {
	t := c.Settings.Timing
	controllerSystems := system.ControllerSystems(system.LeaseOptions{
		Partitions:    c.Settings.Training.Partitions,
		TTL:           daemon.Seconds(t.LeaseSeconds),
		Margin:        daemon.Seconds(t.LeaseMarginSeconds),
		OrderValidity: daemon.Seconds(t.OrderSeconds),
	})
	shared := []system.Named{
		{Name: "hosts", Run: system.Hosts(daemon.Seconds(t.HostRowSeconds))},
		{Name: "configuration", Run: system.Configuration(system.ConfigTiming{
			PollInterval:  daemon.Seconds(t.ConfigPollSeconds),
			ConfirmWithin: daemon.Seconds(t.ConfigConfirmSeconds),
			ContactAfter:  daemon.Seconds(t.ContactAfterSeconds),
		})},
		{Name: "membership", Run: system.Membership(daemon.Seconds(t.HostListSeconds))},
		{Name: "load", Run: system.LoadReports(loadReportIntervals * daemon.Seconds(t.StateReportSeconds))},
		{Name: "departure", Run: system.Departure()},
	}
	systems := []system.Named{controllerSystems[0]}
	systems = append(systems, shared...)
	systems = append(systems, controllerSystems[1:]...)
	return append(systems, system.Named{Name: "claims", Run: system.ClaimExpiry(claimSweepInterval)})
}
