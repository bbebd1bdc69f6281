package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// app is a stand-in of a plain service. It remembers which requests it ran.
type app struct {
	id   string
	work time.Duration
	mu   sync.Mutex
	ran  map[string]int
}

func (a *app) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != a.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	a.mu.Lock()
	a.ran[id]++
	a.mu.Unlock()
	time.Sleep(a.work)
	w.Header().Set("Response-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// addApps starts plain servers of service "app".
func (c *cluster) addApps(n int, work time.Duration) []*app {
	var all []*app
	for i := range n {
		a := &app{id: fmt.Sprintf("app-%d", i), work: work, ran: make(map[string]int)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			unable("app: %v", err)
		}
		go func() { _ = http.Serve(l, a) }()
		c.keepRecord(a.id, "app", l.Addr().String(), 32, nil)
		all = append(all, a)
	}
	return all
}

func appRoute() map[string]any {
	return map[string]any{
		"name": "calls", "host": routeHost, "prefix": "/calls/", "kind": "safe", "service": "app", "timeoutMs": 2000, "targetLatencyMs": 150, "attempts": 3, "priority": 1,
	}
}

// callers are requesters with kept channels, one request at a time on each.
type callers struct {
	c    *cluster
	apps []*app
	end  time.Time
	wg   sync.WaitGroup
	mu   sync.Mutex

	answered, refused, failed int
	lost                      []lostRequest // passed on to a sampler, and the channel was closed without an answer
}

// lostRequest is a request without an answer. It counts if its machine was in touch: the case had
// not killed or started its process in the 3 s before (contactMs).
type lostRequest struct {
	id     string
	counts bool
}

// run starts n requesters of a node.
func (s *callers) run(h *host, n int) {
	for i := range n {
		s.wg.Go(func() { s.one(h, fmt.Sprintf("%s-%d", h.name, i)) })
	}
}

func (s *callers) one(h *host, name string) {
	for n := 0; time.Now().Before(s.end); {
		conn, err := net.DialTimeout("tcp", h.front, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for time.Now().Before(s.end) {
			n++
			id := fmt.Sprintf("%s-%d", name, n)
			if !s.ask(conn, reader, h, id) {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		_ = conn.Close()
	}
}

// ask sends a request on a kept channel. It reports whether the channel may be used further.
func (s *callers) ask(conn net.Conn, reader *bufio.Reader, h *host, id string) bool {
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /calls/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: 2000\r\nContent-Length: 1\r\n\r\nx", routeHost, id); err != nil {
		return false
	}
	resp, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil && resp.StatusCode == http.StatusOK:
		s.answered++
	case err == nil && resp.StatusCode == http.StatusServiceUnavailable:
		s.refused++
	case err == nil:
		s.failed++
	default:
		for _, a := range s.apps {
			a.mu.Lock()
			ran := a.ran[id]
			a.mu.Unlock()
			if ran > 0 {
				counts := h.inTouch()
				s.lost = append(s.lost, lostRequest{id, counts})
				s.c.rec.log("request %s to %s: run by %s, and its kept channel was closed without an answer (%v); machine in touch: %v", id, h.name, a.id, err, counts)
				break
			}
		}
	}
	return err == nil && !resp.Close
}

func (s *callers) log() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.rec.log("requests on kept channels: %d answered, %d refused, %d failed, %d passed on and not answered", s.answered, s.refused, s.failed, len(s.lost))
}
