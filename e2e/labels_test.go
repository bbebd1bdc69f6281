package e2e

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/demo"
	"github.com/lavenderstand/lavenderstand/standin"
)

// mixedSamples counts the received samples that have more than one version range.
func mixedSamples(r standin.Received) int {
	mixed := 0
	for _, t := range r.Trainers {
		for _, batch := range t.Batches {
			for _, s := range batch.Samples {
				if len(s.Ranges) > 1 {
					mixed++
				}
			}
		}
	}
	return mixed
}

// TestWeightSwapDuringGeneration guards against samples that are labelled with one
// version although the weights were swapped while they were generated. It also guards
// against labels that are taken from the orders to the engines: some swaps fail
// partway, and some reports are out of date.
func TestWeightSwapDuringGeneration(t *testing.T) {
	t.Parallel()
	d := deploy(t, 21)
	received := d.runTraining(9*time.Second, func() {
		for _, name := range []string{"engine-1", "engine-2", "engine-3", "engine-4"} {
			d.setFault(name, `{"slow":3}`)
		}
		for version := 2; version <= 6; version++ {
			switch version {
			case 3:
				d.setFault("engine-1", `{"slow":3,"load_failures":2}`)
				d.setFault("engine-2", `{"slow":3,"load_failures":2}`)
				d.setFault("platform", `{"role":"weights","lose_answers":2}`)
			case 5:
				d.setFault("engine-3", `{"slow":3,"freeze_reports":true}`)
				d.setFault("engine-4", `{"slow":3,"freeze_reports":true}`)
			}
			expected := version - 1
			if version == 2 {
				expected = 0 // no version has been published yet
			}
			for _, model := range []string{"matching", "dial"} {
				d.publish(model, version, expected)
			}
			time.Sleep(1800 * time.Millisecond)
		}
		for _, name := range []string{"engine-1", "engine-2", "engine-3", "engine-4"} {
			d.setFault(name, noFaults)
		}
	})
	require.Positive(t, mixedSamples(received), "no weights were swapped during the generation of a sample")
}

// TestEngineRestartsBetweenReportAndAnswer guards against labels and routing that
// rely on a report that an engine sent before it restarted.
func TestEngineRestartsBetweenReportAndAnswer(t *testing.T) {
	t.Parallel()
	d := deploy(t, 22)
	d.runTraining(8*time.Second, func() {
		for _, name := range []string{"engine-2", "engine-1", "engine-3"} {
			time.Sleep(2 * time.Second)
			d.restart(name)
		}
	})
}

// TestEngineObeysOldOrder guards against labels that are taken from orders. An engine
// that does not check fencing tokens obeys orders with an old token and runs an old
// version. The rollout must bring it back to the wanted version.
func TestEngineObeysOldOrder(t *testing.T) {
	t.Parallel()
	d := deploy(t, 23)
	old := json.RawMessage(`{"fence":0,"order_id":"old","model":"dial","preload":1,"active":1,"deadline_ms":2000}`)
	received := d.runTraining(8*time.Second, func() {
		for range 4 {
			time.Sleep(1500 * time.Millisecond)
			require.NoError(t, demo.SendJSON(http.MethodPut, "http://"+d.plan.Addresses["engine-2"]+"/v1/wanted", "", old))
		}
	})
	require.NotEmpty(t, received.Trainers)
	require.Eventually(t, func() bool {
		v := d.engineState("engine-4").Active
		return v > 1 && d.engineState("engine-2").Active == v
	}, 10*time.Second, 100*time.Millisecond, "engine-2 did not return to the version of engine-4")
}

// TestMissingVersions guards against the delivery of samples with a chunk for which
// the engine reported no weight version.
func TestMissingVersions(t *testing.T) {
	t.Parallel()
	d := deploy(t, 24)
	d.runTraining(10*time.Second, func() {
		for range 9 { // long enough to include the first swaps
			for _, name := range []string{"engine-1", "engine-2", "engine-3", "engine-4"} {
				d.setFault(name, `{"streams":4,"no_version":true}`)
			}
			time.Sleep(time.Second)
		}
	})
}
