package event

import "github.com/lavenderstand/lavenderstand/verdict"

// Err returns the failure as an error with the same verdict and reason, nil for a nil
// failure.
func (f *Failure) Err() error {
	if f == nil {
		return nil
	}
	return verdict.New(f.Verdict, f.Reason, "%s", f.Message)
}
