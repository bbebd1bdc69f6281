package bench

import (
	"fmt"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
)

const (
	pullWait  = 30 * time.Second
	pullRetry = 500 * time.Millisecond
	// publishDelay is the upload of new weights.
	publishDelay = 3 * time.Second
	callDelay    = 5 * time.Millisecond // trainer, entry host, controller
)

// trainer is the row of a trainer: it pulls a batch, trains for a fixed time and
// pulls the next. The first trainer publishes the weights that all share.
type trainer struct {
	name      string
	publishes bool
	step      int64
	submitted int
	pulledAt  time.Duration // since when it waits for a batch
	waiting   bool
	lot       *ledger.BatchRecord
	calls     int
}

func (w *world) startTrainer(i int) {
	t := &trainer{name: fmt.Sprintf("t%d", i+1), publishes: i == 0, step: 1}
	w.trainers = append(w.trainers, t)
	// Trainers start apart, so that they don't pull at the same moment.
	w.at(2*time.Second+time.Duration(i)*w.setup.Deployment.StepDuration/3, func() {
		w.submit(t, 3*w.setup.Deployment.BatchGroups)
		w.wait(t)
	})
}

// submit sends new groups. A trainer keeps about three batches of prompts queued.
func (w *world) submit(t *trainer, groups int) {
	bound := w.setup.Deployment.Classes["rollouts"].StalenessBound
	var specs []ledger.GroupSpec
	for range groups {
		t.submitted++
		id := fmt.Sprintf("g%d", t.submitted)
		specs = append(specs, ledger.GroupSpec{
			ID: id, Model: modelName, Prompt: id, Samples: w.setup.Deployment.GroupSamples, MaxTokens: longestSample, StalenessBound: bound,
		})
	}
	w.call(t, func(id string) event.Event {
		return event.GroupsSubmitted{RequestID: id, Trainer: t.name, Groups: specs}
	})
}

// call sends a trainer's call to the controller.
func (w *world) call(t *trainer, make func(id string) event.Event) {
	t.calls++
	e := make(fmt.Sprintf("%s.%d", t.name, t.calls))
	w.after(callDelay, func() { w.controller.post(e) })
}

func (w *world) wait(t *trainer) {
	t.waiting, t.pulledAt = true, w.now
	w.pull(t)
}

func (w *world) pull(t *trainer) {
	w.call(t, func(id string) event.Event {
		return event.PullRequested{
			RequestID: id, Trainer: t.name, Step: t.step, Version: w.store.weights.Version,
			Groups: w.setup.Deployment.BatchGroups, Wait: pullWait,
		}
	})
}

// answerTrainer takes in the answers to pulls and confirmations.
func (w *world) answerTrainer(c command.Command) {
	w.after(callDelay, func() {
		switch c := c.(type) {
		case command.AnswerPull:
			t := w.trainerOf(c.RequestID)
			if c.Failure != nil {
				w.after(pullRetry, func() { w.pull(t) })
				return
			}
			t.lot = c.Batch
			w.call(t, func(id string) event.Event {
				return event.ConfirmRequested{RequestID: id, Trainer: t.name, Step: c.Batch.Step, Attempt: c.Batch.Attempt}
			})
		case command.AnswerConfirm:
			t := w.trainerOf(c.RequestID)
			if c.Failure != nil {
				w.pull(t)
				return
			}
			w.deliver(t, c.CheckedVersion)
		}
	})
}

func (w *world) trainerOf(request string) *trainer {
	for _, t := range w.trainers {
		if len(request) > len(t.name) && request[:len(t.name)+1] == t.name+"." {
			return t
		}
	}
	return nil
}

// deliver starts a training step.
func (w *world) deliver(t *trainer, version ledger.Version) {
	w.result.idle(w, t.pulledAt)
	t.waiting = false
	for i := range t.lot.Samples {
		w.result.delivered(w, &t.lot.Samples[i], version)
	}
	w.submit(t, w.setup.Deployment.BatchGroups)
	w.after(w.setup.Deployment.StepDuration, func() {
		if t.publishes && t.step%int64(w.setup.Deployment.StepsPerVersion) == 0 {
			w.after(publishDelay, w.publish)
		}
		t.step++
		w.wait(t)
	})
}

func (w *world) publish() {
	w.store.weights.Version++
	w.store.weights.RowVersion++
}
