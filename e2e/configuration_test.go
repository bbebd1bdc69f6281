package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/demo"
)

// TestRacingOperators guards against two accepted changes for one version, against a
// change that is lost or reported wrongly, against a version that decreases on a host,
// and against a version that is not in force everywhere in time. Operators race for
// the next version while the table service is slow or loses answers.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 31)
	tableRelay := d.relayTables("entry-3")
	d.startAll()
	d.waitServing()
	d.waitPeersKnown()
	var stopped atomic.Bool
	var watchers sync.WaitGroup
	decreases := make([]string, len(d.plan.Entries))
	for entry := range d.plan.Entries {
		watchers.Go(func() {
			for highest := uint64(0); !stopped.Load(); time.Sleep(10 * time.Millisecond) {
				version := d.versionOn(entry)
				if version != 0 && version < highest {
					decreases[entry] = fmt.Sprintf("%d after %d", version, highest)
				}
				highest = max(highest, version)
			}
		})
	}
	var changes []configChange
	version := uint64(1)
	for round, fault := range []string{``, `"lose_answer_share":0.3,"jitter_ms":400`, `"lose_requests":2,"late_writes":2,"late_ms":500`, `"slow_ms":300`} {
		d.setTableFault(fault)
		raced := d.raceChanges(version, round)
		d.setTableFault("")
		accepted := 0
		for _, c := range raced {
			if c.accepted() {
				accepted++
				d.requireInForce(version+1, c.at, 0, 1, 2)
			}
		}
		require.LessOrEqual(t, accepted, 1)
		require.True(t, fault != "" || accepted == 1, "no change was accepted although there was no fault")
		changes = append(changes, raced...)
		time.Sleep(600 * time.Millisecond) // late writes take effect in this time
		for v := range d.history() {
			version = max(version, v)
		}
		t.Logf("table service fault %q: %d changes accepted, version %d", fault, accepted, version)
	}
	// Answers of the table service to entry-3 arrive after the announcement of a
	// newer version.
	tableRelay.delay.Store(int64(400 * time.Millisecond))
	for began := time.Now(); time.Since(began) < 4500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		c := d.changeConfig(0, version, fmt.Sprint("late-", version), d.plan.Config)
		require.True(t, c.accepted(), c.reply.body)
		changes, version = append(changes, c), version+1
	}
	d.requireInForce(version, time.Now(), 0, 1, 2)
	stopped.Store(true)
	watchers.Wait()
	require.Equal(t, make([]string, len(decreases)), decreases, "the version in force decreased on a host")
	d.verifyChanges(changes)
}

// raceChanges sends 20 concurrent changes of the same version to the entry hosts in turn.
func (d *deployment) raceChanges(version uint64, round int) []configChange {
	const operators = 20
	changes := make([]configChange, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			author := fmt.Sprintf("round%d-operator%d", round, i)
			changes[i] = d.changeConfig(i%len(d.plan.Entries), version, author, d.plan.Config)
		})
	}
	wg.Wait()
	return changes
}

// TestConfigurationDuringStoreOutage guards against outdated configuration on a host
// without the table service, and against an outage of the table service that stops
// calls. Both subtests use one deployment, because a host counts towards a majority
// only some time after its start.
func TestConfigurationDuringStoreOutage(t *testing.T) {
	t.Parallel()
	d := newDeploymentWith(t, demo.PlanOptions{Seed: 32, Entries: 5, Engines: 2})
	tableRelay := d.relayTables(entryName(isolatedHost))
	started := time.Now()
	d.startAll()
	d.waitServing()
	d.waitPeersKnown()
	time.Sleep(time.Until(started.Add(majorityMinAge)))
	if !t.Run("isolated hosts serve no old configuration", func(t *testing.T) { isolateHosts(t, d, tableRelay) }) {
		return
	}
	t.Run("outage on all hosts stops no idempotent call", func(t *testing.T) { outageForAll(t, d) })
}

const (
	isolatedHost, suspendedHost = 3, 4 // indexes of entry hosts
	// majorityMinAge is the time from the start of a host until it counts towards a
	// majority: the prepares of an earlier start must have expired, and the host must
	// have read the configuration after that.
	majorityMinAge = 18 * time.Second
)

