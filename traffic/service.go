package traffic

import (
	"context"
	"net/http"

	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// ServiceRequest is a caller's request to a route of plain services.
type ServiceRequest struct {
	Origin
	Route string
	Key   string // idempotency key
	Call  Call
}

// Serve sends a request to a backend server of the route's service and returns its
// answer.
func (r *Router) Serve(ctx context.Context, s ServiceRequest) (Reply, error) {
	var reply Reply
	req := &request{Origin: s.Origin}
	err := r.run(ctx, req, func(ctx context.Context) (err error) {
		reply, err = r.serve(ctx, req, s)
		return err
	})
	return reply, err
}

func (r *Router) serve(ctx context.Context, req *request, s ServiceRequest) (Reply, error) {
	if err := r.admit(ctx, req); err != nil {
		return Reply{}, err
	}
	route, needsClaim, err := findRoute(req.plan, s.Route, s.Key)
	if err != nil {
		return Reply{}, err
	}
	class := s.Class
	if class == "" {
		class = route.Class
	}
	if err := req.classify(class); err != nil {
		return Reply{}, err
	}
	req.idempotent = route.Idempotent
	req.selectPool = func(p *plan.Plan) *plan.Pool { return p.Services[route.Service] }
	req.query.Zone = r.Zone
	r.retryBudgets.earn(req.class.Name)
	if s.Call.Header == nil {
		s.Call.Header = make(http.Header)
	}
	s.Call.Header.Set("X-Request-Id", s.ID)
	send := func(ctx context.Context) (Reply, error) { return r.sendService(ctx, req, s.Call) }
	if needsClaim {
		return r.sendClaimed(ctx, s, func(ctx context.Context) (Reply, error) {
			ctx, cancel := withoutCancel(ctx)
			defer cancel()
			return send(ctx)
		})
	}
	return send(ctx)
}

// findRoute returns the route and whether the request needs a claim. Before the first
// configuration, each service is reachable under its own name. Such a request is not
// retried after MayHaveRun. It needs a claim if it has an idempotency key, because
// its caller may then repeat it.
func findRoute(p *plan.Plan, name, key string) (route plan.RouteConfig, needsClaim bool, err error) {
	if route, ok := p.Routes[name]; ok {
		return route, !route.Idempotent, nil
	}
	if p.ConfigVersion == 0 && p.Services[name] != nil {
		return plan.RouteConfig{Service: name}, key != "", nil
	}
	return route, false, verdict.New(verdict.NotRun, verdict.ReasonUnknownRoute, "unknown route %q", name)
}

func (r *Router) sendService(ctx context.Context, req *request, call Call) (Reply, error) {
	var reply Reply
	err := r.sendWithRetries(ctx, req, func(ctx context.Context, b *plan.Backend) (err error) {
		reply, err = r.Sender.Send(ctx, b, call)
		return err
	})
	return reply, err
}
