package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// pathServer is a stand-in of a plain service that remembers the targets of the requests that it
// ran, as they stood on the wire.
type pathServer struct {
	id, service string
	mu          sync.Mutex
	ran         map[string][]string // targets by attempt
	loses       func() bool         // whether the answer to a request is lost after it has run; nil for never
}

func (p *pathServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	p.mu.Lock()
	p.ran[id] = append(p.ran[id], r.RequestURI)
	p.mu.Unlock()
	time.Sleep(25 * time.Millisecond)
	if p.loses != nil && p.loses() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, "answer")
}

func (c *cluster) addPathServer(id, service string) *pathServer {
	p := &pathServer{id: id, service: service, ran: make(map[string][]string)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("server: %v", err)
	}
	go func() { _ = http.Serve(l, p) }()
	c.keepRecord(id, service, l.Addr().String(), 8, nil)
	return p
}

func plainRoute(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "prefix": prefix, "kind": kind, "service": "app", "timeoutMs": 2000, "targetLatencyMs": 150, "attempts": 3, "priority": 1,
	}
}

// sendTarget sends a POST with a target on a new channel and returns the status line.
func sendTarget(h *host, target, id string) string {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: 2000\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx", target, routeHost, id)
	data, _ := io.ReadAll(conn)
	if len(data) < 12 {
		return "no answer"
	}
	return string(data[9:12])
}

// slashes sends requests whose paths begin with two slashes. Without trouble, they begin with one.
func slashes(c *cluster, trouble bool) bool {
	c.setState([]map[string]any{plainRoute("all", "/", "safe"), plainRoute("yards", "/yards/", "safe")}, []map[string]any{{"name": "app", "healthPath": "/health"}})
	s := c.addPathServer("app-1", "app")
	c.addHosts(3)
	time.Sleep(2 * time.Second)
	targets := []string{"/yards/12/confirm?x=1", "/claims/7"}
	if trouble {
		targets = []string{"//yards/12/confirm?x=1", "//claims/7"}
	}
	changed := 0
	for n := range 30 {
		h, target, id := c.hosts[n%len(c.hosts)], targets[n%len(targets)], fmt.Sprintf("p%d", n)
		status := sendTarget(h, target, id)
		s.mu.Lock()
		got := s.ran[id]
		s.mu.Unlock()
		c.rec.log("request %s: POST %s to %s, answered %s; run as POST %s", id, target, h.name, status, got)
		if len(got) > 0 && got[0] != target {
			changed++
		}
	}
	c.rec.log("UNASKED: %d of 30 requests ran with their path changed (the rule allows none)", changed)
	return changed > 0
}

// answersLost sends requests of an unsafe route whose paths hold an escaped slash, while one of two
// samplers loses answers.
func answersLost(c *cluster, trouble bool) bool {
	const (
		channels  = 8
		lostShare = 0.05            // of the requests that one of two samplers runs
		lostFor   = 5 * time.Second // once
	)
	routes := []map[string]any{plainRoute("claims", "/claims/", "unsafe"), plainRoute("lookups", "/claims/lookup/", "safe")}
	for _, r := range routes {
		r["targetLatencyMs"] = 1500 // so that a busy machine causes no second attempt
	}
	c.setState(routes,
		[]map[string]any{{"name": "app", "healthPath": "/health"}})
	servers := []*pathServer{c.addPathServer("app-1", "app"), c.addPathServer("app-2", "app")}
	c.addHosts(3)
	time.Sleep(4 * time.Second)
	begin := time.Now()
	if trouble {
		servers[0].loses = func() bool {
			at := time.Since(begin)
			return at > 2*time.Second && at < 2*time.Second+lostFor && rand.Float64() < lostShare
		}
	}
	var wg sync.WaitGroup
	for i := range channels {
		wg.Go(func() {
			for n := 0; time.Since(begin) < 10*time.Second; n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				target := fmt.Sprintf("/claims/lookup%%2F%d", n)
				c.rec.log("request %s: POST %s, answered %s", id, target, sendTarget(c.hosts[(i+n)%len(c.hosts)], target, id))
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	runs := make(map[string][]string)
	for _, s := range servers {
		s.mu.Lock()
		for id, targets := range s.ran {
			for _, target := range targets {
				runs[id] = append(runs[id], s.id+" "+target)
			}
		}
		s.mu.Unlock()
	}
	if len(runs) == 0 {
		unable("no request ran")
	}
	twice := 0
	for id, at := range runs {
		if len(at) > 1 {
			twice++
			c.rec.log("request %s of the unsafe route ran %d times: %q", id, len(at), at)
		}
	}
	c.rec.log("TWICE: %d of %d requests of the unsafe route ran more than once (the rule allows none)", twice, len(runs))
	return twice > 0
}
