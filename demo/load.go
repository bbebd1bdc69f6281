package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lavenderstand/lavenderstand/standin"
)

// Times and sizes of a run.
const (
	setupTimeout      = 10 * time.Second // until every entry host is ready and has read the host list and the configuration
	setupPollInterval = 100 * time.Millisecond
	callTimeout       = 2 * time.Second // for one call that sets up the run
	minVersions       = 2               // weight versions that each trainer publishes at least
	stepsPerVersion   = 8               // steps between two weight versions; a rollout takes up to 5 s
	stalenessBound    = 2               // largest staleness of samples, in weight versions
	callerCount       = 6

	// Together with setupTimeout and the graceful shutdown, these keep a run below 60 s.
	DefaultDuration     = 12 * time.Second
	DefaultDrainTimeout = 13 * time.Second
	callerTimeout       = 10 * time.Second // of one request of a caller, including all attempts
)

// LoadOptions configure RunLoad.
type LoadOptions struct {
	Dir          string        // directory of the run
	Duration     time.Duration // time during which new work is submitted
	DrainTimeout time.Duration // time after Duration during which trainers receive the remaining work
	Faults       []string      // faults to set on stand-ins, each TIME,PROCESS,JSON
	SkipSetUp    bool          // do not call SetUp, because it has been called already
}

// RunLoad runs the callers and trainers of a run and writes the answers that they received to
// received.json.
func RunLoad(o LoadOptions) error {
	p, err := ReadPlan(o.Dir)
	if err != nil {
		return err
	}
	faults, err := parseFaults(o.Faults, p)
	if err != nil {
		return err
	}
	tokens, err := ReadTokens(o.Dir)
	if err != nil {
		return err
	}
	if !o.SkipSetUp {
		if err := SetUp(p, tokens["operator"]); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "loading"), nil, 0o600); err != nil {
		return err
	}
	received := runClients(o, p, tokens, faults)
	data, err := json.Marshal(received)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.Dir, "received.json"), data, 0o600)
}

// runClients runs all clients and faults concurrently and returns the answers that the
// clients received.
func runClients(o LoadOptions, p Plan, tokens map[string]string, faults []timedFault) standin.Received {
	end := time.Now().Add(o.Duration)
	runCtx, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stopSignals()
	submitCtx, stop := context.WithDeadline(runCtx, end)
	defer stop()
	receiveCtx, cancel := context.WithDeadline(runCtx, end.Add(o.DrainTimeout))
	defer cancel()
	received := standin.Received{Trainers: make([]standin.TrainerLog, len(models))}
	answers := make([][]standin.Answer, callerCount)
	var wg sync.WaitGroup
	for i := range answers {
		caller := newCaller(p, tokens["app"], i)
		wg.Go(func() { answers[i] = caller.Run(submitCtx) })
	}
	for i, model := range models {
		trainer := newTrainer(p, tokens, model, i)
		wg.Go(func() {
			var err error
			if received.Trainers[i], err = trainer.Run(receiveCtx, end); err != nil {
				fmt.Fprintf(os.Stderr, "%s: %v\n", trainerName(model), err)
			}
		})
	}
	for _, f := range faults {
		wg.Go(func() { f.apply(submitCtx) })
	}
	wg.Wait()
	for _, a := range answers {
		received.Answers = append(received.Answers, a...)
	}
	return received
}

// newCaller returns the caller with index i. Every third caller makes internal checks, the
// others live lookups.
func newCaller(p Plan, token string, i int) *standin.Caller {
	class, route := liveClass, lookupRoute
	if i%3 == 2 {
		class, route = checkClass, checkRoute
	}
	return standin.NewCaller(standin.CallerOptions{
		Name: fmt.Sprintf("caller-%d", i+1), Hosts: []string{p.Balancer}, Token: token, Models: models,
		Class: class, LookupRoute: route, ClaimRoute: claimRoute, RequestTimeout: callerTimeout, Seed: p.Seed*1000 + uint64(i),
	})
}

// newTrainer returns the trainer of a model.
func newTrainer(p Plan, tokens map[string]string, model string, i int) *standin.Trainer {
	return standin.NewTrainer(standin.TrainerOptions{
		Name: trainerName(model), Model: model, Hosts: p.Entries, Token: tokens[trainerName(model)],
		OperatorToken: tokens["operator"], StalenessBound: stalenessBound, Scorer: scoringService,
		MinVersions: minVersions, StepsPerVersion: stepsPerVersion, Seed: p.Seed*1000 + uint64(i),
	})
}

// ReadTokens returns the tokens of a run by file name, which is the name of the principal or
// "orders" for the token of orders.
func ReadTokens(dir string) (map[string]string, error) {
	files, err := os.ReadDir(filepath.Join(dir, "tokens"))
	if err != nil {
		return nil, err
	}
	tokens := make(map[string]string)
	for _, f := range files {
		data, err := os.ReadFile(filepath.Join(dir, "tokens", f.Name()))
		if err != nil {
			return nil, err
		}
		tokens[f.Name()] = strings.TrimSpace(string(data))
	}
	return tokens, nil
}

// SetUp writes the host list and the configuration and waits until every entry host is ready
// and has read both. A load that starts earlier has requests refused. These count as missed
// latency targets and reduce the share of training for most of a run.
func SetUp(p Plan, operator string) error {
	deadline := time.Now().Add(setupTimeout)
	hosts := map[string]any{"hosts": p.Hosts}
	if err := retryUntil(deadline, func() error {
		return SendJSON(http.MethodPut, "http://"+p.Platform+"/admin/hosts", "", hosts)
	}); err != nil {
		return err
	}
	config := map[string]any{"expected_version": 0, "author": "demo", "config": p.Config}
	if err := retryUntil(deadline, func() error {
		return SendJSON(http.MethodPut, "http://"+p.Entries[0]+"/v1/config", operator, config)
	}); err != nil {
		return err
	}
	for _, entry := range p.Entries {
		if err := retryUntil(deadline, func() error {
			return SendJSON(http.MethodGet, "http://"+entry+"/readyz", "", nil)
		}); err != nil {
			return err
		}
		if err := retryUntil(deadline, func() error { return checkDeploymentRead(entry, operator, p) }); err != nil {
			return err
		}
	}
	return nil
}

// checkDeploymentRead returns an error unless an entry host has read the configuration and
// the host list.
func checkDeploymentRead(entry, operator string, p Plan) error {
	var status struct {
		Config struct {
			Version int64 `json:"version"`
		} `json:"config"`
		Backends []json.RawMessage `json:"backends"`
	}
	if err := exchangeJSON(http.MethodGet, "http://"+entry+"/v1/status", operator, nil, &status); err != nil {
		return err
	}
	if status.Config.Version == 0 || len(status.Backends) < len(p.Hosts)-len(p.Entries) {
		return fmt.Errorf("%s has read configuration version %d and %d backend servers, want a configuration and all servers of the plan", entry, status.Config.Version, len(status.Backends))
	}
	return nil
}

// retryUntil calls fn until it succeeds or the deadline has passed, and returns its last error.
func retryUntil(deadline time.Time, fn func() error) error {
	for {
		err := fn()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(setupPollInterval)
	}
}

// SendJSON sends a request with a JSON body. It returns an error unless the status is 2xx.
func SendJSON(method, url, token string, body any) error {
	return exchangeJSON(method, url, token, body, nil)
}

// exchangeJSON is like SendJSON, but also decodes the body of the answer to into, unless into
// is nil.
func exchangeJSON(method, url, token string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: status %d, want 2xx", method, url, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
