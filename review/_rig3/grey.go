package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// greyServer is a stand-in of a plain service. While fails is true, it runs a request and then
// answers with a failure, which does not say that the request was not executed.
type greyServer struct {
	id    string
	fails func() bool
	mu    sync.Mutex
	ran   map[string]int // answered status by attempt
}

func (g *greyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if r.Method == http.MethodGet {
		w.Header().Set("Instance-Id", g.id)
		return // healthy
	}
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != g.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	status := http.StatusOK
	g.mu.Lock()
	fails := g.fails
	g.mu.Unlock()
	if fails != nil && fails() {
		status = http.StatusServiceUnavailable
	}
	time.Sleep(25 * time.Millisecond)
	g.mu.Lock()
	g.ran[id] = status
	g.mu.Unlock()
	w.Header().Set("Response-Stamp", "stamp-"+g.id+"-"+id)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "answer to "+id)
}

// grey sends requests of an unsafe route. With trouble, one of seven samplers runs a part of its
// requests and fails them with status 503, without Not-Executed.
func grey(c *cluster, trouble bool) bool {
	const (
		samplers  = 8 // one of them is a share of 0.125
		failShare = 0.45
		failFrom  = 3 * time.Second
		failFor   = 6500 * time.Millisecond
		channels  = 10
	)
	c.setState([]map[string]any{plainRoute("claims", "/claims/", "unsafe")}, []map[string]any{{"name": "app", "healthPath": "/health"}})
	begin := time.Now().Add(4 * time.Second)
	var servers []*greyServer
	for i := range samplers {
		g := &greyServer{id: fmt.Sprintf("app-%d", i), ran: make(map[string]int)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			unable("server: %v", err)
		}
		go func() { _ = http.Serve(l, g) }()
		c.keepRecord(g.id, "app", l.Addr().String(), 6, nil)
		servers = append(servers, g)
	}
	c.addHosts(3)
	time.Sleep(time.Until(begin))
	if trouble {
		time.AfterFunc(failFrom, func() { turnGrey(c, servers, failShare, failFor) })
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[string]int)
	for i := range channels {
		wg.Go(func() {
			for n := 0; time.Since(begin) < 12*time.Second; n++ {
				work := fmt.Sprintf("w%d-%d", i, n)
				for attempt := range 2 { // a requester repeats an unsafe request only after a promise
					id := fmt.Sprintf("%s-%d", work, attempt)
					h := c.hosts[(i+n+attempt)%len(c.hosts)]
					status := postClaim(h, work, id)
					mu.Lock()
					statuses[id] = status
					mu.Unlock()
					c.rec.log("claim %s, attempt %s at %s: answered %d", work, id, h.name, status)
					if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
						break
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	false503, works := 0, make(map[string]int)
	for _, g := range servers {
		g.mu.Lock()
		for id, status := range g.ran {
			works[id[:len(id)-2]]++
			if s := statuses[id]; s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests {
				false503++
				c.rec.log("attempt %s was answered %d and had run at %s, which had answered %d without Not-Executed", id, s, g.id, status)
			}
		}
		g.mu.Unlock()
	}
	if len(works) == 0 {
		unable("no request ran")
	}
	twice := 0
	for _, n := range works {
		if n > 1 {
			twice++
		}
	}
	for _, g := range servers {
		byStatus := make(map[int]int)
		for _, status := range g.ran {
			byStatus[status]++
		}
		c.rec.log("sampler %s ran: %v (by status)", g.id, byStatus)
	}
	c.rec.log("REFUSED: %d of %d requests of the unsafe route were answered 503 or 429 and had run (the rule allows none); %d claims ran twice because their requesters trusted that promise", false503, len(statuses), twice)
	return false503 > 0
}

// turnGrey makes the sampler that ran most requests so far fail a share of its requests for a time.
func turnGrey(c *cluster, servers []*greyServer, share float64, duration time.Duration) {
	var busiest *greyServer
	most := -1
	for _, g := range servers {
		g.mu.Lock()
		n := len(g.ran)
		g.mu.Unlock()
		if n > most {
			busiest, most = g, n
		}
	}
	end := time.Now().Add(duration)
	c.rec.log("sampler %s fails %.2f of its requests for %s", busiest.id, share, duration)
	busiest.mu.Lock()
	busiest.fails = func() bool { return time.Now().Before(end) && rand.Float64() < share }
	busiest.mu.Unlock()
}

// postClaim sends a claim on a new channel and returns the status of the answer, 0 for none.
func postClaim(h *host, work, id string) int {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "POST /claims/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: 2000\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx", work, routeHost, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
