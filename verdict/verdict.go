// Package verdict says whether the work of a request may have run. Every error
// that crosses a package boundary on the request path carries a verdict and a
// machine-readable reason, so that each retry decision rests on the same facts.
package verdict

import "fmt"

// Verdict says what is known about the execution of a request.
type Verdict uint8

const (
	// MayHaveRun means that execution can be neither confirmed nor excluded. It
	// is the zero value, so that an error without a verdict is never retried.
	MayHaveRun Verdict = iota
	// NotRun means that the work did not run and will not run.
	NotRun
	// Ran means that the work ran to its end.
	Ran
)

var names = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

// String returns the name used in messages: may_have_run, not_run or ran.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name is an error.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range names {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Retryable reports whether a request may be sent again. Idempotent requests
// may be repeated after MayHaveRun; others only after NotRun.
func (v Verdict) Retryable(idempotent bool) bool {
	return v == NotRun || (idempotent && v == MayHaveRun)
}
