package forward

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/status"
)

// Explain returns what Forward or ForwardStream would do with a request that arrives now,
// without sending it. err is the refusal that it would get, if any. The random part of the
// scores is left out.
func (f *Forwarder) Explain(ctx context.Context, r *Request) (e status.RequestExplanation, err error) {
	plan, route, err := f.Route(r.Host, r.Path)
	if err != nil {
		return e, err
	}
	e = status.RequestExplanation{
		Route: route.Name, Kind: string(route.Kind), Organisation: r.Organisation, Priority: plan.priority(route, r.Organisation), Service: route.Service(r.ID),
	}
	end := requestDeadline(r, route)
	e.RemainingMS = status.Millis(time.Until(end))
	if route.Kind == desired.KindStream {
		return f.explainStream(ctx, plan, route, r, e)
	}
	c := newCall(f, r, route)
	ch := c.chooser("")
	best := ch.choose(plan, c.service)
	e.Servers, e.WaitMS = ch.explain(plan, c.service), millis(best.wait)
	if err := f.CheckStop(end); err != nil {
		return e, err
	}
	remaining := time.Until(f.beforeStop(end))
	e.RemainingMS = status.Millis(remaining)
	if err := c.checkQueue(best, remaining); err != nil {
		return e, err
	}
	if err := f.checkQuarantine(r); err != nil {
		return e, err
	}
	return e, c.checkAttempt(best, remaining)
}

// explainStream completes the explanation of a stream.
func (f *Forwarder) explainStream(ctx context.Context, plan *Plan, route *desired.Route, r *Request, e status.RequestExplanation) (status.RequestExplanation, error) {
	if err := f.checkQuarantine(r); err != nil {
		return e, err
	}
	end := requestDeadline(r, route)
	if err := f.CheckStop(end); err != nil {
		return e, err
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	s := &streamCall{f: f, r: r, route: route}
	if err := s.findOrigin(ctx); err != nil {
		return e, err
	}
	e.Service = s.id().Service
	best, ch := s.chooseWith(plan)
	e.Servers, e.WaitMS = ch.explain(plan, e.Service), millis(best.wait)
	return e, s.checkAttempt(best)
}

// Priority returns the priority of an organisation on a route: its own or, if it has none, that
// of the route.
func (f *Forwarder) Priority(route *desired.Route, organisation string) int {
	return f.Plans.Load().priority(route, organisation)
}

func (p *Plan) priority(route *desired.Route, organisation string) int {
	if p == nil {
		return route.Priority
	}
	if own, ok := p.Keys.Priority(organisation); ok {
		return own
	}
	return route.Priority
}

// explain describes the servers of a service in the order in which they would be chosen.
func (c *chooser) explain(p *Plan, service string) []status.ServerCandidate {
	ranking := *c
	ranking.random = func() float64 { return 0 }
	all := make([]status.ServerCandidate, 0, len(p.Services[service])+len(p.Leaving[service]))
	for _, rated := range ranking.rank(p, service) {
		all = append(all, c.describe(rated))
	}
	for _, t := range p.Leaving[service] {
		s := c.describe(rating{target: t, excluded: true})
		s.LeftOut = "leaving"
		all = append(all, s)
	}
	return all
}

func (c *chooser) describe(rated rating) status.ServerCandidate {
	t, e := rated.target, rated.estimate
	s := status.ServerCandidate{
		ID: t.ID, WaitMS: millis(rated.wait), Requests: e.requests, Slots: max(1, t.Slots), RequestLimit: t.Load.Limit(),
		RefusedUntilMS: millis(t.Load.refusedUntil(c.now)), Suspect: t.Suspect, Missing: t.Missing, Zone: t.Zone,
		Software: string(t.Software), Versions: t.Models,
	}
	switch {
	case t.Load.Leaving():
		s.LeftOut = "leaving"
		return s
	case rated.excluded:
		s.LeftOut = "not usable for this stream: software version"
		return s
	}
	s.ResponseMS, s.PermitWaitMS, s.ExpectedMS = millis(e.response), millis(e.permitWait), millis(e.total())
	switch {
	case rated.wait > 0 && s.RefusedUntilMS > 0:
		s.LeftOut = "full: refused a request"
	case rated.wait > 0:
		s.LeftOut = "full"
	default:
		s.ScoreMS = millis(rated.score)
	}
	return s
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
