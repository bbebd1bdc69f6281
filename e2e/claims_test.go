package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/demo"
)

// TestClaimOfFailedEntryHost guards against a second run of a request. Its entry host
// is killed or suspended while the request runs, or after the host has claimed the
// request and before it sends it to a backend server.
func TestClaimOfFailedEntryHost(t *testing.T) {
	t.Parallel()
	d := deploy(t, 11).waitServing()
	c := newClaimChecker(d)

	d.setServiceFault(`{"slow_ms":1000}`)
	lost := c.sendAsync(0, "killed-running")
	time.Sleep(300 * time.Millisecond)
	d.restart("entry-1")
	require.Error(t, (<-lost).err)
	c.requireDuplicateRefused(1, "killed-running")
	suspended := c.sendAsync(1, "frozen-running")
	time.Sleep(300 * time.Millisecond)
	d.whileSuspended("entry-2", func() {
		c.requireDuplicateRefused(2, "frozen-running")
		time.Sleep(1200 * time.Millisecond)
		c.requireDuplicateRefused(2, "frozen-running")
	})
	require.Equal(t, http.StatusOK, (<-suspended).status)
	d.eventually(2*time.Second, func() reply { return c.send(2, "frozen-running") },
		func(r reply) bool { return r.status == http.StatusOK })
	c.requireDuplicateRefused(2, "killed-running")

	// The table service carries out a request even if its sender has exited.
	d.setServiceFault(`{}`)
	d.waitHostServing(0)
	d.setTableFault(`"slow_ms":800`)
	lost = c.sendAsync(0, "killed-claiming")
	suspended = c.sendAsync(1, "frozen-claiming", "X-Deadline-Ms", "1200")
	time.Sleep(300 * time.Millisecond)
	d.kill("entry-1")
	d.whileSuspended("entry-2", func() {
		time.Sleep(1200 * time.Millisecond)
		d.setTableFault("")
		require.Error(t, (<-lost).err)
		require.True(t, d.rowExists("claim/app/claims/killed-claiming"))
		require.True(t, d.rowExists("claim/app/claims/frozen-claiming"))
		c.requireDuplicateRefused(2, "killed-claiming")
		c.requireDuplicateRefused(2, "frozen-claiming")
	})
	require.NoError(t, (<-suspended).err)
	time.Sleep(200 * time.Millisecond)
	c.send(2, "frozen-claiming")
	c.requireDuplicateRefused(2, "killed-claiming")
	c.verify()
	require.Equal(t, 1, c.executions()["killed-running"])
	require.Zero(t, c.executions()["killed-claiming"])
}

// TestClaimDuringStoreFaults guards against a request that is sent without a claim,
// against a host that mistakes its own claim for that of another host because the answer
// to its write was lost, and against the verdict not_run for a request that ran.
func TestClaimDuringStoreFaults(t *testing.T) {
	t.Parallel()
	d := deploy(t, 12).waitServing()
	c := newClaimChecker(d)
	d.setTableFault(`"down":true`)
	for entry := range d.plan.Entries {
		r := c.send(entry, "down", "X-Deadline-Ms", "300")
		reason, verdict := r.reasonAndVerdict()
		require.Equal(t, []string{"store_unavailable", notRun}, []string{reason, verdict}, r.body)
	}
	require.Zero(t, c.executions()["down"])
	for i, fault := range []string{
		``, `"lose_answers":1`, `"lose_requests":1`, `"late_writes":1,"late_ms":150`, `"reject_rate":0.5`,
		`"lose_answer_share":0.7`, `"slow_ms":250`,
	} {
		d.setTableFault(fault)
		for n := range 5 {
			key := fmt.Sprintf("fault-%d-%d", i, n)
			require.Equal(t, http.StatusOK, c.send(n%3, key, "X-Deadline-Ms", "5000").status, "%s", fault)
			c.send((n+1)%3, key)
		}
	}
	// The claims take effect after the deadlines of their requests.
	d.setTableFault(`"late_writes":1000,"late_ms":600`)
	for n := range 5 {
		c.send(n%3, fmt.Sprint("late-", n), "X-Deadline-Ms", "200")
	}
	time.Sleep(700 * time.Millisecond)
	d.setTableFault("")
	for n := range 5 {
		c.send((n+1)%3, fmt.Sprint("late-", n))
	}
	require.Equal(t, http.StatusOK, c.send(0, "down").status)
	ran, refused := c.verify()
	require.GreaterOrEqual(t, ran, 36)
	t.Logf("%d requests ran, %d were refused as not run", ran, refused)
}

