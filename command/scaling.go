package command

import (
	"time"

	"github.com/lavenderstand/lavenderstand/scaling"
)

// ReadOrders reads the stored orders of servers. Fence is returned in the event.
type ReadOrders struct{ Fence uint64 }

// OrderServers stores an order of servers and sends it to the platform. It is not sent if the
// row does not have the version of the order, or if ValidUntil, a monotonic offset, has passed
// just before.
type OrderServers struct {
	Key        string
	Order      scaling.Stored
	ValidUntil time.Duration
}

// Name implements Command.
func (ReadOrders) Name() string { return "read_orders" }

// Name implements Command.
func (OrderServers) Name() string { return "order_servers" }
