package soak

import (
	"flag"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/standin/pamoja"
)

var (
	seedCount     = flag.Int("soak.seeds", 1, "number of seeds to run besides the regression seeds")
	firstSeed     = flag.Uint64("soak.first", 0, "first seed; 0 takes one from the clock")
	faultDuration = flag.Duration("soak.for", 10*time.Second, "how long faults are injected")

	secondBinary = flag.String("soak.second-binary", "", "lavender-host binary that hosts with an odd index run instead of the built one; a relative path is resolved against the package's directory")
)

// regressionSeeds lists the seeds that every run repeats and the fault that each found.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "has passed since the first version; keeps one fixed run in CI"},
}

// settleTimeout bounds the time after the last fault within which a trainer must
// be able to read all results of its accepted lots.
const settleTimeout = 20 * time.Second

// fault is a kind of failure that the soak injects. The undo function that inject
// returns ends the fault; it is nil if there is nothing to end.
type fault struct {
	name   string
	inject func(c *cluster, random *rand.Rand) (undo func())
}

// faults lists all faults. A seed selects them by index, so their order must stay.
var faults = []fault{
	{"kill a host", func(c *cluster, r *rand.Rand) func() {
		c.restart(c.hosts[r.IntN(hosts)], syscall.SIGKILL)
		return nil
	}},
	{"stop a host with SIGTERM", func(c *cluster, r *rand.Rand) func() {
		c.restart(c.hosts[r.IntN(hosts)], syscall.SIGTERM)
		return nil
	}},
	{"kill all hosts", func(c *cluster, _ *rand.Rand) func() {
		for _, h := range c.hosts {
			c.restart(h, syscall.SIGKILL)
		}
		return nil
	}},
	{"suspend a host with SIGSTOP", func(c *cluster, r *rand.Rand) func() {
		p := c.hosts[r.IntN(hosts)].cmd.Process
		_ = p.Signal(syscall.SIGSTOP)
		return func() { _ = p.Signal(syscall.SIGCONT) }
	}},
	{"send SIGHUP to a host", func(c *cluster, r *rand.Rand) func() {
		_ = c.hosts[r.IntN(hosts)].cmd.Process.Signal(syscall.SIGHUP)
		return nil
	}},
	{"drop all bytes between a host and the store", storeConnectionFault(blackhole)},
	{"reset connections between a host and the store", storeConnectionFault(reset)},
	{"drop answers of the store to a host", storeConnectionFault(dropAnswers)},
	{"delay bytes between a host and the store", storeConnectionFault(delay)},
	{"refuse all calls to the store", storeFault(func(pamoja.Call) pamoja.Outcome { return pamoja.Refused })},
	{"lose the answers to a third of all writes", storeFault(func(call pamoja.Call) pamoja.Outcome {
		if call.Write && rand.IntN(3) == 0 {
			return pamoja.AnswerLost
		}
		return pamoja.Served
	})},
	{"apply half of all writes late", lateWrites},
	{"lose calls to a quarter of the store's partitions", storeFault(func(call pamoja.Call) pamoja.Outcome {
		for _, part := range call.Parts {
			if part != "" && crc32.ChecksumIEEE([]byte(part))%4 == 0 {
				return pamoja.RequestLost
			}
		}
		return pamoja.Served
	})},
	{"drop the change history of the store", func(c *cluster, _ *rand.Rand) func() { c.store.Compact(); return nil }},
	{"write a new desired state", func(c *cluster, _ *rand.Rand) func() { c.writeDesiredState(); return nil }},
	{"request a newer weight version", func(c *cluster, _ *rand.Rand) func() {
		c.mu.Lock()
		next := 2
		for _, v := range c.versions {
			next = max(next, v+1)
		}
		c.mu.Unlock()
		c.store.Set("op", "version/m", encode(map[string]any{"model": "m", "version": next}))
		return nil
	}},
	{"fail some requests of a sampler", backendFault("sampler-%d", samplers, func(c *cluster) map[string]bool { return c.faulty })},
	{"fail some requests of an application server", backendFault("app-%d", apps, func(c *cluster) map[string]bool { return c.faulty })},
	{"replace a sampler by one of another software version", func(c *cluster, r *rand.Rand) func() {
		c.replaceRandomSampler(r)
		return nil
	}},
	{"remove the record of a sampler", backendFault("sampler-%d", samplers, func(c *cluster) map[string]bool { return c.unregistered })},
}

// storeConnectionFault sets the mode of the proxy between a random host and the
// store. Undo also resets the open connections.
func storeConnectionFault(m mode) func(*cluster, *rand.Rand) func() {
	return func(c *cluster, r *rand.Rand) func() {
		p := c.hosts[r.IntN(hosts)].proxy
		p.set(m)
		return func() {
			p.set(forward)
			p.resetAll()
		}
	}
}

// storeFault lets decide choose the outcome of each call to the store.
func storeFault(decide func(pamoja.Call) pamoja.Outcome) func(*cluster, *rand.Rand) func() {
	return func(c *cluster, _ *rand.Rand) func() {
		c.store.SetFault(decide)
		return func() { c.store.SetFault(nil) }
	}
}

