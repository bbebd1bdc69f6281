package event

// DrainFinished reports that all work of a draining process has ended.
type DrainFinished struct{}

// Name implements Event.
func (DrainFinished) Name() string { return "drain_finished" }
