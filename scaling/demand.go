package scaling

import (
	"math"
	"time"
)

const (
	// peakMemory is the time for which a peak counts. Trainers submit about every 4 s, and
	// one that is late up to 12 s after its last submission.
	peakMemory = 20 * time.Second
	// baseTime is the time constant of the mean load. It spans several submissions.
	baseTime = 30 * time.Second
)

// Peak is the maximum of a value over the last peakMemory.
type Peak struct{ samples []sample } // values fall from the oldest to the newest

type sample struct {
	at    time.Duration
	value float64
}

// Observe records a value.
func (p *Peak) Observe(now time.Duration, value float64) {
	n := len(p.samples)
	for n > 0 && p.samples[n-1].value <= value {
		n--
	}
	p.samples = append(p.samples[:n], sample{now, value})
}

// Max returns the maximum.
func (p *Peak) Max(now time.Duration) float64 {
	for len(p.samples) > 0 && now-p.samples[0].at > peakMemory {
		p.samples = p.samples[1:]
	}
	if len(p.samples) == 0 {
		return 0
	}
	return p.samples[0].value
}

// Demand is the recent demand for the slots of a service.
type Demand struct {
	models map[string]*Peak // of the open items, by model
	direct Peak             // of requests that are not items
	mean   float64          // smoothed load
	since  time.Duration
	seenAt time.Duration // last observation
	seen   bool
	shown  bool // there has been some load
}

// Load is what a service has to do at a moment. Submissions and open items are those of lots.
type Load struct {
	Open    map[string]float64 // items without a result, by model
	Largest map[string]float64 // items of the largest lot that was seen first since the last observation, by model
	Direct  float64            // requests in flight that are not items
}

// Observe records the load at a moment.
func (d *Demand) Observe(now time.Duration, l Load) {
	if d.models == nil {
		d.models, d.since = make(map[string]*Peak), now
	}
	total := l.Direct
	for model, open := range l.Open {
		total += open
		d.observeModel(now, model, open)
	}
	for model, largest := range l.Largest {
		d.observeModel(now, model, largest)
	}
	for model, p := range d.models {
		if p.Max(now) == 0 {
			delete(d.models, model)
		}
	}
	d.direct.Observe(now, l.Direct)
	if d.seen {
		// The mean begins as that of the time observed so far, so that it is not too low at first.
		weight := 1 - math.Exp(-float64(now-d.seenAt)/float64(min(baseTime, max(time.Second, now-d.since))))
		d.mean += weight * (total - d.mean)
	}
	d.seen, d.seenAt = true, now
	if total > 0 {
		d.shown = true
	}
}

func (d *Demand) observeModel(now time.Duration, model string, value float64) {
	p := d.models[model]
	if p == nil {
		p = new(Peak)
		d.models[model] = p
	}
	p.Observe(now, value)
}

// Need returns the demand. All models may submit at the same time, so their peaks are added.
func (d *Demand) Need(now time.Duration) Need {
	direct := d.direct.Max(now)
	n := Need{Peak: direct, Base: d.mean, Shown: d.shown}
	for _, p := range d.models {
		n.Peak += p.Max(now)
	}
	n.Base = min(n.Base, n.Peak)
	return n
}
