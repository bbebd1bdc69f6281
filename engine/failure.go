package engine

import (
	"context"
	"errors"

	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// roundTripError adds a verdict to an error of the HTTP client: NotRun if nothing was
// sent, otherwise MayHaveRun.
func roundTripError(trace *transport.Trace, err error) error {
	v, reason := verdict.MayHaveRun, verdict.ReasonConnectionLost
	if trace.NothingSent() {
		v, reason = verdict.NotRun, verdict.ReasonConnectFailed
	}
	return verdict.Wrap(err, v, contextReason(err, reason), "call backend server")
}

// contextReason returns the reason that corresponds to err if err comes from an ended
// context, otherwise fallback.
func contextReason(err error, fallback verdict.Reason) verdict.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return verdict.ReasonDeadline
	case errors.Is(err, context.Canceled):
		return verdict.ReasonCanceled
	default:
		return fallback
	}
}
