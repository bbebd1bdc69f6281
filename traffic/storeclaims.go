package traffic

import (
	"context"
	"net/http"

	"github.com/lavenderstand/lavenderstand/claim"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const headerContentType = "Content-Type"

// StoreClaimer is a Claimer that keeps claims in the table service.
type StoreClaimer struct{ Store *claim.Store }

// Claim implements Claimer.
func (s StoreClaimer) Claim(ctx context.Context, caller, route, key, hash string) (ClaimOutcome, error) {
	result, err := s.Store.Claim(ctx, caller, route, key, hash)
	if err != nil {
		return ClaimOutcome{}, err
	}
	switch result.Status {
	case claim.Claimed:
		return ClaimOutcome{State: ClaimCreated, Finish: s.finishFunc(result.Handle)}, nil
	case claim.Finished:
		return storedOutcome(result.Outcome), nil
	case claim.KeyReused:
		return ClaimOutcome{State: ClaimKeyReused}, nil
	default:
		return ClaimOutcome{State: ClaimInProgress}, nil
	}
}

// storedOutcome returns the outcome that replays a stored answer. An answer whose body
// was too large to store cannot be replayed, so its claim counts as in progress.
func storedOutcome(o claim.Outcome) ClaimOutcome {
	if o.BodyOmitted {
		return ClaimOutcome{State: ClaimInProgress}
	}
	header := make(http.Header)
	if o.ContentType != "" {
		header.Set(headerContentType, o.ContentType)
	}
	return ClaimOutcome{State: ClaimFinished, Stored: Reply{Status: o.StatusCode, Header: header, Body: o.Body}}
}

// finishFunc returns the Finish function of a claim. After MayHaveRun that function
// leaves the claim row as it is, so that the request is not sent again.
func (s StoreClaimer) finishFunc(handle claim.Handle) func(context.Context, verdict.Verdict, Reply) error {
	return func(ctx context.Context, v verdict.Verdict, reply Reply) error {
		switch v {
		case verdict.NotRun:
			return s.Store.Release(ctx, handle)
		case verdict.Ran:
			return s.Store.Finish(ctx, handle, claim.Outcome{
				StatusCode: reply.Status, ContentType: reply.Header.Get(headerContentType), Body: reply.Body,
			})
		default:
			return nil
		}
	}
}
