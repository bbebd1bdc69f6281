package event

import "github.com/lavenderstand/lavenderstand/scaling"

// OrdersRead holds the stored orders of servers.
type OrdersRead struct {
	Fence      uint64 // as in the command
	Orders     []scaling.Stored
	Unreadable int // rows that are not valid
	Failure    *Failure
}

// ServersOrdered is the outcome of command.OrderServers.
type ServersOrdered struct {
	Fence   uint64
	Key     string
	Version uint64 // of the stored order, 0 if it was not stored
	Failure *Failure
}

// Name implements Event.
func (OrdersRead) Name() string { return "orders_read" }

// Name implements Event.
func (ServersOrdered) Name() string { return "servers_ordered" }
