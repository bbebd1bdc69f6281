// Package peer implements the gRPC calls between the system's own processes. It
// converts messages to and from typed values, and verdicts to and from status
// details. The package makes no decisions about the calls' contents.
package peer

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// StatusOf returns a gRPC status error that carries the verdict and reason of err.
func StatusOf(err error) error {
	if err == nil {
		return nil
	}
	reason := verdict.ReasonOf(err)
	s := status.New(codeOf(reason), verdict.Message(err))
	detailed, detailErr := s.WithDetails(&peerpb.RefusalDetail{
		Verdict: verdict.Of(err).String(),
		Reason:  string(reason),
	})
	if detailErr != nil {
		return s.Err()
	}
	return detailed.Err()
}

func codeOf(reason verdict.Reason) codes.Code {
	switch reason {
	case verdict.ReasonNotHolder:
		return codes.FailedPrecondition
	case verdict.ReasonUnauthenticated:
		return codes.Unauthenticated
	case verdict.ReasonForbidden:
		return codes.PermissionDenied
	case verdict.ReasonBadRequest:
		return codes.InvalidArgument
	case verdict.ReasonDeadline:
		return codes.DeadlineExceeded
	case verdict.ReasonCanceled:
		return codes.Canceled
	case verdict.ReasonOverload, verdict.ReasonRateLimited:
		return codes.ResourceExhausted
	case verdict.ReasonInternal:
		return codes.Internal
	default:
		return codes.Unavailable
	}
}

// ErrorOf returns the error that a peer encoded with StatusOf. A failure of the
// call itself has the verdict MayHaveRun, because the peer may have executed it.
func ErrorOf(err error) error {
	if err == nil {
		return nil
	}
	s := status.Convert(err)
	for _, d := range s.Details() {
		if detail, ok := d.(*peerpb.RefusalDetail); ok {
			return errorFromDetail(detail, s.Message())
		}
	}
	if s.Code() == codes.DeadlineExceeded {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, "peer did not answer before the deadline")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionLost, "call to peer failed")
}

func errorFromDetail(detail *peerpb.RefusalDetail, message string) error {
	v := verdict.MayHaveRun
	if err := v.UnmarshalText([]byte(detail.GetVerdict())); err != nil {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, verdict.Reason(detail.GetReason()), "%s", message)
}
