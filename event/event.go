// Package event holds the typed inputs of systems. An event states what an edge
// or an executor observed; it never carries an encoded message.
package event

import "github.com/lavenderstand/lavenderstand/verdict"

// Event is an input of the control loop. Name is used in counters and sessions.
type Event interface{ Name() string }

// Failure is the outcome of a command that did not succeed.
type Failure struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason
	Message string
}

// FailureOf describes err, nil for a nil error.
func FailureOf(err error) *Failure {
	if err == nil {
		return nil
	}
	return &Failure{Verdict: verdict.Of(err), Reason: verdict.ReasonOf(err), Message: verdict.Message(err)}
}

// DrainRequested begins the planned stop of this process.
type DrainRequested struct{}

// Name implements Event.
func (DrainRequested) Name() string { return "drain_requested" }
