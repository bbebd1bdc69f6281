package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// sentRequest is a request as its requester saw it.
type sentRequest struct {
	id          string
	host        *host
	sent, ended time.Time
	status      int // 0 if the channel ended without a complete answer
}

// once sends one request on a channel of its own.
func (c *cluster) once(h *host, path string, deadline time.Duration) sentRequest {
	q := sentRequest{id: newID(), host: h}
	single := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+h.front+path, nil)
	if err != nil {
		return q
	}
	r.Host = routeHost
	r.Header.Set("Attempt-Id", q.id)
	r.Header.Set("Deadline-Milliseconds", fmt.Sprint(deadline.Milliseconds()))
	q.sent = time.Now()
	resp, err := single.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			q.status = resp.StatusCode
		}
	}
	q.ended = time.Now()
	c.record.add("requester: %s at %s, sent at %.3f: status %d, error %v", q.id, h.name, q.sent.Sub(c.record.start).Seconds(), q.status, err)
	return q
}

// terminate sends SIGTERM, SIGKILL after graceS, and starts the process again.
func (c *cluster) terminate(h *host) (at time.Time) {
	at = time.Now()
	c.record.add("platform: SIGTERM to %s", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(graceS):
		c.record.add("platform: SIGKILL to %s", h.name)
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
	c.record.add("platform: process of %s ended %s after SIGTERM", h.name, time.Since(at).Round(time.Millisecond))
	_ = c.startHost(h)
	return at
}

const graceS = 8 * time.Second

// playStop stops a host as planned while requests wait there for a free sampler.
func playStop(c *cluster, trouble bool) (o outcome, err error) {
	const deadline, requests = 10 * time.Second, 120
	for i := range 2 {
		s := &sampler{id: fmt.Sprintf("i-app%d", i), service: "wuno96b", slots: 6, queue: 3, work: func(string) time.Duration { return 2 * time.Second }}
		if err := c.addSampler(s); err != nil {
			return o, err
		}
	}
	all := routes(2000)
	all[0]["kind"], all[0]["timeoutMs"], all[0]["targetLatencyMs"] = "unsafe", int(deadline.Milliseconds()), 4000
	c.setDesired(all, services())
	for i := range 3 {
		if err := c.addHost(i); err != nil {
			return o, err
		}
	}
	if err := c.waitReady(15 * time.Second); err != nil {
		return o, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sent []sentRequest
	for n := range requests {
		wg.Go(func() {
			q := c.once(c.hosts[n%len(c.hosts)], fmt.Sprintf("/lohu930/claim-%d", n), deadline)
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, q)
		})
	}
	time.Sleep(time.Second)
	var stopped time.Time
	if trouble {
		stopped = c.terminate(c.hosts[0])
	}
	wg.Wait()
	time.Sleep(time.Second)
	runs := make(map[string]arrival)
	for _, a := range c.arrivalsOf("wuno96b") {
		if a.ran {
			runs[a.id] = a
		}
	}
	statuses := make(map[int]int)
	for _, q := range sent {
		statuses[q.status]++
		if _, ran := runs[q.id]; q.status != 0 || ran {
			continue
		}
		if waited := q.ended.Sub(q.sent); waited > 200*time.Millisecond && waited < deadline {
			o.broken = append(o.broken, fmt.Sprintf("LOST: request %s was sent to %s %s before its SIGTERM and waited there; its channel ended %s after the SIGTERM without an answer, with %s left; no sampler ran it",
				q.id, q.host.name, stopped.Sub(q.sent).Round(time.Millisecond), q.ended.Sub(stopped).Round(time.Millisecond), (deadline-waited).Round(time.Millisecond)))
		}
	}
	o.seen = fmt.Sprintf("%d requests sent, answers by status: %v, %d ran", len(sent), statuses, len(runs))
	return o, nil
}
