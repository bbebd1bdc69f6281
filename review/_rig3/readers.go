package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func envInt(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

// reads counts the reads of the requesters.
type reads struct{ whole, cut, refused, none atomic.Int64 }

// readers has requesters ask two of three nodes for the bodies of items of an open batch
// submission, each requester on one channel at a time, again and again. With trouble they read
// slowly, without it at once; they ask equally often.
func readers(c *cluster, trouble bool) bool {
	c.memoryMB = envInt("REVIEW3_MEMORY_MB", 184)
	perHost := envInt("REVIEW3_READERS", 52)
	itemBytes := envInt("REVIEW3_BODY", 4_000_000)
	rate := envInt("REVIEW3_RATE", 250_000) // bytes per second of a slow requester
	const items = 3
	c.setState([]map[string]any{lotRoute(), appRoute()}, lotServices())
	apps := c.addApps(2, 40*time.Millisecond)
	for i := range 2 {
		c.addSampler(&sampler{id: fmt.Sprintf("sampler-%d", i), service: "models", events: 900, eventSize: 200, gap: 120 * time.Millisecond, slots: 8, queue: 24})
	}
	c.addHosts(3)
	time.Sleep(3 * time.Second)
	c.submit("lot1", "m0", items, itemBytes, c.hosts[2])
	time.Sleep(2 * time.Second)
	interval := time.Duration(itemBytes/rate) * time.Second
	end := time.Now().Add(80 * time.Second)
	var counts reads
	kept := &callers{c: c, apps: apps, end: end}
	for _, h := range c.hosts {
		kept.run(h, 4)
	}
	for i := range perHost * 2 {
		h := c.hosts[i%2]
		go func() {
			time.Sleep(time.Duration(i) * interval / time.Duration(perHost*2))
			for time.Now().Before(end) {
				began := time.Now()
				if readBody(h, fmt.Sprintf("lot1-%d", i%items), itemBytes, rate, trouble, &counts) {
					time.Sleep(time.Until(began.Add(interval)))
				} else {
					time.Sleep(500 * time.Millisecond) // ask again after a failure
				}
			}
		}()
	}
	for time.Now().Before(end) {
		time.Sleep(5 * time.Second)
		for _, h := range c.hosts {
			h.mu.Lock()
			c.rec.log("%s: peak %d MB, over its limit of %d MB %d times, ended by itself %d times", h.name, h.peakMB, c.memoryMB, h.overMemory, h.ownEnds)
			h.mu.Unlock()
		}
		kept.log()
		c.rec.log("bodies read whole %d, broken off %d, refused %d, not answered %d", counts.whole.Load(), counts.cut.Load(), counts.refused.Load(), counts.none.Load())
	}
	return c.judge(kept)
}

// readBody asks a node for the body of an item. It reports whether it got all of it.
func readBody(h *host, item string, size, rate int, slow bool, counts *reads) bool {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		counts.none.Add(1)
		return false
	}
	defer func() { _ = conn.Close() }()
	if slow {
		_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	}
	fmt.Fprintf(conn, "GET /v1/items/lot1?identifier=%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", item, routeHost)
	buf := make([]byte, 16<<10)
	total, head := 0, ""
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, err := conn.Read(buf)
		if head == "" {
			head = string(buf[:min(n, 12)])
		}
		total += n
		switch {
		case total >= size:
			counts.whole.Add(1)
			return true
		case err != nil && strings.HasSuffix(head, " 503"):
			counts.refused.Add(1)
			return false
		case err != nil && head == "":
			counts.none.Add(1)
			return false
		case err != nil:
			counts.cut.Add(1)
			return false
		}
		if slow {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
	}
}
