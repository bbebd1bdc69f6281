// Package verdict defines errors that state whether a request may have run. Every error
// that crosses a package boundary on the request path carries a verdict and a
// machine-readable reason, so that all retry decisions are based on the same facts.
package verdict

import "fmt"

// Verdict states whether a request may have run.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the request ran. It is the zero
	// value, so that a non-idempotent request is never retried after an error
	// without a verdict.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and will not run.
	NotRun
	// Ran means that the request ran to its end.
	Ran
)

// names are the texts of the verdicts in messages.
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

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an unknown
// name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range names {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Retryable reports whether a request with this verdict may be sent again. An idempotent
// request may be retried after NotRun and MayHaveRun, any other only after NotRun.
func (v Verdict) Retryable(idempotent bool) bool {
	return v == NotRun || (idempotent && v == MayHaveRun)
}
