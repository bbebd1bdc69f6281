package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampler is a sampler of a service as the pages describe it: it runs a number of requests at
// once, queues a few, refuses others, and stops work at the deadline that it receives.
type sampler struct {
	c             *cluster
	id, service   string
	address       string
	slots, queue  int
	work          func(id string) time.Duration // of a plain request
	events        int                           // of a stream
	gap           time.Duration                 // between two events
	registered    func(map[string]any)          // changes the record, may be nil
	born          int64
	places, turns chan struct{}
	server        *http.Server
	ended         chan struct{} // closed by a crash
	models        []string

	mu       sync.Mutex
	versions map[string]int
	sequence int
	fence    uint64
	arrivals []arrival
}

// arrival is a request that reached a sampler.
type arrival struct {
	id     string
	at     time.Time
	ran    bool // the sampler began to work on it
	status int  // of the answer, 0 if there was none
}

func (c *cluster) addSampler(s *sampler) error {
	l, err := listen()
	if err != nil {
		return err
	}
	s.c, s.address, s.born = c, l.Addr().String(), time.Now().UnixMilli()
	s.turns, s.places = make(chan struct{}, s.slots), make(chan struct{}, s.slots+s.queue)
	s.versions = make(map[string]int)
	for _, m := range s.models {
		s.versions[m] = 1
	}
	c.samplers = append(c.samplers, s)
	s.server, s.ended = &http.Server{Handler: s}, make(chan struct{}) //nolint:gosec // a stand-in on loopback
	go func() { _ = s.server.Serve(l) }()
	go func() {
		for n := 0; ; n++ {
			s.register(n)
			select {
			case <-s.ended:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	return nil
}

func (s *sampler) register(n int) {
	r := map[string]any{
		"service": s.service, "address": s.address, "zone": "caerdydd", "version": "v1", "slots": s.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": n, "born": s.born,
	}
	if len(s.models) > 0 {
		r["stage"], r["models"] = "both", s.modelList()
	}
	s.c.store.Set("servers", s.id, mustJSON(r))
}

func (s *sampler) modelList() []map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []map[string]any
	for _, m := range s.models {
		list = append(list, map[string]any{"name": m, "version": s.versions[m], "adapters": []string{}})
	}
	return list
}

// ServeHTTP implements http.Handler.
func (s *sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/report":
		s.mu.Lock()
		sequence := s.sequence
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(mustJSON(map[string]any{"stage": "both", "models": s.modelList(), "busy": false, "sequence": sequence, "waiting": 0, "running": len(s.turns), "keyValueUsed": 0, "keyValueTotal": 90000, "handles": 0}))
	case r.URL.Path == "/v1/order":
		s.order(w, r)
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", s.id)
	default:
		s.serve(w, r)
	}
}

func (s *sampler) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model    string `json:"model"`
		Version  int    `json:"version"`
		Fence    uint64 `json:"fencingToken"`
		Holder   string `json:"holder"`
		Expected *int   `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Fence == 0 || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Fence < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case o.Expected != nil && *o.Expected != s.sequence:
		w.WriteHeader(http.StatusConflict)
	default:
		s.fence, s.versions[o.Model] = o.Fence, o.Version
		s.sequence++
		s.c.record.add("sampler %s: order of %s, version %d", s.id, o.Holder, o.Version)
		w.WriteHeader(http.StatusAccepted)
	}
}

func (s *sampler) serve(w http.ResponseWriter, r *http.Request) {
	id, at := r.Header.Get("Attempt-Id"), time.Now()
	ctx := r.Context()
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(s.turns), max(0, len(s.places)-len(s.turns)), s.slots))
	if r.Header.Get("Expected-Instance") != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	a := arrival{id: id, at: at}
	defer func() {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		s.mu.Unlock()
		s.c.record.add("sampler %s: request %s arrived at %.3f with %s ms left, ran %t, answered %d", s.id, id, at.Sub(s.c.record.start).Seconds(), r.Header.Get("Deadline-Milliseconds"), a.ran, a.status)
	}()
	refuse := func() {
		a.status = http.StatusServiceUnavailable
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(a.status)
	}
	select {
	case s.places <- struct{}{}:
		defer func() { <-s.places }()
	default:
		refuse()
		return
	}
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, at.Add(time.Duration(ms)*time.Millisecond))
		defer cancel()
	}
	select {
	case s.turns <- struct{}{}:
		defer func() { <-s.turns }()
	case <-ctx.Done():
		if r.Context().Err() == nil {
			refuse()
		}
		return
	}
	a.ran = true
	w.Header().Set("Response-Stamp", "stamp."+s.id+"."+id)
	if len(s.models) > 0 {
		a.status = s.stream(ctx, w, r, id)
		return
	}
	select {
	case <-time.After(s.work(id)):
	case <-ctx.Done():
		if r.Context().Err() == nil { // the deadline; else the requester has left
			a.status = http.StatusGatewayTimeout
			w.WriteHeader(a.status)
		}
		return
	}
	a.status = http.StatusOK
	_, _ = io.WriteString(w, "answer to "+id)
}

func eventText(id string, n int) string { return id + "-" + strconv.Itoa(n) }

func fullText(id string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = eventText(id, i+1)
	}
	return strings.Join(lines, "\n")
}

func (s *sampler) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) int {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	version := s.versions[r.Header.Get("Model")]
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.Itoa(version))
	control := http.NewResponseController(w)
	for i := after + 1; i <= s.events; i++ {
		select {
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-time.After(s.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, eventText(id, i)); err != nil {
			return 0
		}
		if control.Flush() != nil {
			return 0
		}
	}
	return http.StatusOK
}

// arrivalsOf returns the arrivals of a request at all samplers of a service.
func (c *cluster) arrivalsOf(service string) []arrival {
	var all []arrival
	for _, s := range c.samplers {
		if s.service == service {
			s.mu.Lock()
			all = append(all, s.arrivals...)
			s.mu.Unlock()
		}
	}
	return all
}
