package api

import (
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/status"
)

// RegisterOperatorHandlers adds the executors that serve operators: answers to
// changes of the configuration, and status snapshots.
func RegisterOperatorHandlers(pool *control.Pool, waiters *control.Waiters, cell *status.Cell) {
	control.HandleNow(pool, func(c command.AnswerConfigChange) { waiters.Answer(c.RequestID, c) })
	control.HandleNow(pool, func(c command.PublishStatus) { cell.Publish(c.Snapshot) })
}