// TestClaimBeforeConfiguration guards against a second run of a request with an
// idempotency key. Without any configuration, each entry host receives it under the
// name of the service instead of a route.
func TestClaimBeforeConfiguration(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 15)
	for name := range d.commands {
		d.start(name)
	}
	hosts := map[string]any{"hosts": d.plan.Hosts}
	require.Eventually(t, func() bool {
		return demo.SendJSON(http.MethodPut, "http://"+d.plan.Platform+"/admin/hosts", "", hosts) == nil
	}, 5*time.Second, 20*time.Millisecond)
	for entry := range d.plan.Entries {
		send := func(path, key string) reply {
			return d.call(entry, "app", http.MethodPost, "/services/listing/"+path, "bundle", "Idempotency-Key", key)
		}
		d.eventually(10*time.Second, func() reply { return send("ready", fmt.Sprint("ready-", entry)) },
			func(r reply) bool { return r.status == http.StatusOK })
		send("early", "early")
	}
	require.Equal(t, 1, newClaimChecker(d).executions()["early"])
}

// TestClaimWithFailingBackend guards against a request that is sent to a second
// backend server although the first may have run it, against a request that is not
// retried although the first server reported that it did not run, and against a wrong
// verdict not_run if the deadline passes before, during or after the claim, the
// sending or the run.
func TestClaimWithFailingBackend(t *testing.T) {
	t.Parallel()
	d := deploy(t, 13).waitServing()
	c := newClaimChecker(d)
	d.setFault("service-1", `{"refuse":3}`)
	for n := range 6 {
		key := fmt.Sprint("refused-", n)
		require.Equal(t, http.StatusOK, c.send(0, key).status)
	}
	for _, fault := range []string{"cut_before_run", "cut_after_run"} {
		d.setServiceFault(`{"` + fault + `":1}`)
		require.Equal(t, http.StatusBadGateway, c.send(0, fault).status)
		d.setServiceFault(`{}`)
		c.requireDuplicateRefused(1, fault)
		c.requireDuplicateRefused(0, fault)
	}

	var wg sync.WaitGroup
	d.setTableFault(`"slow_ms":10,"jitter_ms":30`)
	d.setServiceFault(`{"slow_ms":30}`)
	for worker := range 8 {
		wg.Go(func() {
			for ms := worker; ms < 160; ms += 8 {
				key := fmt.Sprint("deadline-", ms)
				c.send(worker%3, key, "X-Deadline-Ms", fmt.Sprint(ms))
			}
		})
	}
	wg.Wait()
	d.setServiceFault(`{}`)
	d.setTableFault("")
	time.Sleep(300 * time.Millisecond)
	ran, refused := c.verify()
	t.Logf("%d requests ran, %d were refused as not run", ran, refused)
	require.Positive(t, refused)
	for ms := range 160 {
		c.send(2, fmt.Sprint("deadline-", ms))
	}

	d.setServiceFault(`{"die_after_accept":1}`)
	require.NotEqual(t, http.StatusOK, c.send(0, "died").status)
	c.requireDuplicateRefused(1, "died")
	c.verify()
	require.Zero(t, c.executions()["died"])
}

// TestClaimsUnderRandomFaults guards against second runs under combinations of faults
// that no other test has: entry hosts are killed and suspended, the load balancer
// repeats requests, the table service loses answers and the backend servers fail.
func TestClaimsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 14)
	d.commands["balancer"] = append(d.commands["balancer"], "--repeat")
	d.startAll()
	d.waitServing()
	c := newClaimChecker(d)
	d.setTableFault(`"lose_answer_share":0.2,"reject_rate":0.05,"jitter_ms":20`)
	ends := time.Now().Add(6 * time.Second)
	var wg sync.WaitGroup
	for worker := range 10 {
		random := rand.New(rand.NewPCG(14, uint64(worker)))
		wg.Go(func() {
			for n := 0; time.Now().Before(ends); n++ {
				key := fmt.Sprintf("storm-%d-%d", worker, n)
				for range 1 + random.IntN(3) {
					c.send(random.IntN(4)-1, key, "X-Deadline-Ms", fmt.Sprint(20+random.IntN(2000)))
				}
			}
		})
	}
	for i := 0; time.Now().Before(ends); i++ {
		d.setServiceFault([]string{`{"slow_ms":100}`, `{"cut_after_run":3,"slow_ms":20}`, `{"cut_before_run":3}`, `{"refuse":5}`}[i%4])
		time.Sleep(200 * time.Millisecond)
		if i%4 == 1 {
			d.restart("entry-2")
		}
		if i%4 == 3 {
			d.signal("entry-3", syscall.SIGSTOP)
			time.Sleep(400 * time.Millisecond)
			d.signal("entry-3", syscall.SIGCONT)
		}
	}
	wg.Wait()
	d.setServiceFault(`{}`)
	time.Sleep(500 * time.Millisecond)
	ran, refused := c.verify()
	t.Logf("%d requests ran, %d were refused as not run, %d keys", ran, refused, len(c.answers))
	require.Positive(t, ran)
	require.False(t, strings.Contains(d.log("entry-1"), "panic"))
}
