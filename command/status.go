package command

import "github.com/lavenderstand/lavenderstand/status"

// PublishStatus passes a new status snapshot to the front end for operators.
type PublishStatus struct{ Snapshot *status.Snapshot }

// Name implements Command.
func (PublishStatus) Name() string { return "publish_status" }
