package bench

import (
	"fmt"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
)

const (
	pullWait          = 30 * time.Second       // time that a pull may wait for a batch
	pullRetryInterval = 500 * time.Millisecond // between a failed pull and the next one
	// uploadDuration is the time that the upload of new weights takes.
	uploadDuration = 3 * time.Second
	callDelay      = 5 * time.Millisecond // one way from a trainer through an entry host to the controller
)

// trainer is the row of a trainer. A trainer pulls a batch, trains for a fixed time and
// pulls the next batch. The first trainer publishes the weights, which all trainers
// share.
type trainer struct {
	name         string
	publishes    bool
	step         int64
	submitted    int           // groups submitted
	waitingSince time.Duration // start of the last wait for a batch
	waiting      bool
	batch        *ledger.BatchRecord
	calls        int // calls sent
}

func (sim *simulation) startTrainer(i int) {
	t := &trainer{name: fmt.Sprintf("t%d", i+1), publishes: i == 0, step: 1}
	sim.trainers = append(sim.trainers, t)
	// The starts are staggered, so that trainers do not pull at the same time.
	sim.at(2*time.Second+time.Duration(i)*sim.setup.Deployment.StepDuration/3, func() {
		sim.submit(t, 3*sim.setup.Deployment.BatchGroups)
		sim.awaitBatch(t)
	})
}

// submit submits new groups. A trainer keeps about three batches of groups queued.
func (sim *simulation) submit(t *trainer, groups int) {
	bound := sim.setup.Deployment.Classes["rollouts"].StalenessBound
	var specs []ledger.GroupSpec
	for range groups {
		t.submitted++
		id := fmt.Sprintf("g%d", t.submitted)
		specs = append(specs, ledger.GroupSpec{
			ID: id, Model: modelName, Prompt: id, Samples: sim.setup.Deployment.GroupSamples, MaxTokens: maxSampleTokens, StalenessBound: bound,
		})
	}
	sim.call(t, func(id string) event.Event {
		return event.GroupsSubmitted{RequestID: id, Trainer: t.name, Groups: specs}
	})
}

// call sends an event to the controller as a trainer's call.
func (sim *simulation) call(t *trainer, newEvent func(id string) event.Event) {
	t.calls++
	e := newEvent(fmt.Sprintf("%s.%d", t.name, t.calls))
	sim.after(callDelay, func() { sim.controller.post(e) })
}

// awaitBatch pulls a batch and starts the trainer's idle time.
func (sim *simulation) awaitBatch(t *trainer) {
	t.waiting, t.waitingSince = true, sim.now
	sim.pull(t)
}

func (sim *simulation) pull(t *trainer) {
	sim.call(t, func(id string) event.Event {
		return event.PullRequested{
			RequestID: id, Trainer: t.name, Step: t.step, Version: sim.store.weights.Version,
			Groups: sim.setup.Deployment.BatchGroups, Wait: pullWait,
		}
	})
}

// handleAnswer handles the answers to pulls and confirmations.
func (sim *simulation) handleAnswer(c command.Command) {
	sim.after(callDelay, func() {
		switch c := c.(type) {
		case command.AnswerPull:
			t := sim.trainerOf(c.RequestID)
			if c.Failure != nil {
				sim.after(pullRetryInterval, func() { sim.pull(t) })
				return
			}
			t.batch = c.Batch
			sim.call(t, func(id string) event.Event {
				return event.ConfirmRequested{RequestID: id, Trainer: t.name, Step: c.Batch.Step, Attempt: c.Batch.Attempt}
			})
		case command.AnswerConfirm:
			t := sim.trainerOf(c.RequestID)
			if c.Failure != nil {
				sim.pull(t)
				return
			}
			sim.deliver(t, c.CheckedVersion)
		}
	})
}

// trainerOf returns the trainer that sent a request, or nil.
func (sim *simulation) trainerOf(request string) *trainer {
	for _, t := range sim.trainers {
		if len(request) > len(t.name) && request[:len(t.name)+1] == t.name+"." {
			return t
		}
	}
	return nil
}

// deliver records the delivered batch and starts the training step.
func (sim *simulation) deliver(t *trainer, version ledger.Version) {
	sim.result.recordStep(sim, t.waitingSince)
	t.waiting = false
	for i := range t.batch.Samples {
		sim.result.recordSample(sim, &t.batch.Samples[i], version)
	}
	sim.submit(t, sim.setup.Deployment.BatchGroups)
	sim.after(sim.setup.Deployment.StepDuration, func() {
		if t.publishes && t.step%int64(sim.setup.Deployment.StepsPerVersion) == 0 {
			sim.after(uploadDuration, sim.publish)
		}
		t.step++
		sim.awaitBatch(t)
	})
}

// publish publishes the next weight version.
func (sim *simulation) publish() {
	sim.store.weights.Version++
	sim.store.weights.RowVersion++
}
