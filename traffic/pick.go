package traffic

import (
	"context"
	"math/rand/v2"

	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// maxPickAttempts bounds the number of picks before each attempt. A pick is repeated if
// a concurrent request has taken the probe or the last training slot of the picked
// backend in the meantime.
const maxPickAttempts = 4

// pick chooses a backend from the newest plan and counts the request as sent to it.
func (r *Router) pick(ctx context.Context, req *request) (*plan.Backend, error) {
	if err := contextError(ctx); err != nil {
		return nil, err
	}
	if p := r.Plans.Load(); p != nil {
		req.plan = p
	}
	pool := req.selectPool(req.plan)
	if pool == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoBackend, "no backend server is available")
	}
	for range maxPickAttempts {
		req.query.Random = rand.Uint64()
		b := req.plan.Pick(pool, &req.query)
		if b == nil {
			break
		}
		if err := r.checkWait(ctx, req, b); err != nil {
			return nil, err
		}
		if req.plan.Begin(b, &req.query) {
			return b, nil
		}
	}
	return nil, req.noBackendError()
}

// noBackendError returns the refusal of a request that no backend may take.
func (q *request) noBackendError() error {
	switch {
	case q.query.OnlyVersion != 0:
		return verdict.New(verdict.NotRun, verdict.ReasonVersionChanged, "no eligible backend server has weight version %d", q.query.OnlyVersion)
	case q.query.Training:
		return verdict.New(verdict.NotRun, verdict.ReasonOverload, "no eligible backend server has a free training slot for the class")
	default:
		return verdict.New(verdict.NotRun, verdict.ReasonNoBackend, "no eligible backend server is available")
	}
}
