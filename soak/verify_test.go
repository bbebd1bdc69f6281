package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lavenderstand/lavenderstand/standin/pamoja"
)

// ledger records what the backend servers executed and which orders they received.
type ledger struct {
	mu         sync.Mutex
	runs       map[string][]pamoja.Run // by request ID
	fences     map[string]uint64       // highest fencing token by server
	violations []string                // failures found while requests run
	onRun      func(pamoja.Run)        // called for each run, may be nil
}

func (l *ledger) recordRun(r pamoja.Run) {
	if l.onRun != nil {
		l.onRun(r)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.ID] = append(l.runs[r.ID], r)
}

// checkFence records a violation if the fencing token of a server decreases.
func (l *ledger) checkFence(server string, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fences == nil {
		l.fences = make(map[string]uint64)
	}
	if fence < l.fences[server] {
		l.violations = append(l.violations, fmt.Sprintf("server %s received an order with fencing token %d after one with %d", server, fence, l.fences[server]))
	}
	l.fences[server] = fence
}

func (l *ledger) runsOf(id string) []pamoja.Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// trainer submits lots one after the other and keeps the results that it read.
type trainer struct {
	cluster *cluster
	name    string
	lots    []*submittedLot
}

type submittedLot struct {
	id       string
	items    []string
	accepted bool
	refused  bool // every attempt to submit it was refused
	results  []result
}

