package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// twoHolders: the host that gives the orders is stopped as planned. Orders of two holders to
// one sampler must be leaseMs apart.
func twoHolders(record *recorder, trouble bool) (broken []string) {
	const lease = 3 * time.Second
	c := newCluster(record, 3, false)
	type order struct {
		at     time.Time
		engine string
		holder string
		fence  uint64
	}
	var mu sync.Mutex
	var orders []order
	named := 1
	var engines []*engine
	for i := range 4 {
		e := &engine{
			id: fmt.Sprintf("i-engine-%d", i+1), record: record, load: 900 * time.Millisecond, version: 1,
			named: func() int { mu.Lock(); defer mu.Unlock(); return named },
			onOrder: func(engine, holder string, fence uint64) {
				mu.Lock()
				orders = append(orders, order{time.Now(), engine, holder, fence})
				mu.Unlock()
			},
		}
		register(c.store, e.id, "engines", serve(e), 8, func(m map[string]any) {
			e.mu.Lock()
			m["models"] = []map[string]any{{"name": "m0", "version": e.version}}
			e.mu.Unlock()
		})
		engines = append(engines, e)
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
	name := func() {
		mu.Lock()
		named++
		v := named
		mu.Unlock()
		c.store.put("op", "version/m0", map[string]any{"model": "m0", "version": v})
		record.add("the trainer names version %d", v)
	}
	c.startAll()
	time.Sleep(2 * time.Second)

	// holder of the newest order, and the number of orders
	last := func() (string, int) {
		mu.Lock()
		defer mu.Unlock()
		if len(orders) == 0 {
			return "", 0
		}
		return orders[len(orders)-1].holder, len(orders)
	}
	for round := range 4 {
		before := 0
		_, before = last()
		name()
		for end := time.Now().Add(9 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if _, n := last(); n >= before+4 {
				break
			}
			if time.Now().After(end) {
				cannotRun("no orders")
			}
		}
		holder, _ := last()
		var stopped *host
		for _, h := range c.hosts {
			if h.name == holder {
				stopped = h
			}
		}
		if stopped == nil {
			cannotRun("unknown holder %q", holder)
		}
		if !trouble {
			name()
			time.Sleep(8500 * time.Millisecond)
			continue
		}
		record.add("round %d: %s, which gave the last order, gets SIGTERM", round+1, holder)
		_ = stopped.cmd.Process.Signal(syscall.SIGTERM)
		name()
		time.Sleep(4500 * time.Millisecond)
		select {
		case <-stopped.exited:
		case <-time.After(8 * time.Second):
			_ = stopped.cmd.Process.Kill()
			<-stopped.exited
		}
		record.add("%s has ended and starts again", holder)
		c.start(stopped)
		c.waitReady(stopped)
		time.Sleep(4 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	newest := make(map[string]order)
	for _, o := range orders {
		if p, ok := newest[o.engine]; ok && p.holder != o.holder && o.at.Sub(p.at) < lease {
			broken = append(broken, fmt.Sprintf("ONE: %s got an order of %s (fence %d) %d ms after one of %s (fence %d)",
				o.engine, o.holder, o.fence, o.at.Sub(p.at).Milliseconds(), p.holder, p.fence))
		}
		newest[o.engine] = o
	}
	for _, h := range c.hosts {
		for _, l := range c.logLines(h, "order lease") {
			record.add("log of %s: %s", h.name, strings.TrimSpace(l))
		}
	}
	return broken
}
