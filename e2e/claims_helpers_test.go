package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/standin"
)

// Verdicts of error answers as callers see them.
const (
	notRun     = "not_run"
	mayHaveRun = "may_have_run"
)

// reasonAndVerdict returns the reason and the verdict of an error answer.
func (r reply) reasonAndVerdict() (reason, verdict string) {
	var body struct {
		Error struct{ Reason, Verdict string }
	}
	_ = json.Unmarshal([]byte(r.body), &body)
	return body.Error.Reason, body.Error.Verdict
}

// claimChecker sends requests that must run at most once and keeps all answers by
// idempotency key.
type claimChecker struct {
	d           *deployment
	mu          sync.Mutex
	answers     map[string][]reply
	viaBalancer map[string]bool // keys that were sent through the load balancer
}

func newClaimChecker(d *deployment) *claimChecker {
	return &claimChecker{d: d, answers: make(map[string][]reply), viaBalancer: make(map[string]bool)}
}

// send sends the request of a key to the entry host with the given index, or to the
// load balancer if it is -1.
func (c *claimChecker) send(entry int, key string, headers ...string) reply {
	headers = append([]string{"Idempotency-Key", key}, headers...)
	host := c.d.plan.Balancer
	if entry >= 0 {
		host = c.d.plan.Entries[entry]
	}
	r := c.d.callAddress(host, "app", http.MethodPost, "/services/claims/"+key, "bundle "+key, headers...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[key] = append(c.answers[key], r)
	c.viaBalancer[key] = c.viaBalancer[key] || entry < 0
	return r
}

// sendAsync sends a request in the background. Its answer arrives on the channel.
func (c *claimChecker) sendAsync(entry int, key string, headers ...string) <-chan reply {
	answer := make(chan reply, 1)
	go func() { answer <- c.send(entry, key, headers...) }()
	return answer
}

// executions returns how often the plain services ran the request of each key.
func (c *claimChecker) executions() map[string]int {
	c.d.t.Helper()
	files, err := filepath.Glob(filepath.Join(c.d.dir, "ledgers", "service-*.jsonl"))
	require.NoError(c.d.t, err)
	runs := make(map[string]int)
	for _, file := range files {
		entries, err := standin.ReadJournal(file)
		require.NoError(c.d.t, err)
		for _, e := range entries {
			if e.Kind == standin.EntryRun && e.Key != "" {
				runs[e.Key]++
			}
		}
	}
	return runs
}

// verify compares all answers with the ledgers of the plain services. It returns
// the number of requests that ran and of those that were refused as not run. A load
// balancer that repeats a request hides the answer to the first copy, so the verdict
// "not run" is checked only for keys that were never sent through it.
func (c *claimChecker) verify() (ran, refused int) {
	c.d.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.executions()
	for key, answers := range c.answers {
		allNotRun, confirmed := true, false
		for _, r := range answers {
			_, verdict := r.reasonAndVerdict()
			allNotRun = allNotRun && r.err == nil && verdict == notRun
			if r.status == http.StatusOK && r.err == nil {
				confirmed = true
				require.Equal(c.d.t, standin.ServiceAnswer(http.MethodPost, "/"+key, []byte("bundle "+key)), r.body, "the answer belongs to another request")
			}
		}
		require.LessOrEqual(c.d.t, runs[key], 1, "request %s ran more than once; answers: %+v", key, answers)
		if confirmed {
			require.Equal(c.d.t, 1, runs[key], "request %s was answered with 200 but did not run", key)
		}
		if allNotRun && !c.viaBalancer[key] {
			require.Zero(c.d.t, runs[key], "request %s ran although every answer had the verdict not_run: %+v", key, answers)
			refused++
		}
		ran += runs[key]
	}
	return ran, refused
}

// requireDuplicateRefused checks that a repeated request is refused because the first
// one may have run.
func (c *claimChecker) requireDuplicateRefused(entry int, key string) {
	c.d.t.Helper()
	r := c.send(entry, key)
	require.NoError(c.d.t, r.err)
	reason, verdict := r.reasonAndVerdict()
	require.Equal(c.d.t, http.StatusConflict, r.status, r.body)
	require.Equal(c.d.t, []string{"duplicate_request", mayHaveRun}, []string{reason, verdict})
}

// setServiceFault sets the faults of both plain services.
func (d *deployment) setServiceFault(fault string) {
	d.t.Helper()
	d.setFault("service-1", fault)
	d.setFault("service-2", fault)
}

// setTableFault sets the faults of the table service only; an empty string clears them.
// The argument is a list of JSON members without braces.
func (d *deployment) setTableFault(fault string) {
	d.t.Helper()
	if fault != "" {
		fault = "," + fault
	}
	d.setFault("platform", `{"role":"tables"`+fault+`}`)
}

// rowExists reads a row directly from the table service.
func (d *deployment) rowExists(key string) bool {
	d.t.Helper()
	resp, err := http.Get("http://" + d.plan.Platform + "/v1/row?key=" + key)
	require.NoError(d.t, err)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// entryName returns the process name of the entry host with the given index.
func entryName(index int) string { return fmt.Sprintf("entry-%d", index+1) }

// whileSuspended suspends a process with SIGSTOP while during runs.
func (d *deployment) whileSuspended(name string, during func()) {
	d.t.Helper()
	d.signal(name, syscall.SIGSTOP)
	defer d.signal(name, syscall.SIGCONT)
	during()
}

// waitServing waits until every entry host is ready and serves a request to a
// backend server. A host may report ready before it has read the list of
// backend servers.
func (d *deployment) waitServing() *deployment {
	d.t.Helper()
	for entry := range d.plan.Entries {
		d.waitHostServing(entry)
	}
	return d
}

// waitHostServing is waitServing for one entry host.
func (d *deployment) waitHostServing(entry int) {
	d.t.Helper()
	for _, path := range []string{"/services/items/oak", "/readyz"} {
		d.eventually(12*time.Second, func() reply { return d.call(entry, "app", http.MethodGet, path, "") },
			func(r reply) bool { return r.status == http.StatusOK })
	}
}
