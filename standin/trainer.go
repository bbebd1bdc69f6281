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

// TrainerOptions configure a trainer.
type TrainerOptions struct {
	Name            string
	Model           string
	Hosts           []string // addresses of entry hosts
	Token           string
	OperatorToken   string // publishes weights
	Version         ledger.Version
	GroupsPerStep   int // of a step
	SamplesPerGroup int // of a group
	MaxTokens       int
	StalenessBound  int64 // staleness, in weight versions
	Scorer          string
	StepDuration    time.Duration // time that a training step takes
	StepsPerVersion int           // steps between two weight versions
	MinVersions     int           // versions to publish at least
	Seed            uint64
}

const (
	pullWait       = 2 * time.Second
	attemptTimeout = 10 * time.Second // of one attempt
	// aheadSteps is how many steps of groups a trainer keeps submitted.
	aheadSteps = 2
)

// Trainer submits groups, pulls a batch per step and publishes new weights.
type Trainer struct {
	trainingTime    time.Duration // in training steps
	options         TrainerOptions
	client          *entryClient
	log             TrainerLog
	version         ledger.Version
	submittedGroups int
	receivedGroups  int // groups received
	step            int64

	published int
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

// Run trains until ends and until enough versions are published, then receives
// what was submitted, until ctx ends. All time outside training steps is idle:
// a trainer that waits for an answer to a submission or a declaration does not
// train either.
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

// submit keeps the groups of the next steps submitted.
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

func (t *Trainer) accept(batch Batch) {
	t.log.Batches = append(t.log.Batches, batch)
	groups := make(map[string]bool)
	for _, s := range batch.Samples {
		groups[s.Group] = true
	}
	t.receivedGroups += len(groups)
}

func (t *Trainer) declareVersion(ctx context.Context) error {
	_, err := t.call(ctx, http.MethodPut, "/version", map[string]any{"version": t.version})
	return err
}

// publish makes a new weight version known, first to the operators' side, then
// as the trainer's own version.
func (t *Trainer) publish(ctx context.Context) error {
	expected := t.version
	if t.version == t.options.Version {
		expected = 0 // nothing was published yet
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
			return nil // an earlier attempt whose answer was lost took effect
		case answer.final():
			return fmt.Errorf("publish weights: status %d: %.200s", answer.status, answer.body)
		}
		if err := t.retry(ctx); err != nil {
			return err
		}
	}
}

// call sends a request of the trainer until it is answered; every request of a
// trainer is safe to repeat with the same ids.
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
