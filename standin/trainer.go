package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// TrainerOptions configure a Trainer.
type TrainerOptions struct {
	Name            string
	Model           string
	Hosts           []string // addresses of entry hosts
	Token           string
	OperatorToken   string         // authorizes the publication of weights
	Version         ledger.Version // weight version at the start
	GroupsPerStep   int
	SamplesPerGroup int
	MaxTokens       int           // of one sample
	StalenessBound  int64         // in weight versions
	Scorer          string        // name of the scoring service; empty for no scores
	StepDuration    time.Duration // time that a training step takes
	StepsPerVersion int           // training steps between two weight versions
	MinVersions     int           // minimum number of versions to publish
	Seed            uint64
}

const (
	pullWait       = 2 * time.Second  // time that a pull may wait for a batch
	attemptTimeout = 10 * time.Second // of one attempt of a request
	// aheadSteps is the number of training steps for which a trainer keeps groups
	// submitted.
	aheadSteps = 2
)

// Trainer is a fake trainer. It submits groups, pulls a batch for each training
// step and publishes new weight versions.
type Trainer struct {
	trainingTime    time.Duration // total time in training steps
	options         TrainerOptions
	client          *entryClient
	log             TrainerLog
	version         ledger.Version // newest published version
	submittedGroups int
	receivedGroups  int   // groups in received batches
	step            int64 // current training step

	published int // versions published by Run
}

// NewTrainer returns a trainer.
func NewTrainer(o TrainerOptions) *Trainer {
	setDefault(&o.Version, 1)
	setDefault(&o.GroupsPerStep, 4)
	setDefault(&o.SamplesPerGroup, 4)
	setDefault(&o.MaxTokens, 128)
	setDefault(&o.StepDuration, 300*time.Millisecond)
	setDefault(&o.StepsPerVersion, 3)
	return &Trainer{
		options: o, version: o.Version, log: TrainerLog{Name: o.Name},
		client: newEntryClient(o.Hosts, o.Token, int(o.Seed%1024)),
	}
}

// Run trains until the given time, and longer if fewer than MinVersions versions
// are published by then. It then receives the remaining submitted groups. It stops
// early if ctx ends. All time outside training steps counts as idle, because a
// trainer does not train either while it waits for the response to a submission or
// a version declaration.
func (t *Trainer) Run(ctx context.Context, until time.Time) (TrainerLog, error) {
	began := time.Now()
	err := t.declareVersion(ctx)
	for err == nil {
		active := time.Now().Before(until) || t.published < t.options.MinVersions
		if !active && t.receivedGroups >= t.submittedGroups {
			break
		}
		err = t.trainStep(ctx, active)
	}
	run := time.Since(began)
	t.log.RunMS, t.log.IdleMS = run.Milliseconds(), (run - t.trainingTime).Milliseconds()
	return t.log, err
}

func (t *Trainer) trainStep(ctx context.Context, submit bool) error {
	if submit {
		if err := t.submit(ctx); err != nil {
			return err
		}
	}
	t.step++
	if err := t.pull(ctx); err != nil {
		return err
	}
	began := time.Now()
	pause(ctx, t.options.StepDuration)
	t.trainingTime += time.Since(began)
	if submit && t.step%int64(t.options.StepsPerVersion) == 0 {
		return t.publish(ctx)
	}
	return nil
}

// submit submits groups until those of the next aheadSteps steps are submitted.
func (t *Trainer) submit(ctx context.Context) error {
	var specs []ledger.GroupSpec
	for t.submittedGroups+len(specs)-t.receivedGroups < aheadSteps*t.options.GroupsPerStep {
		id := fmt.Sprintf("g%d", t.submittedGroups+len(specs)+1)
		specs = append(specs, ledger.GroupSpec{
			ID: id, Model: t.options.Model, Samples: t.options.SamplesPerGroup, MaxTokens: t.options.MaxTokens,
			Prompt:         fmt.Sprintf("%s/%d/%s %s", t.options.Name, t.options.Seed, id, strings.Repeat("task ", 40)),
			StalenessBound: t.options.StalenessBound, Scorer: t.options.Scorer,
		})
	}
	if len(specs) == 0 {
		return nil
	}
	if _, err := t.call(ctx, http.MethodPost, "/groups", map[string]any{"groups": specs}); err != nil {
		return err
	}
	t.submittedGroups += len(specs)
	t.log.Submitted = append(t.log.Submitted, specs...)
	return nil
}

