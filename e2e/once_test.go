package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLostWriteAnswers guards against a batch, sample or claim that is written twice
// or lost because the table service did not answer its write.
func TestLostWriteAnswers(t *testing.T) {
	t.Parallel()
	d := deploy(t, 11)
	d.runTraining(6*time.Second, func() {
		d.setFault("platform", `{"role":"tables","lose_answers":20}`)
		time.Sleep(2 * time.Second)
		d.setFault("platform", `{"role":"tables","lose_answer_share":0.1,"late_writes":5,"late_ms":400,"seed":11}`)
		time.Sleep(3 * time.Second)
		d.setFault("platform", noFaults)
	})
}

// TestSuspendedHolderDeliversOnce guards against a controller that commits or delivers
// samples of a trainer after its lease expired. The process is suspended in the middle
// of a step.
func TestSuspendedHolderDeliversOnce(t *testing.T) {
	t.Parallel()
	d := deploy(t, 12)
	d.runTraining(4*time.Second, func() {
		time.Sleep(1500 * time.Millisecond)
		d.suspend(d.leaseHolder(trainer), 10*time.Second)
	})
}

// TestOneBatchForTwoHosts guards against two different batches for one step when a
// trainer pulls from several entry hosts at once or retries on another host.
func TestOneBatchForTwoHosts(t *testing.T) {
	t.Parallel()
	d := deploy(t, 13)
	d.submitGroups(manualGroups)
	d.waitComplete(4 * manualGroups)
	delivered := make(map[string]bool)
	for step := 1; step <= manualGroups; step++ {
		replies := make(chan reply, len(d.plan.Entries))
		for entry := range d.plan.Entries {
			go func() { replies <- d.pull(entry, step, 1, 5*time.Second) }()
		}
		first := batchOf(t, <-replies)
		for range len(d.plan.Entries) - 1 {
			other := batchOf(t, <-replies)
			require.Equal(t, first.BatchID, other.BatchID)
			require.Equal(t, sampleNames(first), sampleNames(other))
		}
		require.Len(t, first.Samples, 4)
		for _, name := range sampleNames(first) {
			require.False(t, delivered[name], "sample %s was delivered in an earlier batch", name)
			delivered[name] = true
		}
	}
	require.NotEqual(t, http.StatusOK, d.pull(0, 1, 1, 0).status, "step 1 was pulled again although the pull of step 2 acknowledged it")
	require.Len(t, delivered, 4*manualGroups)
}

// TestAllControllersRestart guards against the loss of work that exists only in the
// memory of the controllers. All of them are killed at once.
func TestAllControllersRestart(t *testing.T) {
	t.Parallel()
	d := deploy(t, 14)
	d.runTraining(4*time.Second, func() {
		time.Sleep(2 * time.Second)
		for _, name := range []string{"controller-1", "controller-2", "controller-3"} {
			d.kill(name)
		}
		for _, name := range []string{"controller-1", "controller-2", "controller-3"} {
			d.start(name)
		}
	})
}

// TestEntryKilledWhileItDelivers guards against a batch that is lost or replaced
// because the entry host that fetched its texts was killed.
func TestEntryKilledWhileItDelivers(t *testing.T) {
	t.Parallel()
	d := deploy(t, 15)
	d.runTraining(6*time.Second, func() {
		d.setFault("platform", `{"role":"objects","slow_ms":150}`)
		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			time.Sleep(1500 * time.Millisecond)
			d.restart(name)
		}
		d.setFault("platform", noFaults)
	})
}

// TestRollingRestart guards against work that is lost or done twice when every entry
// and controller process is stopped by SIGTERM and restarted under load.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	d := deploy(t, 16)
	d.runTraining(10*time.Second, func() {
		for i, number := range []string{"1", "2", "3"} {
			d.stop("controller-"+number, 20*time.Second)
			d.start("controller-" + number)
			d.stop("entry-"+number, 20*time.Second)
			d.start("entry-" + number)
			d.eventually(10*time.Second, func() reply {
				return d.call(i, "app", http.MethodGet, "/readyz", "")
			}, func(r reply) bool { return r.status == http.StatusOK })
		}
	})
}
