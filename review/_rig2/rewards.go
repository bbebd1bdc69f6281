package main

import (
	"fmt"
	"net/http"
	"time"
)

// routes returns the routes of a small site: lookups of callers, reward calls with a time-out,
// and lots.
func routes(rewardTimeoutMs int) []map[string]any {
	return []map[string]any{
		{"name": "r-lookup", "host": routeHost, "prefix": "/lohu930/", "kind": "safe", "service": "wuno96b", "timeoutMs": 2000, "targetLatencyMs": 150, "priority": 2, "attempts": 2},
		{"name": "r-reward", "host": routeHost, "prefix": "/pufi791/", "kind": "safe", "service": "wuno96b", "timeoutMs": rewardTimeoutMs, "targetLatencyMs": 400, "priority": 2, "attempts": 4},
		{"name": "r-lots", "host": routeHost, "prefix": "/pule252/", "kind": "rollout", "service": "huvo11a", "timeoutMs": 10000, "targetLatencyMs": 500, "runAimMs": 7500, "maxAgeS": 40, "priority": 1, "attempts": 3, "sticky": true, "resumable": true},
	}
}

func services() []map[string]any {
	return []map[string]any{
		{"name": "huvo11a", "healthPath": "/health", "connectionLimit": 130, "protocol": "h1", "transportSecurity": false, "engine": map[string]any{
			"slots": 8, "keyValueTokens": 44286, "keyValueBytes": 18432, "linkMbps": 2200000.0, "moves": true, "backups": true, "stride": 35, "models": []map[string]any{{"name": "daka510000"}, {"name": "rada7437b5"}}}},
		{"name": "wuno96b", "healthPath": "/health", "connectionLimit": 96, "protocol": "h1", "transportSecurity": false},
	}
}

// startSite starts model samplers, reward samplers and three hosts.
func startSite(c *cluster, rewardSamplers, rewardSlots, rewardTimeoutMs int, work func(string) time.Duration) error {
	for i := range 8 {
		s := &sampler{id: fmt.Sprintf("i-model%d", i), service: "huvo11a", slots: 8, queue: 24, events: 13, gap: 20 * time.Millisecond, models: []string{"daka510000", "rada7437b5"}}
		if err := c.addSampler(s); err != nil {
			return err
		}
	}
	for i := range rewardSamplers {
		s := &sampler{id: fmt.Sprintf("i-app%d", i), service: "wuno96b", slots: rewardSlots, queue: 24, work: work}
		if err := c.addSampler(s); err != nil {
			return err
		}
	}
	c.setDesired(routes(rewardTimeoutMs), services())
	for i := range 3 {
		if err := c.addHost(i); err != nil {
			return err
		}
	}
	if err := c.waitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	return nil
}

// playTimeout lowers the time-out of the reward route below the time that a reward call takes,
// and raises it again. No sampler answers 500.
func playTimeout(c *cluster, trouble bool) (o outcome, err error) {
	const usual, lowered = 2000, 250
	if err := startSite(c, 4, 6, usual, func(string) time.Duration { return 400 * time.Millisecond }); err != nil {
		return o, err
	}
	if trouble {
		c.setDesired(routes(lowered), services())
		time.Sleep(3 * time.Second) // the change is in force everywhere
	}
	l := newLot("daka510000", 5, 4)
	submitted := time.Now()
	if err := c.submit(l, 0); err != nil {
		return o, err
	}
	if trouble {
		time.AfterFunc(5*time.Second, func() { c.setDesired(routes(usual), services()) })
	}
	c.read(l, submitted.Add(38*time.Second)) // maxAgeS is 40
	byItem := make(map[string]string)
	for _, i := range l.items {
		byItem[i.id] = i.scorer
	}
	answers := make(map[string]map[int]int) // by request
	for _, a := range append(c.arrivalsOf("wuno96b"), c.arrivalsOf("huvo11a")...) {
		if answers[a.id] == nil {
			answers[a.id] = make(map[int]int)
		}
		answers[a.id][a.status]++
	}
	terminated := 0
	for position, r := range l.results {
		if r.State != "terminated" {
			continue
		}
		terminated++
		item, reward := answers[r.ID], answers[byItem[r.ID]]
		if item[http.StatusUnprocessableEntity] == 0 && item[http.StatusInternalServerError] < 3 && reward[http.StatusInternalServerError] < 4 {
			o.broken = append(o.broken, fmt.Sprintf("MIXED: item %s at position %d is terminated after %d answers of 500 and 422, %s after the submission; answers to its reward call by status: %v",
				r.ID, position, item[500]+item[422]+reward[500], time.Since(submitted).Round(time.Millisecond), reward))
		}
	}
	o.seen = fmt.Sprintf("%d of %d results read, %d terminated", len(l.results), len(l.items), terminated)
	return o, nil
}

// playEnded has trainers end some lots soon after their acknowledgement. Their items wait for
// reward samplers that are busy with those of the other lots.
func playEnded(c *cluster, trouble bool) (o outcome, err error) {
	const cancelAfter = 900 * time.Millisecond
	const cancelMs = 3 * time.Second
	models := []string{"daka510000", "rada7437b5"}
	if err := startSite(c, 2, 6, 6000, func(string) time.Duration { return 400 * time.Millisecond }); err != nil {
		return o, err
	}
	for step, model := range models { // the steps before
		l := newLot(model, 9, 4)
		if err := c.submit(l, step); err != nil {
			return o, err
		}
		c.read(l, time.Now().Add(15*time.Second))
		if err := c.end(l); err != nil {
			return o, err
		}
	}
	var lots []*lot
	done := make(chan error, 5)
	for i := range 5 {
		l := newLot(models[i%2], 9, 4)
		lots = append(lots, l)
		go func() {
			if err := c.submit(l, 0); err != nil {
				done <- err
				return
			}
			if trouble && i < 2 {
				time.Sleep(cancelAfter)
				done <- c.end(l)
				return
			}
			c.read(l, time.Now().Add(30*time.Second))
			done <- c.end(l)
		}()
	}
	for range lots {
		if e := <-done; e != nil {
			err = e
		}
	}
	if err != nil {
		return o, err
	}
	time.Sleep(8 * time.Second)
	lotOf := make(map[string]*lot)
	for _, l := range lots {
		for _, i := range l.items {
			lotOf[i.id], lotOf[i.scorer] = l, l
		}
	}
	ran := 0
	for _, a := range append(c.arrivalsOf("wuno96b"), c.arrivalsOf("huvo11a")...) {
		l := lotOf[a.id]
		if l == nil || !a.ran {
			continue
		}
		ran++
		if late := a.at.Sub(l.endedAt); late > cancelMs {
			o.broken = append(o.broken, fmt.Sprintf("UNASKED: request %s of lot %s reached a sampler %s after the ack of the end of its lot, and ran", a.id, l.id, late.Round(time.Millisecond)))
		}
	}
	o.seen = fmt.Sprintf("%d requests of %d lots ran", ran, len(lots))
	return o, nil
}
