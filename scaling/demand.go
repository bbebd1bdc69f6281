package scaling

import "time"

// peakMemory is the time for which a peak counts. Trainers submit about every 4 s, and one
// that is late up to 12 s after its last submission.
const peakMemory = 20 * time.Second

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
	models map[string]*Peak  // of the open items, by model
	direct Peak              // of requests that are not items
	steps  map[string]*steps // by model
	shown  bool              // there has been some load
}

// steps are the last two steps of a model.
type steps struct {
	last, previous Step
	late           Step          // the one that is overdue, as far as it took
	changedAt      time.Duration // when last was seen first
	seenAt         time.Duration
}

// Step is the time that a step took, and the time after its submission at which it was due.
type Step struct{ Took, Target time.Duration }

func (s Step) share() float64 {
	if s.Target <= 0 {
		return 0
	}
	return s.Took.Seconds() / s.Target.Seconds()
}

// Load is what a service has to do at a moment. Submissions and open items are those of lots.
type Load struct {
	Open    map[string]float64 // items without a result, by model
	Largest map[string]float64 // items of the largest lot that was seen first since the last observation, by model
	Direct  float64            // requests in flight that are not items
	Steps   map[string]Step    // last step that was ready, by model
	Late    map[string]Step    // step that is overdue, by model
}

// Observe records the load at a moment.
func (d *Demand) Observe(now time.Duration, l Load) {
	if d.models == nil {
		d.models, d.steps = make(map[string]*Peak), make(map[string]*steps)
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
	d.observeSteps(now, l)
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

// observeSteps records the steps of models. A step whose time equals that of the one before is
// the same step.
func (d *Demand) observeSteps(now time.Duration, l Load) {
	record := func(model string) *steps {
		if d.steps[model] == nil {
			d.steps[model] = new(steps)
		}
		d.steps[model].seenAt = now
		return d.steps[model]
	}
	for _, s := range d.steps {
		s.late = Step{}
	}
	for model, step := range l.Steps {
		if s := record(model); s.last != step {
			s.previous, s.last, s.changedAt = s.last, step, now
		}
	}
	for model, late := range l.Late {
		record(model).late = late
	}
	for model, s := range d.steps {
		if now-s.seenAt > peakMemory {
			delete(d.steps, model)
		}
	}
}

// stale reports whether the last step is too old to tell how the present ones do. No step is
// published while a trainer submits the next one before the last one was ready.
func (s *steps) stale(now time.Duration) bool {
	return now-s.changedAt > 2*max(s.last.Took, s.last.Target)
}

// pressure returns the time of the steps of the model that is the furthest behind, as a share of
// the completion target. Two steps must have taken as long, because one may be late for a
// failure that more servers do not mend.
func (d *Demand) pressure(now time.Duration) (share float64, longest time.Duration) {
	for _, s := range d.steps {
		behind := s.late.share()
		if !s.stale(now) {
			behind = min(s.last.share(), max(s.previous.share(), behind))
		}
		share = max(share, behind)
		for _, step := range []Step{s.last, s.late} {
			// The time of a late step is bounded: the next steps need not be as late.
			longest = max(longest, step.Target, min(step.Took, 2*step.Target))
		}
	}
	return share, longest
}

// Need returns the demand. All models may submit at the same time, so their peaks are added.
func (d *Demand) Need(now time.Duration) Need {
	direct := d.direct.Max(now)
	n := Need{Peak: direct, Direct: direct, Shown: d.shown}
	n.Pressure, n.Step = d.pressure(now)
	for _, p := range d.models {
		n.Peak += p.Max(now)
	}
	return n
}
