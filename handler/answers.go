package handler

import (
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
)

// RegisterAnswers adds the executors that deliver the control loop's answers to
// the trainers' calls that wait for them.
func RegisterAnswers(dispatcher *control.Dispatcher, waiters *control.Waiters) {
	control.HandleNow(dispatcher, func(c command.AnswerSubmit) { waiters.Answer(c.RequestID, c) })
	control.HandleNow(dispatcher, func(c command.AnswerVersion) { waiters.Answer(c.RequestID, c) })
	control.HandleNow(dispatcher, func(c command.AnswerPull) { waiters.Answer(c.RequestID, c) })
	control.HandleNow(dispatcher, func(c command.AnswerConfirm) { waiters.Answer(c.RequestID, c) })
	control.HandleNow(dispatcher, func(c command.AnswerGroups) { waiters.Answer(c.RequestID, c) })
}
