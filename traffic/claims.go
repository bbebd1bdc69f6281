package traffic

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// ClaimState is what a claim attempt found.
type ClaimState uint8

// States of a claim.
const (
	// ClaimCreated means that this request holds the claim and may be sent.
	ClaimCreated ClaimState = iota + 1
	// ClaimFinished means that an earlier request with the key has an answer.
	ClaimFinished
	// ClaimInProgress means that an earlier request with the key has no known outcome.
	ClaimInProgress
	// ClaimKeyReused means that the key was used for a different request.
	ClaimKeyReused
)

// ClaimOutcome is the result of Claimer.Claim.
type ClaimOutcome struct {
	State  ClaimState
	Stored Reply // with ClaimFinished
	// Finish, set with ClaimCreated, records the outcome, best effort. With
	// verdict.NotRun the claim may be released, so that the caller can repeat
	// the request with its key.
	Finish func(ctx context.Context, v verdict.Verdict, reply Reply) error
}

// Claimer records which non-idempotent requests were sent.
type Claimer interface {
	// Claim creates the claim of a request before it is sent. An error means
	// that it is unknown whether the claim exists; nothing may be sent then.
	Claim(ctx context.Context, caller, route, key, hash string) (ClaimOutcome, error)
}

// finishTimeout bounds the best effort to record an outcome.
const finishTimeout = 5 * time.Second

// requestHash identifies the content of a request, to detect a key that is used twice.
func requestHash(call Call) string {
	d := xxhash.New()
	for _, part := range []string{call.Method, call.Path, string(call.Body)} {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return strconv.FormatUint(d.Sum64(), 16)
}

// sendClaimed runs send under a claim: at most one request with the same caller,
// route and key ever gets as far as sending.
func (r *Router) sendClaimed(ctx context.Context, s ServiceRequest, send func(context.Context) (Reply, error)) (Reply, error) {
	if s.Key == "" {
		return Reply{}, verdict.New(verdict.NotRun, verdict.ReasonMissingKey, "route %q requires an Idempotency-Key header", s.Route)
	}
	if r.Claims == nil {
		return Reply{}, verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "no claim store is connected")
	}
	outcome, err := r.Claims.Claim(ctx, s.Caller, s.Route, s.Key, requestHash(s.Call))
	if err != nil {
		return Reply{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonStoreUnavailable, "claim the request")
	}
	switch outcome.State {
	case ClaimFinished:
		return outcome.Stored, nil
	case ClaimKeyReused:
		return Reply{}, verdict.New(verdict.NotRun, verdict.ReasonConflict, "the key was used for a different request")
	case ClaimInProgress:
		return Reply{}, verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "a request with this key was sent before")
	case ClaimCreated:
	default:
		return Reply{}, verdict.New(verdict.NotRun, verdict.ReasonInternal, "unknown claim state %d", outcome.State)
	}
	reply, err := send(ctx)
	r.finishClaim(ctx, outcome, reply, err)
	return reply, err
}

// finishClaim does not delay the answer.
func (r *Router) finishClaim(ctx context.Context, claim ClaimOutcome, reply Reply, err error) {
	r.InFlight.Hold()
	go func() {
		defer r.InFlight.Leave()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
		defer cancel()
		_ = claim.Finish(ctx, verdict.Of(err), reply)
	}()
}

// withoutCancel keeps the deadline of ctx but not its cancellation: when a caller
// hangs up, its claimed request still ends with a recorded outcome.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(context.WithoutCancel(ctx), deadline)
	}
	return context.WithCancel(context.WithoutCancel(ctx))
}
