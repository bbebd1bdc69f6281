package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// sampler is a stand-in of a sampler that generates streams of events.
type sampler struct {
	c                 *cluster
	id, service       string
	events, eventSize int
	gap               time.Duration
	slots, queue      int64
	running           atomic.Int64
	busy              chan struct{}
	completed         atomic.Int64 // streams that were sent to their end
}

// addSampler starts a sampler and keeps its record in the store.
func (c *cluster) addSampler(s *sampler) {
	s.c = c
	s.busy = make(chan struct{}, s.slots)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("sampler: %v", err)
	}
	go func() { _ = http.Serve(l, s) }()
	models := []map[string]any{}
	for _, name := range []string{"m0", "m1", "m2"} {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	c.keepRecord(s.id, s.service, l.Addr().String(), int(s.slots), models)
}

// keepRecord writes the record of a sampler each heartbeat.
func (c *cluster) keepRecord(id, service, address string, slots int, models []map[string]any) {
	born := time.Now().UnixMilli()
	go func() {
		for n := 0; ; n++ {
			record := map[string]any{
				"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots, "state": "ready", "coldRemainingMs": 0, "sequence": n, "born": born,
			}
			if models != nil {
				record["stage"], record["models"] = "both", models
			}
			c.set("servers", id, record)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
}

// eventData is the data of an event: it depends on the request and the number only.
func eventData(id string, n, size int) string {
	text := fmt.Sprintf("%s-%d-", id, n)
	return text + strings.Repeat("x", max(0, size-len(text)))
}

func (s *sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"stage":"both","models":[{"name":"m0","version":1,"adapters":[]},{"name":"m1","version":1,"adapters":[]},{"name":"m2","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"keyValueUsed":0,"keyValueTotal":90000,"handles":0}`)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(running, s.slots), max(0, running-s.slots), s.slots))
	if running > s.slots+s.queue {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.busy <- struct{}{}:
		defer func() { <-s.busy }()
	case <-r.Context().Done():
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Response-Stamp", "stamp-"+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	flush := http.NewResponseController(w)
	for n := after + 1; n <= s.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n, s.eventSize)); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
	}
	s.completed.Add(1)
}
