package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// extraAnswer: samplers answer some requests a second time, late. A request that may run
// once only must not run twice.
func extraAnswer(record *recorder, trouble bool) (broken []string) {
	c := newCluster(record, 3, true)
	var mu sync.Mutex
	runs := make(map[string][]string)
	var troubleNow bool
	var servers []*plainServer
	for i := range 4 {
		p := &plainServer{
			id: fmt.Sprintf("i-app-%d", i+1), service: "app", slots: 6, queue: 2, record: record,
			work:   func(r *http.Request) time.Duration { return 80 * time.Millisecond },
			random: rand.New(rand.NewSource(int64(i + 1))),
			onRun: func(server, attempt string) {
				mu.Lock()
				runs[attempt] = append(runs[attempt], server)
				mu.Unlock()
			},
		}
		if i < 2 { // half of the samplers
			p.extra = func() float64 {
				mu.Lock()
				defer mu.Unlock()
				if trouble && troubleNow {
					return 0.03
				}
				return 0
			}
		}
		p.listen()
		register(c.store, p.id, "app", p.address, p.slots, nil)
		servers = append(servers, p)
	}
	c.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "confirm", "host": "h.example", "prefix": "/confirm/", "kind": "unsafe", "service": "app",
			"timeoutMs": 2000, "targetLatencyMs": 400, "attempts": 3, "priority": 2,
		}},
		"services": []map[string]any{{"name": "app", "healthPath": "/health", "connectionLimit": 96}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 33554432, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	})
	c.startAll()
	time.Sleep(time.Second)

	// requesters: each sends one request after the other, on a kept channel
	statuses := make(map[string]int)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for n := range requestersOfExtraAnswer {
		h := c.hosts[n%len(c.hosts)]
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
			random := rand.New(rand.NewSource(int64(1000 + n)))
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("a%03d%06d", n, k)
				req, _ := http.NewRequest("POST", "http://"+h.front()+"/confirm/"+id, io.NopCloser(bytes.NewReader([]byte("collect "+id))))
				req.Host = "h.example"
				req.Header.Set("Attempt-Id", id)
				req.Header.Set("Deadline-Milliseconds", "2000")
				status := 0
				resp, err := client.Do(req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					status = resp.StatusCode
				}
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
				record.add("request %s at %s answered %d", id, h.name, status)
				time.Sleep(time.Duration(random.Intn(40)) * time.Millisecond)
			}
		})
	}
	for range 10 { // ten times 5.5 s
		time.Sleep(1500 * time.Millisecond)
		set(&mu, &troubleNow, true)
		time.Sleep(5500 * time.Millisecond)
		set(&mu, &troubleNow, false)
	}
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	counts := make(map[int]int)
	for _, s := range statuses {
		counts[s]++
	}
	for _, p := range servers {
		record.add("%s gave %d answers and %d extra ones", p.id, p.answers, p.extras)
		fmt.Printf("%s gave %d answers and %d extra ones\n", p.id, p.answers, p.extras)
	}
	record.add("%d requests, by status %v", len(statuses), counts)
	fmt.Printf("%d requests, by status %v\n", len(statuses), counts)
	for id, at := range runs {
		if len(at) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s, which may run once, ran at %v and was answered %d", id, at, statuses[id]))
		}
		if s := statuses[id]; s == 503 || s == 429 {
			broken = append(broken, fmt.Sprintf("REFUSED: request %s was answered %d and ran at %v", id, s, at))
		}
	}
	return broken
}

const requestersOfExtraAnswer = 48

func set(mu *sync.Mutex, b *bool, v bool) {
	mu.Lock()
	*b = v
	mu.Unlock()
}
