package traffic

import (
	"context"

	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Router routes requests by the newest plan.
type Router struct {
	Plans  *plan.Cell
	Sender *Sender
}

// Serve sends a call to a server of the route's service.
func (r *Router) Serve(ctx context.Context, route string, call Call) (Reply, error) {
	p := r.Plans.Load()
	if p == nil {
		return Reply{}, verdict.New(verdict.NotRun, verdict.ReasonConfigUnconfirmed, "no routing plan yet")
	}
	pool := p.Services[route]
	if pool == nil {
		return Reply{}, verdict.New(verdict.NotRun, verdict.ReasonUnknownRoute, "unknown route %q", route)
	}
	return r.Sender.Send(ctx, *p.Pick(pool, &plan.Query{}), call)
}
