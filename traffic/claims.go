package traffic

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// ClaimState is the result of an attempt to claim a request.
type ClaimState uint8

// States of a claim.
const (
	// ClaimCreated means that this request holds the claim and may be sent.
	ClaimCreated ClaimState = iota + 1
	// ClaimFinished means that the answer to an earlier request with the key is
	// stored.
	ClaimFinished
	// ClaimInProgress means that an earlier request with the key has no known outcome.
	ClaimInProgress
	// ClaimKeyReused means that the key was used for a different request.
	ClaimKeyReused
)

// ClaimOutcome is the result of Claimer.Claim.
type ClaimOutcome struct {
	State  ClaimState
	Stored Reply // set if State is ClaimFinished
	// Finish records the outcome of the request on a best-effort basis. It is set
	// if State is ClaimCreated. With verdict.NotRun it may release the claim, so
	// that the caller can repeat the request with the same key.
	Finish func(ctx context.Context, v verdict.Verdict, reply Reply) error
}

// Claimer records which non-idempotent requests may have been sent.
type Claimer interface {
	// Claim creates the claim of a request before it is sent. After an error it is
	// not known whether the claim exists, and the request must not be sent.
	Claim(ctx context.Context, caller, route, key, hash string) (ClaimOutcome, error)
}

// finishTimeout bounds the best-effort attempt to record an outcome.
const finishTimeout = 5 * time.Second

// requestHash returns a hash of the content of a request. It serves to detect a key that
// is reused for a different request.
func requestHash(call Call) string {
	d := xxhash.New()
	for _, part := range []string{call.Method, call.Path, string(call.Body)} {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return strconv.FormatUint(d.Sum64(), 16)
}

// sendClaimed calls send only if this request obtains the claim for its caller, route
// and key. At most one request holds the claim at a time.
func (r *Router) sendClaimed(ctx context.Context, s ServiceRequest, send func(context.Context) (Reply, error)) (Reply, error) {
	if s.Key == "" {
		return Reply{}, verdict.New(verdict.NotRun, verdict.ReasonMissingKey, "route %q requires an Idempotency-Key header", s.Route)
	}
	if r.Claims == nil {
		return Reply{}, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "no claim store is configured")
	}
	outcome, err := r.Claims.Claim(ctx, s.Caller, s.Route, s.Key, requestHash(s.Call))
	if err != nil {
		return Reply{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonStoreUnavailable, "create claim for request")
	}
	switch outcome.State {
	case ClaimFinished:
		return outcome.Stored, nil
	case ClaimKeyReused:
		return Reply{}, verdict.New(verdict.NotRun, verdict.ReasonConflict, "the idempotency key was already used for a different request")
	case ClaimInProgress:
		return Reply{}, verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "an earlier request with this idempotency key may have run")
	case ClaimCreated:
	default:
		return Reply{}, verdict.New(verdict.NotRun, verdict.ReasonInternal, "unknown claim state %d", outcome.State)
	}
	reply, err := send(ctx)
	r.finishClaim(ctx, outcome, reply, err)
	return reply, err
}

// finishClaim records the outcome in the background, so that it does not delay the
// answer.
func (r *Router) finishClaim(ctx context.Context, claim ClaimOutcome, reply Reply, err error) {
	r.InFlight.Hold()
	go func() {
		defer r.InFlight.Leave()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
		defer cancel()
		_ = claim.Finish(ctx, verdict.Of(err), reply)
	}()
}

// withoutCancel returns a context that keeps the deadline of ctx but not its
// cancellation, so that the outcome of a claimed request is recorded even if its
// caller disconnects.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(context.WithoutCancel(ctx), deadline)
	}
	return context.WithCancel(context.WithoutCancel(ctx))
}
