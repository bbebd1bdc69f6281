package verdict

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

// Reason is the machine-readable cause of a refusal, a failure or a retry. It is also
// the value of the "reason" label of the counters.
type Reason string

// Reasons of errors on the request path.
const (
	ReasonBadRequest        Reason = "bad_request"
	ReasonUnauthenticated   Reason = "unauthenticated"
	ReasonForbidden         Reason = "forbidden"
	ReasonUnknownRoute      Reason = "unknown_route"
	ReasonUnknownClass      Reason = "unknown_class"
	ReasonUnknownModel      Reason = "unknown_model"
	ReasonBodyTooLarge      Reason = "body_too_large"
	ReasonHeaderTooLarge    Reason = "header_too_large"
	ReasonRateLimited       Reason = "rate_limited"
	ReasonOverload          Reason = "overload"
	ReasonNoBackend         Reason = "no_backend"
	ReasonDraining          Reason = "draining"
	ReasonConfigUnconfirmed Reason = "config_unconfirmed"
	ReasonDeadline          Reason = "deadline_exceeded"
	ReasonCanceled          Reason = "canceled"
	ReasonDuplicateRequest  Reason = "duplicate_request"
	ReasonMissingKey        Reason = "missing_idempotency_key"
	ReasonStoreUnavailable  Reason = "store_unavailable"
	ReasonConnectFailed     Reason = "connect_failed"
	ReasonConnectionLost    Reason = "connection_lost"
	ReasonBackendRefused    Reason = "backend_refused"
	ReasonBackendLeaving    Reason = "backend_leaving"
	ReasonBackendFailed     Reason = "backend_failed"
	ReasonBadAnswer         Reason = "bad_answer"
	ReasonUnexpectedStatus  Reason = "unexpected_status" // the status of an answer says nothing about the request
	ReasonTruncatedAnswer   Reason = "truncated_answer"
	ReasonForeignAnswer     Reason = "foreign_answer"
	ReasonVersionChanged    Reason = "version_changed"
	ReasonRetryBudget       Reason = "retry_budget_exhausted"
	ReasonNotHolder         Reason = "not_holder"
	ReasonNoMajority        Reason = "no_majority"
	ReasonConflict          Reason = "conflict"
	ReasonStaleFence        Reason = "stale_fence"
	ReasonUnlabelled        Reason = "unlabelled"
	ReasonSlow              Reason = "slow"
	ReasonTooOld            Reason = "too_old"
	ReasonUnknownLot        Reason = "unknown_lot"
	ReasonTerminated        Reason = "terminated"
	ReasonStalled           Reason = "stalled"
	ReasonNotReady          Reason = "not_ready"
	ReasonInternal          Reason = "internal"
	ReasonQuarantined       Reason = "quarantined"
	ReasonServerLimit       Reason = "server_limit"
	ReasonSoftwareGone      Reason = "software_gone"    // no server has the software version that began a stream
	ReasonSoftwareUnknown   Reason = "software_unknown" // it is not known which software version began a stream
	ReasonStoreRejected     Reason = "store_rejected"   // the store will never accept the call
	ReasonOutputTooLarge    Reason = "output_too_large" // the output of an item cannot be stored
	ReasonMemory            Reason = "memory"           // the requests in flight use the memory of the host
	ReasonAnswerTooLarge    Reason = "answer_too_large" // one answer, or those of one server together
	ReasonCallerTooSlow     Reason = "caller_too_slow"  // a caller sends a head or body, or reads an answer, too slowly
	// ReasonPlatformUnavailable means that the platform's API does not carry out calls.
	ReasonPlatformUnavailable Reason = "platform_unavailable"
	// ReasonUnconfirmedRefusal means that the status of an answer says that the request has not
	// run, but the server did not confirm it.
	ReasonUnconfirmedRefusal Reason = "unconfirmed_refusal"
	ReasonFirstAttempt       Reason = "first_attempt"
	ReasonUnknown            Reason = "unknown"
)

// Errors is the errorx namespace of all errors that carry a verdict and a reason.
var Errors = errorx.NewNamespace("lavenderstand")

// Refusal is the type of errors that carry a verdict and a reason.
var Refusal = Errors.NewType("refusal")

var (
	verdictProperty    = errorx.RegisterProperty("verdict")
	reasonProperty     = errorx.RegisterProperty("reason")
	retryAfterProperty = errorx.RegisterProperty("retry_after")
)

// New returns an error that carries a verdict and a reason.
func New(v Verdict, reason Reason, format string, args ...any) *errorx.Error {
	return Refusal.New(format, args...).
		WithProperty(verdictProperty, v).
		WithProperty(reasonProperty, reason)
}

// Wrap returns an error that carries a verdict, a reason and a cause.
func Wrap(cause error, v Verdict, reason Reason, format string, args ...any) *errorx.Error {
	return Refusal.Wrap(cause, format, args...).
		WithProperty(verdictProperty, v).
		WithProperty(reasonProperty, reason)
}

// Of returns the verdict of err. It returns Ran if err is nil and MayHaveRun if err
// carries no verdict.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	if v, ok := property(err, verdictProperty).(Verdict); ok {
		return v
	}
	return MayHaveRun
}

// ReasonOf returns the reason of err, or ReasonUnknown if err carries none.
func ReasonOf(err error) Reason {
	if r, ok := property(err, reasonProperty).(Reason); ok {
		return r
	}
	return ReasonUnknown
}

// WithRetryAfter returns err with the time after which a caller should repeat the request.
func WithRetryAfter(err *errorx.Error, d time.Duration) *errorx.Error {
	return err.WithProperty(retryAfterProperty, d)
}

// RetryAfter returns the time after which the caller should repeat the request. It returns
// false if err carries none.
func RetryAfter(err error) (time.Duration, bool) {
	d, ok := property(err, retryAfterProperty).(time.Duration)
	return d, ok
}

// property returns the value of a property of the first errorx error in the chain of
// err, or nil.
func property(err error, key errorx.Property) any {
	var carrier *errorx.Error
	if !errors.As(err, &carrier) {
		return nil
	}
	value, _ := carrier.Property(key)
	return value
}

// Message returns the text of err and its causes, for people and for other processes. It
// omits the error types that the Error method adds.
func Message(err error) string {
	carrier := errorx.Cast(err)
	if carrier == nil {
		return errorText(err)
	}
	message := carrier.Message()
	if cause := carrier.Cause(); cause != nil {
		return message + ": " + Message(cause)
	}
	return message
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
