package e2e

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlatformOutage guards against generation that stops when the platform fails, and
// against work that is lost or done twice. The platform is faulty for a minute: first
// down, then slow, then it loses answers.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t, 51)
	d.runTraining(55*time.Second, func() {
		time.Sleep(2 * time.Second)
		d.setFault("platform", `{"role":"tables","down":true}`)
		d.setFault("platform", `{"role":"objects","down":true}`)
		before := len(d.ledgerOf("engine-1")) + len(d.ledgerOf("engine-2"))
		time.Sleep(300 * time.Millisecond)
		after := len(d.ledgerOf("engine-1")) + len(d.ledgerOf("engine-2"))
		require.Greater(t, after, before, "running generation stopped when the platform went down")
		time.Sleep(20 * time.Second)
		d.setFault("platform", `{"role":"tables","slow_ms":700,"jitter_ms":300}`)
		d.setFault("platform", `{"role":"objects","slow_ms":700,"jitter_ms":300}`)
		time.Sleep(25 * time.Second)
		d.setFault("platform", `{"role":"tables","lose_answer_share":0.3,"seed":51}`)
		d.setFault("platform", `{"role":"objects","lose_answer_share":0.3,"seed":51}`)
		time.Sleep(15 * time.Second)
		d.setFault("platform", noFaults)
	})
}

// TestTwoFaultsTogether guards against a fault that prevents the handling of another
// one: a controller is killed during an outage, and engines restart during a rollout.
func TestTwoFaultsTogether(t *testing.T) {
	t.Parallel()
	d := deploy(t, 52)
	d.runTraining(6*time.Second, func() {
		time.Sleep(1500 * time.Millisecond)
		holder := d.leaseHolder(trainer)
		d.setFault("platform", `{"role":"tables","down":true}`)
		d.restart(holder)
		time.Sleep(2 * time.Second)
		d.setFault("platform", noFaults)
		d.setFault("engine-2", `{"load_failures":1}`)
		d.restart("engine-4")
		time.Sleep(time.Second)
		d.restart("engine-3")
	})
}

// TestRandomFaults guards against lost or repeated work under combinations of faults
// that no other test has. E2E_SEED repeats the faults of a run.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seed := randomSeed(t)
	d := deploy(t, seed%1000)
	random := rand.New(rand.NewPCG(seed, seed))
	d.runTraining(40*time.Second, func() {
		for end := time.Now().Add(40 * time.Second); time.Now().Before(end); {
			d.randomFault(random)
			time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		}
		d.setFault("platform", noFaults)
		for _, engine := range []string{"engine-1", "engine-2", "engine-3", "engine-4"} {
			d.setFault(engine, noFaults)
		}
	})
}

// randomFault injects one fault and logs its number and its arguments.
func (d *deployment) randomFault(random *rand.Rand) {
	d.t.Helper()
	controller := fmt.Sprint("controller-", 1+random.IntN(3))
	entry := fmt.Sprint("entry-", 1+random.IntN(3))
	engine := fmt.Sprint("engine-", 1+random.IntN(4))
	wait := time.Duration(500+random.IntN(1500)) * time.Millisecond
	kind := random.IntN(10)
	d.t.Logf("fault %d; candidates: %s, %s, %s; duration %s", kind, controller, entry, engine, wait)
	switch kind {
	case 0:
		d.restart(controller)
	case 1:
		d.restart(entry)
	case 2:
		d.restart(engine)
	case 3:
		d.suspend(controller, 4*wait) // at most 8 s
	case 4:
		d.setFault("platform", `{"down":true}`)
		time.Sleep(wait)
		d.setFault("platform", noFaults)
	case 5:
		d.setFault("platform", `{"slow_ms":200,"jitter_ms":200}`)
		time.Sleep(wait)
		d.setFault("platform", noFaults)
	case 6:
		d.setFault("platform", `{"role":"tables","lose_answers":3,"late_writes":2,"late_ms":300}`)
	case 7:
		d.setFault(engine, `{"load_failures":2,"streams":4,"no_version":true}`)
	case 8:
		d.setFault(engine, `{"streams":4,"cut_after_chunks":2}`)
	case 9:
		d.setFault("platform", `{"role":"hosts","down":true}`)
		d.restart(engine)
		time.Sleep(wait)
		d.setFault("platform", noFaults)
	}
}