type result struct {
	ID       string `json:"identifier"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
	Score    string `json:"score"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// client keeps connections open as callers do, also to a host that is stopping.
var client = &http.Client{Timeout: 4 * time.Second}

// call sends a request to the host at index modulo the number of hosts. The status
// is 0 if no complete answer arrives.
func (c *cluster) call(index int, method, path, id string, body []byte) (status int, answer []byte, stamp string) {
	return c.callWith(nil, index, method, path, id, body)
}

// callWith is like call and adds headers.
func (c *cluster) callWith(headers map[string]string, index int, method, path, id string, body []byte) (status int, answer []byte, stamp string) {
	h := c.hosts[index%len(c.hosts)]
	r, err := http.NewRequest(method, "http://"+h.frontAddress+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "h"
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Milliseconds", "3000")
	r.GetBody = nil // the HTTP client must not send a request again
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, ""
	}
	return resp.StatusCode, answer, resp.Header.Get("Response-Stamp")
}

// isRefusal reports whether a status means that no part of the request ran.
func isRefusal(status int) bool { return status == 429 || status == 503 }

// train submits lots until end and reads the results of each until it is complete.
func (tr *trainer) train(end time.Time, itemsPerLot int) {
	for n := 0; time.Now().Before(end); n++ {
		l := &submittedLot{id: fmt.Sprintf("%s-lot-%d", tr.name, n), refused: true}
		tr.lots = append(tr.lots, l)
		var items []map[string]any
		for i := range itemsPerLot {
			id := fmt.Sprintf("%s-item-%d", l.id, i)
			l.items = append(l.items, id)
			items = append(items, map[string]any{
				"identifier": id, "path": "/lots/x", "headers": map[string]string{"Model": "m", "Length-Hint": "400"}, "group": "g",
				"scorer": map[string]any{"identifier": "score-" + id, "host": "h", "path": "/scores/x"},
			})
		}
		body := encode(map[string]any{"step": n, "model": "m", "minimumVersion": 1, "targetGroups": 1, "items": items})
		for try := 0; try < 40 && !l.accepted && time.Now().Before(end); try++ {
			status, _, _ := tr.cluster.call(n+try, http.MethodPost, "/lots/x", l.id, body)
			l.accepted = status == http.StatusAccepted
			l.refused = l.refused && isRefusal(status)
			if !l.accepted {
				time.Sleep(100 * time.Millisecond)
			}
		}
		tr.readResults(l, end, n)
	}
}

// readResults reads the results of an accepted lot until it has all or end passes.
// The reads go to the hosts in turn, beginning after index.
func (tr *trainer) readResults(l *submittedLot, end time.Time, index int) {
	for l.accepted && len(l.results) < len(l.items) && time.Now().Before(end) {
		index++
		status, answer, _ := tr.cluster.call(index, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", l.id, len(l.results)), "read", nil)
		var p page
		if status == http.StatusNotFound {
			tr.cluster.t.Errorf("lot %s was accepted, but reading it returned 404", l.id)
			return
		}
		if status == http.StatusOK && json.Unmarshal(answer, &p) == nil {
			l.results = append(l.results, p.Results...)
		}
		time.Sleep(80 * time.Millisecond)
	}
}

// verify checks that each accepted lot has a correct result for every item, and that
// a second read from the start returns the same results in the same order. It returns
// the number of results.
func (tr *trainer) verify(t *testing.T, end time.Time) (listed int) {
	for _, l := range tr.lots {
		if !l.accepted {
			tr.verifyRefused(t, l)
			continue
		}
		tr.readResults(l, end, 0)
		if len(l.results) != len(l.items) {
			t.Errorf("lot %s has %d of %d results after the settle time", l.id, len(l.results), len(l.items))
			continue
		}
		again := &submittedLot{id: l.id, items: l.items, accepted: true}
		tr.readResults(again, end, 1)
		seen := make(map[string]bool)
		for i, r := range l.results {
			if i < len(again.results) && fmt.Sprint(again.results[i]) != fmt.Sprint(r) {
				t.Errorf("result %d of lot %s changed from %v to %v on the second read", i, l.id, r, again.results[i])
			}
			if seen[r.ID] {
				t.Errorf("item %s is listed twice", r.ID)
			}
			seen[r.ID] = true
			if r.State == "completed" && (!tr.cluster.wholeText(r.ID, r.Text) || r.Score != "stamp-score-"+r.ID || len(r.Versions) == 0) {
				t.Errorf("completed item %s has a wrong text or score, or no version: %+v", r.ID, r)
			}
		}
		listed += len(l.results)
	}
	return listed
}

// wholeText reports whether a text is the whole text of an item or stream as servers of one
// software version generate it.
func (c *cluster) wholeText(id, text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, software := range c.software {
		if text == pamoja.Text(id, software, c.textEvents) {
			return true
		}
	}
	return false
}

// verifyRefused checks that no item of a lot ran if every attempt to submit it was refused.
func (tr *trainer) verifyRefused(t *testing.T, l *submittedLot) {
	for _, id := range l.items {
		if l.refused && len(tr.cluster.ledger.runsOf(id)) > 0 {
			t.Errorf("item %s ran although every attempt to submit its lot was refused", id)
		}
	}
}

// caller sends plain requests one after the other and checks each answer.
type caller struct {
	cluster        *cluster
	name           string
	served, failed int
}

// run sends requests until end. Every third request must run at most once.
func (c *caller) run(t *testing.T, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		path, unsafe := "/calls/x", n%3 == 0
		if unsafe {
			path = "/once/x"
		}
		id := fmt.Sprintf("%s-%d", c.name, n)
		status, answer, stamp := c.cluster.call(n, http.MethodPost, path, id, []byte("x"))
		switch {
		case status == http.StatusOK && (string(answer) != "answer to "+id || stamp != "stamp-"+id):
			t.Errorf("request %s was answered with %q and stamp %q, want its own ID in both", id, answer, stamp)
		case status == http.StatusOK:
			c.served++
		case status == http.StatusNotFound:
			t.Errorf("request %s was answered with 404 although its route exists", id)
		default:
			c.failed++
		}
		if runs := len(c.cluster.ledger.runsOf(id)); unsafe && (runs > 1 || (runs > 0 && isRefusal(status))) {
			t.Errorf("request %s, which must run at most once, ran %d times and was answered with status %d", id, runs, status)
		}
		time.Sleep(60 * time.Millisecond)
	}
}
