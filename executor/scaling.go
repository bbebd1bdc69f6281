package executor

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/scaling"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// ScalingPlatform is the client interface to the platform's API that Scaling needs.
type ScalingPlatform interface {
	OrderServers(ctx context.Context, fence uint64, service, zone string, servers int, spot bool) error
}

// Scaling executes the commands of the host that orders servers from the platform.
type Scaling struct {
	Store    store.Client
	Platform func() ScalingPlatform // as the present settings state
	Now      func() time.Duration   // clock of ValidUntil of the commands
}

// Order executes command.OrderServers.
func (s *Scaling) Order(ctx context.Context, c command.OrderServers) event.Event {
	e := event.ServersOrdered{Fence: c.Order.Fence, Key: c.Key}
	err := s.checkLease(c.ValidUntil)
	if err == nil {
		e.Version, err = scaling.Write(ctx, s.Store, c.Order)
	}
	if err == nil {
		err = s.checkLease(c.ValidUntil)
	}
	if err == nil {
		limit := min(dutyTimeout, c.ValidUntil+maxDutyInFlight-s.Now())
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		err = s.Platform().OrderServers(callCtx, c.Order.Fence, c.Order.Service, c.Order.Zone, c.Order.Number, c.Order.Spot)
	}
	e.Failure = event.FailureOf(err)
	return e
}

// checkLease returns an error if the order lease is no longer valid.
func (s *Scaling) checkLease(validUntil time.Duration) error {
	if s.Now() >= validUntil {
		return verdict.New(verdict.NotRun, verdict.ReasonNotHolder, "the order lease expired before the order was sent")
	}
	return nil
}

// Read executes command.ReadOrders.
func (s *Scaling) Read(ctx context.Context, c command.ReadOrders) event.Event {
	orders, unreadable, err := scaling.Read(ctx, s.Store)
	return event.OrdersRead{Fence: c.Fence, Orders: orders, Unreadable: unreadable, Failure: event.FailureOf(err)}
}
