package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/demo"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/standin"
)

const (
	trainer      = "trainer-matching"
	manualGroups = 3
	// trainingDrainTimeout bounds the time in which trainers receive the remaining
	// samples after the faults end. It covers two lease take-overs of 8 s each.
	trainingDrainTimeout = 30 * time.Second
	// noFaults is the body that clears all faults of a stand-in.
	noFaults = `{}`
)

// runTraining is runLoad with the longer trainingDrainTimeout. It returns what the
// trainers and callers received.
func (d *deployment) runTraining(duration time.Duration, during func()) standin.Received {
	d.t.Helper()
	done := make(chan error, 1)
	go func() {
		done <- demo.RunLoad(demo.LoadOptions{Dir: d.dir, Duration: duration, DrainTimeout: trainingDrainTimeout, SkipSetUp: true})
	}()
	during()
	require.NoError(d.t, <-done)
	require.NoError(d.t, demo.VerifyRun(d.dir))
	data, err := os.ReadFile(filepath.Join(d.dir, "received.json"))
	require.NoError(d.t, err)
	var received standin.Received
	require.NoError(d.t, json.Unmarshal(data, &received))
	return received
}

// getJSON decodes the JSON answer to a GET request to a stand-in.
func getJSON(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

// leaseHolder returns the name of the controller process that holds the lease on the
// partition of a trainer or model.
func (d *deployment) leaseHolder(name string) string {
	d.t.Helper()
	partition := ledger.PartitionOf(name, settings.Default().Training.Partitions)
	var holder string
	require.Eventually(d.t, func() bool {
		var row struct {
			Value struct {
				Holder string `json:"holder"`
			} `json:"value"`
		}
		err := getJSON(fmt.Sprintf("http://%s/v1/row?key=lease/%d", d.plan.Platform, partition), &row)
		holder = row.Value.Holder
		return err == nil && holder != ""
	}, 10*time.Second, 50*time.Millisecond)
	number := strings.TrimPrefix(holder, "host-")
	return "controller-" + number[:strings.Index(number, "-")]
}

// suspend suspends a process with SIGSTOP for a duration.
func (d *deployment) suspend(name string, duration time.Duration) {
	d.signal(name, syscall.SIGSTOP)
	time.Sleep(duration)
	d.signal(name, syscall.SIGCONT)
}

func (d *deployment) restart(name string) {
	d.kill(name)
	d.start(name)
}

// engineState returns the state that an engine reports, or a zero state without an answer.
func (d *deployment) engineState(name string) (s engine.State) {
	_ = getJSON("http://"+d.plan.Addresses[name]+"/v1/state", &s)
	return s
}

// publish sets the weight version of a model that the engines must run.
func (d *deployment) publish(model string, version, expected int) {
	d.t.Helper()
	d.eventually(10*time.Second, func() reply {
		return d.call(0, "operator", http.MethodPut, "/v1/weights/"+model,
			fmt.Sprintf(`{"version":%d,"expected_version":%d}`, version, expected))
	}, func(r reply) bool { return r.status == http.StatusOK })
}

// ledgerOf returns the entries of the ledger of a stand-in.
func (d *deployment) ledgerOf(name string) []standin.JournalEntry {
	d.t.Helper()
	entries, err := standin.ReadJournal(filepath.Join(d.dir, "ledgers", name+".jsonl"))
	require.NoError(d.t, err)
	return entries
}

// submitGroups declares version 1 of the trainer and submits groups g1, g2 and so on.
func (d *deployment) submitGroups(count int) {
	d.t.Helper()
	var specs []ledger.GroupSpec
	for i := range count {
		specs = append(specs, ledger.GroupSpec{
			ID: "g" + strconv.Itoa(i+1), Model: "matching", Prompt: fmt.Sprint("manual ", i), Samples: 4, MaxTokens: 32, StalenessBound: 2,
		})
	}
	body, err := json.Marshal(map[string]any{"groups": specs})
	require.NoError(d.t, err)
	ok := func(r reply) bool { return r.status == http.StatusOK }
	d.eventually(15*time.Second, func() reply { return d.declare(0, 1) }, ok)
	d.eventually(15*time.Second, func() reply {
		return d.call(0, trainer, http.MethodPost, "/v1/trainers/"+trainer+"/groups", string(body))
	}, ok)
}

// declare declares the weight version that the trainer has reached.
func (d *deployment) declare(entry, version int) reply {
	return d.call(entry, trainer, http.MethodPut, "/v1/trainers/"+trainer+"/version", fmt.Sprintf(`{"version":%d}`, version))
}

// pull requests the batch of a step from an entry host, which waits for it at most wait.
func (d *deployment) pull(entry, step, version int, wait time.Duration) reply {
	return d.call(entry, trainer, http.MethodPost, "/v1/trainers/"+trainer+"/pull",
		fmt.Sprintf(`{"step":%d,"version":%d,"groups":1,"wait_ms":%d}`, step, version, wait.Milliseconds()),
		"X-Request-Id", fmt.Sprintf("pull-%d-entry-%d", step, entry))
}

// waitComplete waits until the texts of all samples are stored and their rows are
// committed, so that a pull finds a batch at once.
func (d *deployment) waitComplete(samples int) {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		var page struct {
			Rows []json.RawMessage `json:"rows"`
		}
		err := getJSON("http://"+d.plan.Platform+"/v1/rows?prefix=sample/&after=&limit=1000", &page)
		return err == nil && len(page.Rows) >= samples
	}, 15*time.Second, 50*time.Millisecond)
}

// batchOf decodes the batch in the answer to a pull.
func batchOf(t *testing.T, r reply) standin.Batch {
	t.Helper()
	require.Equal(t, http.StatusOK, r.status, "%s %v", r.body, r.err)
	var batch standin.Batch
	require.NoError(t, json.Unmarshal([]byte(r.body), &batch))
	return batch
}

// sampleNames returns the names of the samples of a batch in their order.
func sampleNames(batch standin.Batch) []string {
	var names []string
	for _, s := range batch.Samples {
		names = append(names, fmt.Sprint(s.Group, "/", s.Index))
	}
	return names
}

// sumCounter returns the sum of a counter over the running controllers.
func (d *deployment) sumCounter(name string) float64 {
	var sum float64
	for process := range d.processes {
		if !strings.HasPrefix(process, "controller") {
			continue
		}
		s, err := settings.LoadComplete(filepath.Join(d.dir, "settings", process+".toml"))
		require.NoError(d.t, err)
		resp, err := http.Get("http://" + s.Listen.HTTP + "/metrics")
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		for line := range strings.Lines(string(data)) {
			fields := strings.Fields(line)
			if len(fields) == 2 && strings.HasPrefix(fields[0], name) {
				value, _ := strconv.ParseFloat(fields[1], 64)
				sum += value
			}
		}
	}
	return sum
}

// randomSeed returns a random seed, or the seed in E2E_SEED to repeat a run.
func randomSeed(t *testing.T) uint64 {
	t.Helper()
	seed := rand.Uint64N(1 << 32)
	if text := os.Getenv("E2E_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	t.Logf("E2E_SEED=%d", seed)
	return seed
}
