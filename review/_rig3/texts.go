package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// texts has one batch submission run whose items have whole outputs of some hundred kB. Without
// trouble, the outputs are of 240 kB.
func texts(c *cluster, trouble bool) bool {
	const items, events = 4, 40
	size := 6_000
	if trouble {
		size = envInt("REVIEW3_EVENT", 20_000)
	}
	c.setState([]map[string]any{lotRoute(), appRoute()}, lotServices())
	var samplers []*sampler
	for i := range 2 {
		s := &sampler{id: fmt.Sprintf("sampler-%d", i), service: "models", events: events, eventSize: size, gap: 40 * time.Millisecond, slots: 8, queue: 24}
		c.addSampler(s)
		samplers = append(samplers, s)
	}
	c.addHosts(3)
	time.Sleep(3 * time.Second)
	c.submit("lot1", "m0", items, 600, c.hosts[0])
	end := time.Now().Add(30 * time.Second)
	terminated, completed, next := 0, 0, 0
	for time.Now().Before(end) && next < items {
		status, data := call(c.hosts[1], http.MethodGet, fmt.Sprintf("/v1/lots/lot1?after=%d", next), "", nil)
		var p page
		if status == http.StatusOK && json.Unmarshal(data, &p) == nil {
			for _, r := range p.Results {
				c.rec.log("item %s: %s, text of %d bytes", r.ID, r.State, len(r.Text))
				if r.State == "completed" {
					completed++
				} else {
					terminated++
				}
			}
			next = p.Next
		}
		time.Sleep(500 * time.Millisecond)
	}
	runs := int64(0)
	for _, s := range samplers {
		runs += s.completed.Load()
	}
	c.rec.log("samplers completed %d runs; %d of %d items are listed as completed, %d as terminated", runs, completed, items, terminated)
	return terminated > 0
}
