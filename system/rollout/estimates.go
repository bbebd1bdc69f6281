package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// Estimates applies what requests of callers and scorers showed of the servers, and publishes the
// new estimates to the request goroutines.
func Estimates(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	for _, e := range in {
		o, ok := e.(event.ServerOutcome)
		if !ok || o.Work.Units <= 0 {
			continue
		}
		if s := t.Rollout.Servers.Find(o.Server); s != nil {
			observe(now, s, o.Stream, o.Work, out)
		}
	}
}

// speedOf returns what is known of the events of a server or of its plain answers.
func speedOf(s *table.Server, events bool) *table.Speed {
	speed := &s.Answers
	if events {
		speed = &s.Pace.Events
	}
	if *speed == nil {
		*speed = new(table.Speed)
	}
	(*speed).Estimator.Slots = s.Slots
	return *speed
}

// observe adds an observation of this host.
func observe(now time.Duration, s *table.Server, events bool, o capacity.Observation, out *command.Outbox) {
	speed := speedOf(s, events)
	o.At = now
	speed.Estimator.Observe(o)
	speed.OwnAt = now
	estimateChanged(now, s, events, out)
}

// estimateChanged applies and publishes the present estimate of a server.
func estimateChanged(now time.Duration, s *table.Server, events bool, out *command.Outbox) {
	speed := speedOf(s, events)
	speed.Estimate = speed.Estimator.Estimate()
	out.Add(command.PublishEstimate{Load: s.Load, Estimate: speed.Estimate, Stream: events, Age: now - speed.Estimate.At})
}
