package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// streamer is a model sampler that generates the same text for each item.
type streamer struct {
	id     string
	events int
	text   string
	n      chan struct{}
	onRun  func(server, attempt string)
}

func (s *streamer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/report" {
		reply(w, 200, map[string]any{"stage": "both", "models": []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0})
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case s.n <- struct{}{}:
	default:
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	defer func() { <-s.n }()
	if s.onRun != nil {
		s.onRun(s.id, r.Header.Get("Attempt-Id"))
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Stamp", "s."+r.Header.Get("Attempt-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= s.events; i++ {
		time.Sleep(10 * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, s.text); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// largeCommit isn't a case: no rule names what it shows. The texts of a lot hold characters
// that JSON escapes, and many items end at about the same time (all of them after an outage
// of the store). It reports whether the accepted lot was answered.
func largeCommit(record *recorder, trouble bool) (broken []string) {
	c := newCluster(record, 3, true)
	text := strings.Repeat("<td class=\"x\">a & b</td>", 9)[:200]
	if !trouble {
		text = strings.Repeat("x", 200)
	}
	for i := range 8 {
		e := &streamer{id: fmt.Sprintf("i-engine-%d", i+1), events: 40, text: text, n: make(chan struct{}, 8)}
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
	time.Sleep(time.Second)
	items := []map[string]any{}
	for i := range 72 {
		items = append(items, map[string]any{"identifier": fmt.Sprintf("%016x", i), "path": "/lots/1/x", "headers": map[string]string{"Model": "m0", "Token-Counts": "540,400"}, "body": "q83vEjRWeJA=", "tokens": 940, "group": "g1"})
	}
	data, _ := json.Marshal(map[string]any{"step": 1, "model": "m0", "targetGroups": 1, "items": items})
	req, _ := http.NewRequest("POST", "http://"+c.hosts[0].front()+"/lots/1", bytes.NewReader(data))
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", "lot1")
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(req)
	if err != nil || resp.StatusCode != 202 {
		cannotRun("submission: %v, %v", resp, err)
	}
	record.add("lot1 with 72 items is accepted")
	listed := 0
	for range 12 {
		time.Sleep(2500 * time.Millisecond)
		r2, _ := http.NewRequest("GET", "http://"+c.hosts[1].front()+"/v1/lots/lot1?after=0", nil)
		r2.Host = "h.example"
		resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(r2)
		if err != nil {
			record.add("results: %v", err)
			continue
		}
		var p struct {
			Total, Next int
		}
		b, _ := io.ReadAll(resp.Body)
		_ = json.Unmarshal(b, &p)
		listed = p.Next
		c.store.mu.Lock()
		record.add("results: status %d, %d of %d listed; the store refused %d calls over its limits", resp.StatusCode, p.Next, p.Total, c.store.refused)
		c.store.mu.Unlock()
	}
	if listed < 72 {
		broken = append(broken, fmt.Sprintf("not a rule: 30 s after the 202, %d of 72 results are listed, though all texts are complete", listed))
	}
	return broken
}
