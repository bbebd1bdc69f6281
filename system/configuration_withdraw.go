package system

import (
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/table"
)

// withdrawOnAllHosts withdraws a prepared change that was definitely not
// accepted. Otherwise a change that is refused at the start of a store outage
// would leave its version pending on a majority of hosts, and all of them would
// stop serving although the configuration cannot have changed.
func withdrawOnAllHosts(t *table.Tables, id string, change *table.ConfigChange, out *command.Outbox) {
	if change.Acknowledged == nil { // never prepared
		return
	}
	withdraw(t, id)
	for _, h := range t.Hosts.All() {
		if isPeer(t, h) {
			out.Add(command.WithdrawHost{Change: id, Address: h.Address})
		}
	}
}

// withdraw removes one prepared change. Other changes to the same version remain
// pending. A withdrawal that arrives before its prepare request has no effect.
func withdraw(t *table.Tables, change string) {
	c := &t.Config
	if _, found := c.Prepared[change]; !found {
		return
	}
	delete(c.Prepared, change)
	c.Pending = 0
	for _, version := range c.Prepared {
		c.Pending = max(c.Pending, version)
	}
	if c.Pending <= c.Version {
		clearPending(c)
	}
}

func clearPending(c *table.Config) { c.Pending, c.Prepared = 0, nil }
