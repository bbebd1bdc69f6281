package command

import "github.com/lavenderstand/lavenderstand/status"

// PublishStatus hands a new snapshot to the operators' edge.
type PublishStatus struct{ Snapshot *status.Snapshot }

// Name implements Command.
func (PublishStatus) Name() string { return "publish_status" }