// isolateHosts guards against outdated configuration on a host that is cut off from
// the table service but not from its peers, and on a host that was suspended for
// longer than a confirmation of its configuration is valid.
func isolateHosts(t *testing.T, d *deployment, tableRelay *relay) {
	const isolated, suspended = isolatedHost, suspendedHost
	get := func(entry int, route string) reply {
		return d.call(entry, "app", http.MethodGet, "/services/"+route+"/oak", "")
	}
	d.signal(entryName(suspended), syscall.SIGSTOP)
	tableRelay.setCut(true)
	change := d.changeConfig(0, 1, "first", d.withRoute("renamed"))
	require.True(t, change.accepted(), change.reply.body)
	d.requireInForce(2, change.at, 0, 1, 2)

	// The host without the table service refuses calls in time although its peers
	// answer.
	d.eventually(inForceLimit-time.Since(change.at), func() reply { return get(isolated, "renamed") }, func(r reply) bool {
		reason, verdict := r.reasonAndVerdict()
		return reason == "config_unconfirmed" && verdict == notRun
	})
	require.Equal(t, http.StatusServiceUnavailable, d.call(isolated, "app", http.MethodGet, "/readyz", "").status)
	time.Sleep(time.Until(change.at.Add(inForceLimit)))
	var wg sync.WaitGroup
	answers := make([]reply, 12)
	for i := range answers {
		wg.Go(func() { answers[i] = get(suspended, "items") })
	}
	for range 10 {
		require.NotEqual(t, http.StatusOK, get(isolated, "items").status)
	}
	time.Sleep(200 * time.Millisecond) // the requests wait in the sockets of the suspended process
	d.signal(entryName(suspended), syscall.SIGCONT)
	for range 50 {
		require.NotEqual(t, http.StatusOK, get(suspended, "items").status)
	}
	wg.Wait()
	for _, r := range answers {
		require.NoError(t, r.err)
		require.NotEqual(t, http.StatusOK, r.status, "the host served the outdated configuration after it was resumed")
	}
	tableRelay.setCut(false)
	for _, entry := range []int{isolated, suspended, 0, 1, 2} {
		d.eventually(inForceLimit, func() reply { return get(entry, "renamed") },
			func(r reply) bool { return r.status == http.StatusOK })
		require.Equal(t, http.StatusNotFound, get(entry, "items").status)
	}
}

// outageForAll guards against hosts that refuse idempotent calls or accept a
// configuration change while no host can read the table service. It also guards
// against a change that is refused during the outage but leaves its version pending,
// which stops the service, and against a host that starts during the outage and
// serves without configuration.
func outageForAll(t *testing.T, d *deployment) {
	d.setTableFault(`"down":true`)
	began := time.Now()
	d.restart(entryName(suspendedHost))
	var changes []configChange
	for round := 0; time.Since(began) < 11*time.Second; round++ {
		if round%40 == 0 {
			c := d.changeConfig(round%2, 2, fmt.Sprint("outage-", round), d.withRoute("items"))
			require.False(t, c.accepted())
			changes = append(changes, c)
		}
		for entry := range suspendedHost {
			r := d.call(entry, "app", http.MethodGet, "/services/renamed/oak", "")
			require.Equal(t, http.StatusOK, r.status, "%s after %s: %s", entryName(entry), time.Since(began), r.body)
		}
		r := d.call(suspendedHost, "app", http.MethodGet, "/services/renamed/oak", "")
		reason, verdict := r.reasonAndVerdict()
		require.True(t, r.err != nil || reason == "config_unconfirmed" && verdict == notRun, "the host that started during the outage answered: status %d, body %s", r.status, r.body)
		time.Sleep(25 * time.Millisecond)
	}
	d.setTableFault("")
	d.verifyChanges(changes)
	d.eventually(inForceLimit, func() reply { return d.changeConfig(0, 2, "after", d.withRoute("items")).reply },
		func(r reply) bool { return r.status == http.StatusOK })
	d.waitHostServing(suspendedHost)
}
