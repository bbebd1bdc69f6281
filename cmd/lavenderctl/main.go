// Command lavenderctl shows and changes a running deployment for operators.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitOK       = 0
	exitError    = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4 // no server was reached, or a change may have taken effect
)

// failure carries the exit code of a failed command.
type failure struct {
	code int
	err  error
}

func (f *failure) Error() string { return f.err.Error() }
func (f *failure) Unwrap() error { return f.err }

// failf returns a failure with an exit code and a formatted message.
func failf(code int, format string, args ...any) error {
	return &failure{code: code, err: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for an error. An error that is not a failure comes from
// the parsing of the arguments.
func exitCode(err error) int {
	var f *failure
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &f):
		return f.code
	default:
		return exitUsage
	}
}

func main() {
	err := newRoot(os.Stdout).Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "lavenderctl:", err)
	}
	os.Exit(exitCode(err))
}
