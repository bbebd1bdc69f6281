package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// crash ends a sampler as the end of its process does: its connections break, and nothing
// listens at its address any more. Its record is removed after three liveness report intervals.
func (s *sampler) crash() {
	close(s.ended)
	_ = s.server.Close()
	s.c.record.add("disruption: sampler %s crashed", s.id)
	time.AfterFunc(3600*time.Millisecond, func() { s.c.store.Remove("servers", s.id) })
}

// share counts the requests of a route and those that were served.
type share struct {
	mu           sync.Mutex
	sent, served int
	statuses     map[int]int
}

func (s *share) add(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if status == http.StatusOK {
		s.served++
	}
	if s.statuses == nil {
		s.statuses = make(map[int]int)
	}
	s.statuses[status]++
}

func (s *share) ratio() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// requests sends requests at an interval until stop is closed. count returns where an answer
// counts, nil for nowhere.
func (c *cluster) requests(hosts []*host, path func(n int) string, interval time.Duration, stop chan struct{}, count func(sent time.Time) *share) {
	kept := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		h := hosts[n%len(hosts)]
		go func() {
			sent, id, status := time.Now(), newID(), 0
			r, err := http.NewRequest(http.MethodGet, "http://"+h.front+path(n), nil)
			if err != nil {
				return
			}
			r.Host = routeHost
			r.Header.Set("Attempt-Id", id)
			r.Header.Set("Deadline-Milliseconds", "2000")
			if resp, err := kept.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				status = resp.StatusCode
			}
			c.record.add("requester: %s of %s at %s, sent at %.3f: status %d", id, r.URL.Path, h.name, sent.Sub(c.record.start).Seconds(), status)
			if s := count(sent); s != nil {
				s.add(status)
			}
		}()
	}
}

// playCrashes lets one of six samplers crash, five times. Requesters of a route that was added
// later ask for the same record all the time, at two of the three hosts.
func playCrashes(c *cluster, trouble bool) (o outcome, err error) {
	const lookupWork, crashes, downFor, pause = 150 * time.Millisecond, 5, 4500 * time.Millisecond, 8 * time.Second
	app := func(id string) *sampler {
		return &sampler{id: id, service: "wuno96b", slots: 6, queue: 24, work: func(string) time.Duration { return lookupWork }}
	}
	var apps []*sampler
	for i := range 6 {
		s := app(fmt.Sprintf("i-app%d", i))
		if err := c.addSampler(s); err != nil {
			return o, err
		}
		apps = append(apps, s)
	}
	first := routes(2000)
	c.setDesired(first, services())
	for i := range 3 {
		if err := c.addHost(i); err != nil {
			return o, err
		}
	}
	if err := c.waitReady(15 * time.Second); err != nil {
		return o, err
	}
	added := map[string]any{"name": "r-overview", "host": routeHost, "prefix": "/vexo447/", "kind": "safe", "service": "wuno96b", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 2, "attempts": 4}
	time.Sleep(2 * time.Second)
	c.setDesired(append(first, added), services())
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var steadyFrom time.Time // zero while the samplers are disturbed
	var firstRoutes, addedRoute, addedBefore share
	begun := time.Now()
	counter := func(steady, before *share) func(time.Time) *share {
		return func(sent time.Time) *share {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !steadyFrom.IsZero() && sent.After(steadyFrom):
				return steady
			case sent.Sub(begun) < 5*time.Second:
				return before
			}
			return nil
		}
	}
	stop := make(chan struct{})
	go c.requests(c.hosts[:2], func(int) string { return "/vexo447/platform-4" }, 7*time.Millisecond, stop, counter(&addedRoute, &addedBefore))
	go c.requests(c.hosts, func(n int) string { return fmt.Sprintf("/lohu930/clock-%d", n) }, 50*time.Millisecond, stop, counter(&firstRoutes, nil))
	time.Sleep(6 * time.Second)
	for n := range crashes {
		if trouble {
			apps[n].crash()
		}
		time.Sleep(downFor)
		if trouble {
			if err := c.addSampler(app(fmt.Sprintf("i-app%d", 6+n))); err != nil {
				return o, err
			}
		}
		time.Sleep(pause - downFor)
	}
	mu.Lock()
	steadyFrom = time.Now() // more than contactMs after the last crash and return
	mu.Unlock()
	time.Sleep(10 * time.Second)
	close(stop)
	time.Sleep(3 * time.Second)
	o.seen = fmt.Sprintf("before the first crash %d of %d requests of the added route were served; in the steady 10 s after the last, %d of %d, and %d of %d of the first routes; statuses of the added route: %v",
		addedBefore.served, addedBefore.sent, addedRoute.served, addedRoute.sent, firstRoutes.served, firstRoutes.sent, addedRoute.statuses)
	if addedRoute.sent >= 20 && addedRoute.ratio() < firstRoutes.ratio()/4 {
		o.broken = append(o.broken, fmt.Sprintf("CONFIG: in steady state %d of %d requests on a route that was added later were served, and %d of %d on the first routes",
			addedRoute.served, addedRoute.sent, firstRoutes.served, firstRoutes.sent))
	}
	return o, nil
}
