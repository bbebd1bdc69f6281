package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lateCreation: writes of the store get no answer and are done late while a lot is accepted.
// The lot runs, is read and ended. After the time for which its results are promised, a host
// is stopped and starts again. No item of the ended lot may run any more. Only runs that begin
// when all hosts have been in touch for contactMs count.
func lateCreation(record *recorder, trouble bool) (broken []string) {
	const cancel, contact = 3 * time.Second, 3 * time.Second
	statusS := 10
	if os.Getenv("STATUS_S") == "120" { // as in the site files: 110 s longer than a script may take
		statusS = 120
	}
	c := newClusterWith(record, 3, true, statusS)
	var mu sync.Mutex
	var ended, restarted time.Time // restarted: the last start of a host was complete
	runs := 0
	onRun := func(server, attempt string) {
		mu.Lock()
		defer mu.Unlock()
		runs++
		record.add("%s runs item %s", server, attempt)
		if !ended.IsZero() && time.Since(ended) > cancel && (restarted.IsZero() || time.Since(restarted) > contact) {
			broken = append(broken, fmt.Sprintf("UNASKED: %s runs item %s %.1f s after the ack of its lot's end", server, attempt, time.Since(ended).Seconds()))
		}
	}
	for i := range 4 {
		e := &streamer{id: fmt.Sprintf("i-engine-%d", i+1), events: 100, text: "event", n: make(chan struct{}, 8), onRun: onRun}
		register(c.store, e.id, "engines", serve(e), 8, func(m map[string]any) { m["models"] = []map[string]any{{"name": "m0", "version": 1}} })
	}
	c.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "lots", "host": "h.example", "prefix": "/lots/", "kind": "rollout", "service": "engines", "sticky": true,
			"timeoutMs": 10000, "targetLatencyMs": 500, "runAimMs": 7500, "maxAgeS": 40, "attempts": 3, "priority": 0,
		}},
		"services": []map[string]any{{"name": "engines", "connectionLimit": 130, "engine": map[string]any{"models": []map[string]any{{"name": "m0"}}}}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 33554432, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	})
	c.startAll()
	time.Sleep(2 * time.Second)
	call := func(h *host, method, path string, header map[string]string, body []byte) (int, []byte) {
		req, _ := http.NewRequest(method, "http://"+h.front()+path, bytes.NewReader(body))
		req.Host = "h.example"
		for k, v := range header {
			req.Header.Set(k, v)
		}
		resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
		if err != nil {
			return 0, nil
		}
		defer func() { _ = resp.Body.Close() }()
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, data
	}
	submission := func(id string, n int) []byte {
		items := []map[string]any{}
		for i := range n {
			items = append(items, map[string]any{
				"identifier": fmt.Sprintf("%s-%02d", id, i), "path": "/lots/1/x", "headers": map[string]string{"Model": "m0", "Token-Counts": "540,400"},
				"body": "q83vEjRWeJA=", "tokens": 940, "group": "g1",
			})
		}
		data, _ := json.Marshal(map[string]any{"step": 1, "model": "m0", "targetGroups": 1, "items": items})
		return data
	}
	// a lot before, as of another trainer: its owner writes while answers are lost
	if status, _ := call(c.hosts[1], "POST", "/lots/0", map[string]string{"Attempt-Id": "before"}, submission("before", 16)); status != 202 {
		cannotRun("the lot before was answered %d", status)
	}
	c.store.mu.Lock()
	before, lost, until := c.store.writes, 0, time.Now().Add(4500*time.Millisecond)
	c.store.late = func(writes []row) bool {
		if !trouble || lost == 2 || time.Now().After(until) {
			return false
		}
		for _, w := range writes {
			if w.Key == "lot/lot1" {
				lost++
				record.add("a write of row %s, part %s, gets no answer and is done 3 s later if it still can be", w.Key, w.Part)
				return true
			}
		}
		return false
	}
	c.store.mu.Unlock()
	status, _ := call(c.hosts[0], "POST", "/lots/1", map[string]string{"Attempt-Id": "lot1"}, submission("lot1", 72))
	record.add("lot1, sent to %s, is answered %d", c.hosts[0].name, status)
	if status != 202 {
		cannotRun("the lot was answered %d", status)
	}
	time.Sleep(5 * time.Second)
	c.store.mu.Lock()
	all := c.store.writes - before
	c.store.mu.Unlock()
	record.add("%d of %d writes got no answer", lost, all)
	fmt.Printf("%d of %d writes got no answer\n", lost, all)
	if float64(lost) > 0.35*float64(all) {
		cannotRun("more than 0.35 of the answers were lost")
	}
	status, page := call(c.hosts[1], "GET", "/v1/lots/lot1?after=0", nil, nil)
	var results struct{ Total, Next int }
	_ = json.Unmarshal(page, &results)
	record.add("results of lot1: status %d, %d of %d", status, results.Next, results.Total)
	if status, _ = call(c.hosts[1], "DELETE", "/v1/lots/lot1", nil, nil); status != 200 {
		cannotRun("the end of the lot was answered %d", status)
	}
	mu.Lock()
	ended = time.Now()
	mu.Unlock()
	record.add("the end of lot1 is acknowledged")
	deleted := false
	for end := time.Now().Add(time.Duration(statusS+75) * time.Second); time.Now().Before(end) && !deleted; time.Sleep(200 * time.Millisecond) {
		for _, h := range c.hosts {
			for _, l := range c.logLines(h, "old lot deleted") {
				deleted = deleted || strings.Contains(l, `"lot1"`)
			}
		}
	}
	if !deleted {
		cannotRun("the lot was not removed from the store in time")
	}
	record.add("a host has removed lot1 from the store, as statusS has passed")
	if trouble {
		h := c.hosts[2]
		record.add("%s gets SIGTERM", h.name)
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-h.exited:
		case <-time.After(8 * time.Second):
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
		record.add("%s starts again", h.name)
		mu.Lock()
		restarted = time.Now().Add(time.Minute) // not in touch until the start is complete
		mu.Unlock()
		c.start(h)
		c.waitReady(h)
		mu.Lock()
		restarted = time.Now()
		mu.Unlock()
		record.add("%s is ready; it is in touch 3 s from now", h.name)
	} else {
		time.Sleep(4 * time.Second)
	}
	time.Sleep(9 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("%d runs\n", runs)
	return broken
}