// pull receives the batch of the step.
func (t *Trainer) pull(ctx context.Context) error {
	request := map[string]any{
		"step": t.step, "version": t.version, "wait_ms": pullWait.Milliseconds(),
		"groups": min(t.options.GroupsPerStep, t.submittedGroups-t.receivedGroups),
	}
	for {
		answer, err := t.call(ctx, http.MethodPost, "/pull", request)
		if err != nil {
			return err
		}
		if answer.status == http.StatusAccepted {
			continue
		}
		var batch Batch
		if err := json.Unmarshal(answer.body, &batch); err != nil {
			t.log.Retries++
			continue
		}
		batch.TrainerVersion = t.version
		t.accept(batch)
		return nil
	}
}

// accept records a batch and counts its groups.
func (t *Trainer) accept(batch Batch) {
	t.log.Batches = append(t.log.Batches, batch)
	groups := make(map[string]bool)
	for _, s := range batch.Samples {
		groups[s.Group] = true
	}
	t.receivedGroups += len(groups)
}

// declareVersion tells the entry hosts which version the trainer trains.
func (t *Trainer) declareVersion(ctx context.Context) error {
	_, err := t.call(ctx, http.MethodPut, "/version", map[string]any{"version": t.version})
	return err
}

// publish publishes the next weight version through the operators' API and then
// declares it as the trainer's own version.
func (t *Trainer) publish(ctx context.Context) error {
	expected := t.version
	if t.version == t.options.Version {
		expected = 0 // no version has been published yet
	}
	body := map[string]any{"version": t.version + 1, "expected_version": expected}
	if err := t.publishWeights(ctx, body); err != nil {
		return err
	}
	t.version++
	t.published++
	return t.declareVersion(ctx)
}

func (t *Trainer) publishWeights(ctx context.Context, body map[string]any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r := entryRequest{
		method: http.MethodPut, path: "/v1/weights/" + t.options.Model, body: encoded,
		header: map[string]string{"Authorization": "Bearer " + t.options.OperatorToken},
	}
	for attempt := 0; ; attempt++ {
		answer := t.attempt(ctx, r)
		switch {
		case answer.err == nil && answer.status/100 == 2:
			return nil
		case answer.err == nil && answer.status == http.StatusConflict && attempt > 0:
			return nil // an earlier attempt took effect, but its response was lost
		case answer.final():
			return fmt.Errorf("publish weights: status %d: %.200s", answer.status, answer.body)
		}
		if err := t.retry(ctx); err != nil {
			return err
		}
	}
}

// call sends a request until it succeeds or gets a final error. Every request of a
// trainer can be repeated safely with the same IDs.
func (t *Trainer) call(ctx context.Context, method, path string, body any) (entryAnswer, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return entryAnswer{}, err
	}
	r := entryRequest{method: method, path: "/v1/trainers/" + t.options.Name + path, body: encoded}
	for {
		answer := t.attempt(ctx, r)
		if answer.err == nil && answer.status/100 == 2 {
			return answer, nil
		}
		if answer.final() {
			return answer, fmt.Errorf("%s %s: status %d: %.200s", method, path, answer.status, answer.body)
		}
		if err := t.retry(ctx); err != nil {
			return answer, errors.Join(err, answer.err)
		}
	}
}

func (t *Trainer) attempt(ctx context.Context, r entryRequest) entryAnswer {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return t.client.send(ctx, r)
}

func (t *Trainer) retry(ctx context.Context) error {
	t.log.Retries++
	pause(ctx, retryInterval)
	return ctx.Err()
}