// lateWrites leaves half of all writes without an answer and applies them late: 1 s
// after the fault begins, if it still lasts, and 1 s after it ends.
func lateWrites(c *cluster, _ *rand.Rand) func() {
	c.store.SetFault(func(call pamoja.Call) pamoja.Outcome {
		if call.Write && rand.IntN(2) == 0 {
			return pamoja.AppliedLate
		}
		return pamoja.Served
	})
	apply := time.AfterFunc(time.Second, c.store.ApplyLate)
	return func() {
		apply.Stop()
		c.store.SetFault(nil)
		time.AfterFunc(time.Second, c.store.ApplyLate)
	}
}

// backendFault marks one random server out of count in the set that selectSet
// returns. The name is a format for the index of the server.
func backendFault(name string, count int, selectSet func(*cluster) map[string]bool) func(*cluster, *rand.Rand) func() {
	return func(c *cluster, r *rand.Rand) func() {
		id := fmt.Sprintf(name, r.IntN(count))
		set := func(on bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			selectSet(c)[id] = on
		}
		set(true)
		return func() { set(false) }
	}
}

// TestSoak guards against lost, repeated or mixed-up work when faults follow one
// another and overlap. Each seed runs its own cluster. A seed that fails
// belongs in regressionSeeds.
func TestSoak(t *testing.T) {
	for _, r := range regressionSeeds {
		t.Run(fmt.Sprintf("seed-%d", r.seed), func(t *testing.T) { t.Parallel(); soak(t, r.seed) })
	}
	from := *firstSeed
	if from == 0 {
		from = uint64(time.Now().UnixNano())
	}
	for i := range uint64(*seedCount) {
		t.Run(fmt.Sprintf("seed-%d", from+i), func(t *testing.T) { t.Parallel(); soak(t, from+i) })
	}
}

func soak(t *testing.T, seed uint64) {
	c := newCluster(t, seed)
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 50*time.Millisecond, h.name)
	}
	end := time.Now().Add(*faultDuration)
	trainers := []*trainer{{cluster: c, name: "t1"}, {cluster: c, name: "t2"}}
	callers := []*caller{{cluster: c, name: "c1"}, {cluster: c, name: "c2"}}
	var work sync.WaitGroup
	for _, tr := range trainers {
		work.Go(func() { tr.train(end, 12) })
	}
	for _, cl := range callers {
		work.Go(func() { cl.run(t, end) })
	}
	streams := []*streamCaller{{cluster: c, name: "s1"}, {cluster: c, name: "s2"}}
	for _, s := range streams {
		work.Go(func() { s.run(t, end) })
	}
	names := c.injectFaults(end)
	work.Wait()
	listed := 0
	for _, tr := range trainers {
		listed += tr.verify(t, time.Now().Add(settleTimeout))
	}
	for _, v := range c.ledger.violations {
		t.Error(v)
	}
	for _, s := range streams {
		if s.joined > 0 {
			t.Errorf("%d streams of %s are joined from two software versions", s.joined, s.name)
		}
	}
	t.Logf("seed %d: %d results read; calls served by caller: %d and %d, failed: %d and %d; streams begun: %d and %d; faults: %q",
		seed, listed, callers[0].served, callers[1].served, callers[0].failed, callers[1].failed, streams[0].begun, streams[1].begun, names)
	if t.Failed() {
		c.printLogs()
		keepLogs(t, c.dir, seed)
	}
}

// keepLogs copies the logs of a failed run to a directory that outlives the test.
func keepLogs(t *testing.T, dir string, seed uint64) {
	to := fmt.Sprintf("%s/lavender-soak-%d", os.TempDir(), seed)
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Logf("logs of the hosts not copied: %v", err)
		return
	}
	t.Logf("logs of the hosts copied to %s", to)
}

// injectFaults injects faults until end and returns their names. It runs two
// injectors, so that up to two faults overlap.
func (c *cluster) injectFaults(end time.Time) []string {
	var names []string
	var injectors sync.WaitGroup
	var mu sync.Mutex
	for injector := range uint64(2) {
		random := rand.New(rand.NewPCG(c.random.Uint64(), injector))
		injectors.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(300+random.IntN(900)) * time.Millisecond)
				f := faults[random.IntN(len(faults))]
				duration := time.Duration(500+random.IntN(3000)) * time.Millisecond
				mu.Lock()
				names = append(names, f.name)
				mu.Unlock()
				if undo := c.injectOne(f, random); undo != nil {
					time.Sleep(duration)
					undo()
				}
			}
		})
	}
	injectors.Wait()
	return names
}

// injectLocks holds a mutex for each cluster. Faults that replace processes must
// not begin at the same time.
var injectLocks sync.Map

// injectOne begins a fault while no other fault of the cluster begins.
func (c *cluster) injectOne(f fault, random *rand.Rand) func() {
	lock, _ := injectLocks.LoadOrStore(c, new(sync.Mutex))
	lock.(*sync.Mutex).Lock()
	defer lock.(*sync.Mutex).Unlock()
	return f.inject(c, random)
}
