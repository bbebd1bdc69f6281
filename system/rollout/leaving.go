package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// maxLeavingStarts bounds the starts of servers that are kept. It exceeds the number of
	// servers in two years (5,100), so that all may be replaced within leavingTTL.
	maxLeavingStarts = 8192
	// leavingTTL is the time for which a start without a record is kept. It is far longer than
	// a server lives after it said that it leaves, and covers an outage of the store in which
	// its record expired.
	leavingTTL = 10 * time.Minute
	// leavingCheckInterval is the time between two searches for expired starts.
	leavingCheckInterval = time.Second
	// maxSharedStarts bounds the starts of one message to other hosts, below 64 KiB.
	maxSharedStarts = 200
	// maxAnsweredStarts bounds the starts that are told to a host that asks.
	maxAnsweredStarts = 1000
)

// Sources from which this host learns that a server leaves.
const (
	sourceRecord = "record"
	sourceAnswer = "answer"
	sourceHost   = "host"
)

// applyLeaving applies reports that servers leave. The host that learns it from an answer tells
// the others; they do not pass it on.
func applyLeaving(now time.Duration, r *table.Rollout, e event.ServersLeaving, out *command.Outbox) {
	var news []registry.Start // that this host learned first
	for _, start := range e.Starts {
		s := r.Servers.Find(start.Server)
		listed := s != nil && s.Start() == start
		if (listed && s.SaidLeaving) || !keepLeaving(now, r, start, e.FromHost, listed, out) {
			continue
		}
		if !e.FromHost {
			news = append(news, start)
		}
		if listed {
			saidLeaving(s, out)
			updateLeaving(now, r, s, s.Leaving, sourceOf(e.FromHost), out)
		}
	}
	for len(news) > 0 {
		n := min(len(news), maxSharedStarts)
		out.Add(command.ShareLeaving{Starts: news[:n]})
		news = news[n:]
	}
}

// keepLeaving records a start that leaves and reports whether it is new. A listed server
// leaves also if there is no room for its row.
func keepLeaving(now time.Duration, r *table.Rollout, start registry.Start, fromHost bool, listed bool, out *command.Outbox) bool {
	key := start.Key()
	if r.LeavingStarts.Find(key) != nil {
		return false
	}
	if r.LeavingStarts.Len() >= maxLeavingStarts {
		out.Add(command.Count{Counter: "server_leaving_dropped", Delta: 1})
		return listed
	}
	row, _ := r.LeavingStarts.Upsert(key)
	*row = table.LeavingStart{Start: start, FromHost: fromHost, SeenAt: now}
	return true
}

func sourceOf(fromHost bool) string {
	if fromHost {
		return sourceHost
	}
	return sourceAnswer
}

// saidLeaving records that an answer of a server said that it leaves, to any host.
func saidLeaving(s *table.Server, out *command.Outbox) {
	if !s.SaidLeaving {
		s.SaidLeaving = true
		out.Add(command.MarkLeaving{Target: target(s)})
	}
}

// recordLeaving applies the state in a new record of a server. known is the state before.
func recordLeaving(now time.Duration, r *table.Rollout, s *table.Server, known bool, out *command.Outbox) {
	source := sourceRecord
	if said := r.LeavingStarts.Find(s.Start().Key()); said != nil {
		saidLeaving(s, out)
		if !s.Leaving {
			source = sourceOf(said.FromHost)
		}
	}
	updateLeaving(now, r, s, known, source, out)
}

// updateLeaving derives whether a server leaves from its record and from what it said. known is
// the state before.
func updateLeaving(now time.Duration, r *table.Rollout, s *table.Server, known bool, source string, out *command.Outbox) {
	s.Leaving = s.Leaving || s.SaidLeaving
	if s.Leaving == known {
		return
	}
	r.PlanChanged = true
	if !s.Leaving {
		s.LeavingSince = 0
		return
	}
	s.LeavingSince = now
	logServer("backend server is leaving", &s.Server, out, field("source", source))
	out.Add(command.Count{Counter: "server_leaving", Tags: map[string]string{"source": source}, Delta: 1})
}

// expireLeaving deletes starts whose servers have not been listed for leavingTTL.
func expireLeaving(now time.Duration, r *table.Rollout) {
	if now-r.LeavingCheckedAt < leavingCheckInterval {
		return
	}
	r.LeavingCheckedAt = now
	for key, l := range r.LeavingStarts.All() {
		if s := r.Servers.Find(l.Start.Server); s != nil && s.Start() == l.Start {
			l.SeenAt = now
		} else if now-l.SeenAt > leavingTTL {
			r.LeavingStarts.Delete(key)
		}
	}
}

// askLeaving asks other hosts once, when the first of them is known. This process may have
// replaced one that had passed on an answer of a server that leaves.
func askLeaving(r *table.Rollout, out *command.Outbox) {
	if !r.LeavingAsked && len(peerAddresses(r)) > 0 {
		r.LeavingAsked = true
		out.Add(command.AskLeaving{})
	}
}

// answerLeaving answers a host that asks which listed servers said that they leave.
func answerLeaving(r *table.Rollout, id string, out *command.Outbox) {
	answer := command.AnswerLeaving{RequestID: id}
	for _, s := range r.Servers.All() {
		if s.SaidLeaving && len(answer.Starts) < maxAnsweredStarts {
			answer.Starts = append(answer.Starts, s.Start())
		}
	}
	out.Add(answer)
}
