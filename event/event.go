// Package event holds the typed inputs of systems. An event states what a front end or
// an executor observed. It never carries an encoded message.
package event

import (
	"time"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// Event is an input of the control loop. Its name is used in counters and recorded
// sessions.
type Event interface{ Name() string }

// Failure describes why a command or a read did not succeed.
type Failure struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason
	Message string
	// RetryAfter is the time after which the call may be repeated, 0 if it is not known.
	RetryAfter time.Duration `json:",omitempty"`
}

// FailureOf returns the failure that describes err, nil for a nil error.
func FailureOf(err error) *Failure {
	if err == nil {
		return nil
	}
	retryAfter, _ := verdict.RetryAfter(err)
	return &Failure{Verdict: verdict.Of(err), Reason: verdict.ReasonOf(err), Message: verdict.Message(err), RetryAfter: retryAfter}
}

// DrainRequested asks this process to begin its graceful shutdown.
type DrainRequested struct{}

// Name implements Event.
func (DrainRequested) Name() string { return "drain_requested" }
