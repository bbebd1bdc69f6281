package main

import (
	"fmt"
	"time"
)

// adopt has each of three nodes run open batch submissions of one trainer. With trouble, the
// processes of two nodes are killed once and started again 3.5 s later.
func adopt(c *cluster, trouble bool) bool {
	c.memoryMB = envInt("REVIEW3_MEMORY_MB", 184)
	lots := envInt("REVIEW3_LOTS", 4) // of each trainer
	items := envInt("REVIEW3_ITEMS", 4000)
	itemBytes := envInt("REVIEW3_BODY", 3000)
	c.setState([]map[string]any{lotRoute(), appRoute()}, lotServices())
	apps := c.addApps(2, 40*time.Millisecond)
	var samplers []*sampler
	for i := range 3 {
		s := &sampler{id: fmt.Sprintf("sampler-%d", i), service: "models", events: 12, eventSize: 200, gap: 120 * time.Millisecond, slots: 8, queue: 24}
		c.addSampler(s)
		samplers = append(samplers, s)
	}
	c.addHosts(3)
	time.Sleep(3 * time.Second)
	for n := range lots {
		for i, h := range c.hosts {
			c.submit(fmt.Sprintf("lot%d-%d", i, n), fmt.Sprintf("m%d", i), items, itemBytes, h)
			time.Sleep(time.Second)
		}
	}
	time.Sleep(3 * time.Second)
	c.logHosts()
	kept := &callers{c: c, apps: apps, end: time.Now().Add(time.Duration(envInt("REVIEW3_FOR_S", 45)) * time.Second)}
	for _, h := range c.hosts {
		kept.run(h, 4)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, h := range c.hosts[:2] {
			h.kill()
		}
		time.Sleep(time.Duration(envInt("REVIEW3_DOWN_MS", 3500)) * time.Millisecond)
		for _, h := range c.hosts[:2] {
			h.startAgain()
		}
	}
	for time.Now().Before(kept.end) {
		time.Sleep(3 * time.Second)
		c.logHosts()
		kept.log()
		completed := int64(0)
		for _, s := range samplers {
			completed += s.completed.Swap(0)
		}
		c.rec.log("items completed by samplers in these 3 s: %d", completed)
	}
	return c.judge(kept)
}

func (c *cluster) logHosts() {
	for _, h := range c.hosts {
		h.mu.Lock()
		c.rec.log("%s: peak %d MB, over its limit of %d MB %d times, ended by itself %d times", h.name, h.peakMB, c.memoryMB, h.overMemory, h.ownEnds)
		h.mu.Unlock()
	}
}

// judge applies the rules Fault and LOST (kept channels). A request that was cut off by a kill
// of the case does not count.
func (c *cluster) judge(kept *callers) bool {
	kept.wg.Wait()
	kept.log()
	machines := 0
	for _, h := range c.hosts {
		h.mu.Lock()
		if h.ownEnds >= 3 {
			machines++
		}
		h.mu.Unlock()
	}
	counted := 0
	for _, l := range kept.lost {
		if l.counts {
			counted++
		}
	}
	c.rec.log("Fault: processes ended by themselves three times or more, with no disruption there, on %d machines (the rule allows 1)", machines)
	c.rec.log("LOST: %d requests from kept channels of machines in touch were passed on to a sound sampler and not answered (the rule allows 3)", counted)
	return machines >= 2 || counted > 3
}
