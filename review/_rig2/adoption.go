package main

import (
	"fmt"
	"time"
)

// playAdoption kills the host that runs a large lot. Another one must go on with it.
func playAdoption(c *cluster, trouble bool) (o outcome, err error) {
	const deadline = 12 * time.Second // of the trainer, as the sheet says
	const judged = 5 * time.Second    // at no sampler, in steady state
	const contact = 3 * time.Second   // contactMs
	const restartDelay = 500 * time.Millisecond
	const patience = 38 * time.Second        // maxAgeS is 40
	const groups, size, body = 9, 4, 630_000 // 30.3 MB on the wire; the desired state allows 33.5 MB
	for i := range 4 {
		s := &sampler{id: fmt.Sprintf("i-model%d", i), service: "huvo11a", slots: 8, queue: 24, events: 40, gap: 20 * time.Millisecond, models: []string{"daka510000", "rada7437b5"}}
		if err := c.addSampler(s); err != nil {
			return o, err
		}
	}
	s := &sampler{id: "i-app0", service: "wuno96b", slots: 6, queue: 24, work: func(string) time.Duration { return 80 * time.Millisecond }}
	if err := c.addSampler(s); err != nil {
		return o, err
	}
	c.setDesired(routes(2000), services())
	for i := range 3 {
		if err := c.addHost(i); err != nil {
			return o, err
		}
	}
	if err := c.waitReady(15 * time.Second); err != nil {
		return o, err
	}
	time.Sleep(4 * time.Second)
	l := newLot("daka510000", groups, size)
	l.body = body
	if err := c.submit(l, 0); err != nil {
		return o, err
	}
	submitted := l.sentAt
	time.Sleep(restartDelay)
	killedAt := time.Now()
	if trouble {
		h := l.accepted // runs the lot
		c.kill(h)
		time.AfterFunc(restartDelay, func() { _ = c.startHost(h) })
	}
	c.read(l, submitted.Add(patience))
	arrived := make(map[string]time.Time) // last arrival at a sampler
	begun := 0
	for _, a := range c.arrivalsOf("huvo11a") {
		if a.at.After(arrived[a.id]) {
			arrived[a.id] = a.at
		}
		begun++
	}
	finished := make(map[string]bool)
	for _, a := range c.arrivalsOf("huvo11a") {
		if a.status == 200 {
			finished[a.id] = true
		}
	}
	stepOver, steadyFrom := submitted.Add(deadline), killedAt.Add(restartDelay+contact)
	for _, i := range l.items {
		if finished[i.id] {
			continue
		}
		idleFrom := steadyFrom
		if arrived[i.id].After(idleFrom) {
			idleFrom = arrived[i.id]
		}
		if idle := stepOver.Sub(idleFrom); idle >= judged {
			o.broken = append(o.broken, fmt.Sprintf("LOST: item %s of lot %s reached no sampler from %s after the kill until the deadline of its step, nor until %s after its submission",
				i.id, l.id, idleFrom.Sub(killedAt).Round(time.Millisecond), patience))
		}
	}
	o.seen = fmt.Sprintf("%d runs of %d items began, %d items finished, %d results read", begun, len(l.items), len(finished), len(l.results))
	return o, nil
}
