package forward

import (
	"github.com/lavenderstand/lavenderstand/accesskey"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Caller is what this host knows about the sender of a call, as of the plan that was current
// when the call arrived.
type Caller struct {
	// Identified is set if the desired state has organisations. Backend servers then get
	// Organisation in place of the identity headers of the caller.
	Identified   bool
	Organisation string // empty if the caller sent no key that an organisation holds
	refusal      error  // of calls that need a key, nil if they are allowed
}

// Caller returns the sender of a call with the given values of the key header.
func (f *Forwarder) Caller(keys []string) Caller { return f.callerOf(f.Plans.Load(), keys) }

// callerOf returns the caller according to a plan. While the keys are overdue, calls that need
// a key are refused as not ready: their key may have been removed or added.
func (f *Forwarder) callerOf(p *Plan, keys []string) Caller {
	c := p.caller(keys)
	if _, ok := accesskey.Single(keys); ok && c.Identified && f.KeysOverdue != nil && f.KeysOverdue() {
		c.refusal = verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this host was suspended and has not read the desired state since")
	}
	return c
}

func (p *Plan) caller(keys []string) Caller {
	if p == nil || p.Desired == nil {
		return Caller{refusal: notReady()}
	}
	if p.Keys == nil {
		return Caller{}
	}
	key, ok := accesskey.Single(keys)
	if !ok {
		return Caller{Identified: true, refusal: verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "the request does not contain exactly one well-formed key")}
	}
	organisation, ok := p.Keys.Organisation(key)
	if !ok {
		return Caller{Identified: true, refusal: verdict.New(verdict.NotRun, verdict.ReasonUnauthenticated, "no organisation holds the key of the request")}
	}
	return Caller{Identified: true, Organisation: organisation}
}

// Admit returns the route and the caller of a request. The error has the verdict not run and
// the reason unknown_route, not_ready or unauthenticated.
func (f *Forwarder) Admit(host, path string, keys []string) (*desired.Route, Caller, error) {
	plan, route, err := f.Route(host, path)
	if err != nil {
		return nil, Caller{}, err
	}
	c := f.callerOf(plan, keys)
	if c.refusal != nil && !route.Public {
		return nil, Caller{}, c.refusal
	}
	return route, c, nil
}

// CheckLot returns an error unless the caller may access a lot of an organisation, which is
// empty for lots that any caller may access. To callers of other organisations the lot seems
// not to exist.
func (c Caller) CheckLot(id, organisation string) error {
	switch {
	case organisation == "":
		return nil
	case c.refusal != nil:
		return c.refusal
	case c.Identified && c.Organisation != organisation:
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownLot, "lot %q belongs to another organisation", id)
	}
	return nil
}

// HideLot returns the answer to a call about a lot that does not exist. A caller without a
// valid key does not learn from it which lots exist.
func (c Caller) HideLot(err error) error {
	if verdict.ReasonOf(err) == verdict.ReasonUnknownLot && verdict.ReasonOf(c.refusal) == verdict.ReasonUnauthenticated {
		return c.refusal
	}
	return err
}
