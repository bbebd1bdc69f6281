package forward

import "github.com/lavenderstand/lavenderstand/verdict"

// RecordLeaving records that the server has said that it leaves, which holds until its next
// start. It reports whether this was not known before.
func (l *Load) RecordLeaving() (first bool) { return l.leaving.CompareAndSwap(false, true) }

// Leaving reports whether the server has said that it leaves. Such a server is sent nothing
// more, although the current plan may still list it.
func (l *Load) Leaving() bool { return l != nil && l.leaving.Load() }

// CheckLeaving returns an error if a server has said that it leaves after it was chosen.
// Nothing was sent then.
func CheckLeaving(to *Target) error {
	if !to.Load.Leaving() {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonBackendLeaving, "server %s is leaving, nothing was sent", to.ID)
}

// notAsked reports whether an attempt ended before its server was asked.
func notAsked(err error) bool {
	return isLimitReached(err) || (err != nil && verdict.Of(err) == verdict.NotRun && verdict.ReasonOf(err) == verdict.ReasonBackendLeaving)
}
