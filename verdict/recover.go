package verdict

import "runtime/debug"

// Recover turns a panic of the calling function into an error with the verdict may have run
// and the reason internal. It must be deferred. Goroutines that handle data from other
// systems defer it, so that data that this process cannot handle ends one request and not
// the process.
func Recover(err *error) {
	if p := recover(); p != nil {
		*err = New(MayHaveRun, ReasonInternal, "panic: %v\n%s", p, debug.Stack())
	}
}
