package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// shareInterval is the time between two exchanges that this host begins. Each exchange
	// carries at most maxNotes notes in each direction. Together they bound the traffic, see
	// docs/CAPACITY.md.
	shareInterval = 4 * time.Second
	maxNotes      = 16
	// maxFirstNotes bounds the notes that a host gets which has just started.
	maxFirstNotes = 64
	// maxNoteIDBytes bounds the id of a server of which notes are sent.
	maxNoteIDBytes = 64
	// ownPeriod is the time for which a measurement of this host is told to others. Estimates
	// that it only heard of are not passed on, so that they do not circulate for ever.
	ownPeriod = 5 * time.Second
	// ownSuffices is the time after a measurement of this host for which it needs no others.
	ownSuffices = 2 * time.Second
	// knownPeriod is the maximum age of the estimates that a host gets which has just started.
	knownPeriod = 30 * time.Second
)

// ShareEstimates exchanges estimates with one other host after the other, and answers those that
// begin an exchange.
func ShareEstimates(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		switch e := e.(type) {
		case event.NotesReceived:
			learnNotes(now, r, e.Share.Notes, maxNotes, out)
			out.Add(command.AnswerNotes{RequestID: e.RequestID, Notes: notesFor(now, r, e.Share.Everything)})
		case event.NotesExchanged:
			r.Sharing.Pending = false
			if e.Failure != nil {
				out.Add(command.Count{Counter: "estimates_not_exchanged", Tags: map[string]string{"reason": string(e.Failure.Reason)}, Delta: 1})
			}
			learnNotes(now, r, e.Notes, maxFirstNotes, out)
		}
	}
	startExchange(now, r, out)
}

// startExchange begins an exchange when one is due. The hosts take turns in the order of their
// names, beginning after this host, so that each is called about as often as it calls.
func startExchange(now time.Duration, r *table.Rollout, out *command.Outbox) {
	if r.Sharing.Pending || now < r.Sharing.NextAt || r.Peers.Len() == 0 || r.Servers.Len() == 0 {
		return
	}
	peers := peerAddresses(r)
	if len(peers) == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(peers))
	next, _ := slices.BinarySearch(names, r.Self.Host)
	peer := names[(next+r.Sharing.Round)%len(names)]
	share := capacity.Share{Everything: !anyEstimate(r)}
	if !share.Everything {
		share.Notes = notesFor(now, r, false)
	}
	r.Sharing.Pending, r.Sharing.NextAt = true, now+shareInterval
	r.Sharing.Round++
	out.WakeAt(r.Sharing.NextAt)
	out.Add(command.ShareNotes{Address: peers[peer], Share: share})
}

func anyEstimate(r *table.Rollout) bool {
	for _, s := range r.Servers.All() {
		if sharedSpeed(s).Known() {
			return true
		}
	}
	return false
}

// sharedSpeed returns the estimate that hosts exchange: that of events for an engine, that of
// plain requests for other servers. It is nil if there is none.
func sharedSpeed(s *table.Server) *table.Speed {
	if isEngine(s) {
		return s.Pace.Events
	}
	return s.Answers
}

func isEngine(s *table.Server) bool { return len(s.Models) > 0 }

// notesFor returns the notes for another host: those of servers that this host measured lately, in
// turn, or for a host that has just started the newest estimates.
func notesFor(now time.Duration, r *table.Rollout, everything bool) []capacity.Note {
	var known []*table.Server
	for _, s := range r.Servers.All() {
		speed := sharedSpeed(s)
		switch {
		case !speed.Known() || len(s.ID) > maxNoteIDBytes || s.Leaving:
		case everything && now-speed.Estimate.At <= knownPeriod, speed.OwnAt > 0 && now-speed.OwnAt <= ownPeriod:
			known = append(known, s)
		}
	}
	if everything {
		slices.SortFunc(known, func(a, b *table.Server) int {
			return cmp.Or(-cmp.Compare(sharedSpeed(a).Estimate.At, sharedSpeed(b).Estimate.At), cmp.Compare(a.ID, b.ID))
		})
		return notesOf(known[:min(maxFirstNotes, len(known))])
	}
	slices.SortFunc(known, func(a, b *table.Server) int { // servers after the last one that was sent come first
		return cmp.Or(compareBool(a.ID <= r.Sharing.After, b.ID <= r.Sharing.After), cmp.Compare(a.ID, b.ID))
	})
	known = known[:min(maxNotes, len(known))]
	if len(known) > 0 {
		r.Sharing.After = known[len(known)-1].ID
	}
	return notesOf(known)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func notesOf(servers []*table.Server) []capacity.Note {
	notes := make([]capacity.Note, 0, len(servers))
	for _, s := range servers {
		e := sharedSpeed(s).Estimate
		notes = append(notes, capacity.Note{Server: s.ID, StartedUnixMS: s.StartedUnixMS, Estimate: capacity.Estimate{Unit: e.Unit, Growth: e.Growth, Capacity: e.Capacity}})
	}
	return notes
}

// learnNotes adds the estimates of another host to those of servers that this host has not
// measured just now.
func learnNotes(now time.Duration, r *table.Rollout, notes []capacity.Note, limit int, out *command.Outbox) {
	for _, n := range notes[:min(limit, len(notes))] {
		s := r.Servers.Find(n.Server)
		if s == nil || s.StartedUnixMS != n.StartedUnixMS {
			continue
		}
		speed := speedOf(s, isEngine(s))
		if speed.OwnAt > 0 && now-speed.OwnAt < ownSuffices {
			continue
		}
		speed.Estimator.Learn(n.Estimate, now)
		if speed.Estimator.Estimate().Known() {
			estimateChanged(now, s, isEngine(s), out)
		}
	}
}
