package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTrainerAdvancesBeforeDelivery guards against a batch that is delivered although
// it is too stale. It was fresh when it was frozen, and the trainer declares a newer
// version while its texts are fetched.
func TestTrainerAdvancesBeforeDelivery(t *testing.T) {
	t.Parallel()
	d := deploy(t, 31)
	d.submitGroups(manualGroups)
	d.waitComplete(4 * manualGroups)
	d.setFault("platform", `{"role":"objects","slow_ms":1500}`)
	answer := make(chan reply, 1)
	go func() { answer <- d.pull(0, 1, 1, 5*time.Second) }()
	time.Sleep(700 * time.Millisecond)
	d.publish("matching", 4, 0)
	require.Equal(t, http.StatusOK, d.declare(1, 4).status)
	r := <-answer
	require.NotEqual(t, http.StatusOK, r.status, "a batch of version 1 was delivered after version 4 was declared, staleness bound 2: %s", r.body)
	d.setFault("platform", noFaults)
	d.requireFreshBatch(1, 4, 2)
}

// TestFrozenBatchPulledLate guards against a repeated pull that returns the batch that
// was frozen by an earlier pull although it has become too stale.
func TestFrozenBatchPulledLate(t *testing.T) {
	t.Parallel()
	d := deploy(t, 32)
	d.submitGroups(manualGroups)
	d.waitComplete(4 * manualGroups)
	d.setFault("platform", `{"role":"objects","down":true}`)
	require.NotEqual(t, http.StatusOK, d.pull(0, 1, 1, time.Second).status, "a batch was delivered although its texts cannot be fetched")
	d.publish("matching", 4, 0)
	require.Equal(t, http.StatusOK, d.declare(1, 4).status)
	d.setFault("platform", noFaults)
	d.requireFreshBatch(1, 4, 2)
}

// TestOutageBetweenFreezeAndFetch guards against a frozen batch that is lost, or
// replaced without need, because the platform fails before its texts are fetched.
func TestOutageBetweenFreezeAndFetch(t *testing.T) {
	t.Parallel()
	d := deploy(t, 33)
	d.submitGroups(manualGroups)
	d.waitComplete(4 * manualGroups)
	d.setFault("platform", `{"role":"objects","down":true}`)
	require.NotEqual(t, http.StatusOK, d.pull(0, 1, 1, time.Second).status, "a batch was delivered although its texts cannot be fetched")
	d.setFault("platform", `{"down":true}`)
	time.Sleep(4 * time.Second)
	d.setFault("platform", noFaults)
	d.requireFreshBatch(1, 1, 1)
}

// requireFreshBatch pulls a step from another host until the batch arrives, and checks
// its attempt number and its staleness.
func (d *deployment) requireFreshBatch(step, version, attempt int) {
	d.t.Helper()
	var got reply
	d.eventually(20*time.Second, func() reply {
		got = d.pull(2, step, version, 2*time.Second)
		return got
	}, func(r reply) bool { return r.status == http.StatusOK })
	batch := batchOf(d.t, got)
	require.Equal(d.t, attempt, batch.Attempt)
	require.EqualValues(d.t, version, batch.CheckedVersion)
	require.Len(d.t, batch.Samples, 4)
	for _, s := range batch.Samples {
		for _, r := range s.Ranges {
			require.LessOrEqual(d.t, version-int(r.Version), 2, "version of sample %s/%d is more than 2 behind", s.Group, s.Index)
		}
	}
}
