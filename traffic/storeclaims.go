package traffic

import (
	"context"
	"net/http"

	"github.com/lavenderstand/lavenderstand/claim"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const headerContentType = "Content-Type"

// StoreClaimer is a Claimer over the table service.
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

// storedOutcome replays a stored answer. An answer whose body was too large to
// keep cannot be replayed whole, so the claim counts as open.
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

// finishFunc returns the Finish of a claim. After MayHaveRun the row stays as it
// is: nobody may send the request again.
func (s StoreClaimer) finishFunc(held claim.Handle) func(context.Context, verdict.Verdict, Reply) error {
	return func(ctx context.Context, v verdict.Verdict, reply Reply) error {
		switch v {
		case verdict.NotRun:
			return s.Store.Release(ctx, held)
		case verdict.Ran:
			return s.Store.Finish(ctx, held, claim.Outcome{
				StatusCode: reply.Status, ContentType: reply.Header.Get(headerContentType), Body: reply.Body,
			})
		default:
			return nil
		}
	}
}
