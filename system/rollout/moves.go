package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// moveCost is the time that a run loses when it moves: the old run is stopped, and the
	// new server reads the prompt and the output so far.
	moveCost = 50 * time.Millisecond
	// minMoveGain is the gain in expected completion time below which a run stays where it
	// is. It exceeds the error of the measured paces, so that runs do not move to and fro.
	minMoveGain = 200 * time.Millisecond
	// moveCheckInterval is the minimum time between two searches for runs to move.
	moveCheckInterval = 50 * time.Millisecond
)

// move is a run that would complete sooner on a faster server.
type move struct {
	key  string
	item *table.Item
	gain time.Duration // expected gain of a move to the fastest free server
	need float64       // expected number of further events
	src  time.Duration // event interval where the item runs now
}

// MoveRuns stops runs that are expected to complete sooner on another server with a free
// slot; their items then continue there after their last event. It runs after Dispatch,
// so that the slots are those that no waiting item took.
func MoveRuns(now time.Duration, t *table.Tables, _ []event.Event, out *command.Outbox) {
	r := &t.Rollout
	if r.Desired == nil {
		return
	}
	if r.Items.Len() == 0 {
		return
	}
	if next := r.MovesCheckedAt + moveCheckInterval; r.MovesCheckedAt > 0 && now < next {
		out.WakeAt(next)
		return
	}
	r.MovesCheckedAt = now
	free := make(map[poolKey][]freeServer)
	moves := make(map[poolKey][]move)
	for key, item := range r.Items.All() {
		s, l := r.Servers.Find(item.Server), r.Lots.Find(item.Lot)
		if item.Stage != table.ItemRunning || s == nil || l == nil || l.Releasing {
			continue
		}
		pk := poolKeyOf(s, l)
		servers, ok := free[pk]
		if !ok {
			servers = freeServers(now, r, pk)
			free[pk] = servers
		}
		if len(servers) == 0 {
			continue
		}
		if item.Stopping {
			free[pk] = takeSlot(servers) // the item continues on the fastest server
			continue
		}
		moves[pk] = append(moves[pk], moveOf(now, r, key, item, s, l, servers[0].interval))
	}
	for pk, list := range moves {
		startMoves(list, free[pk], out)
	}
}

// moveOf returns the move of a running item to a server with the given event interval.
func moveOf(now time.Duration, r *table.Rollout, key string, item *table.Item, s *table.Server, l *table.Lot, interval time.Duration) move {
	src := eventInterval(now, r, s)
	need := remainingEvents(r.Models.Find(l.Head.Model), item.Spec, eventsDone(now, item, src))
	return move{key: key, item: item, need: need, src: src, gain: moveGain(need, src, interval)}
}

// moveGain returns the time by which a run with a number of further events completes
// sooner if it moves from a server with event interval src to one with dst.
func moveGain(need float64, src, dst time.Duration) time.Duration {
	return time.Duration(need*float64(src-dst)) - moveCost
}

// startMoves stops the runs that gain most, at most one for each free slot.
func startMoves(list []move, free []freeServer, out *command.Outbox) {
	slices.SortFunc(list, func(a, b move) int {
		return cmp.Or(-cmp.Compare(a.gain, b.gain), cmp.Compare(a.key, b.key))
	})
	for _, m := range list {
		if len(free) == 0 || moveGain(m.need, m.src, free[0].interval) < minMoveGain {
			return
		}
		free = takeSlot(free)
		m.item.Stopping = true
		out.Add(command.StopRun{Key: m.key, Run: m.item.Run})
		out.Add(command.Count{Counter: "runs_moved", Tags: map[string]string{"reason": string(verdict.ReasonSlow)}, Delta: 1})
	}
}

// freeServer is a server with free slots.
type freeServer struct {
	interval time.Duration
	slots    int
}

// freeServers returns the servers of a pool with free slots that are not suspect, the
// fastest first.
func freeServers(now time.Duration, r *table.Rollout, key poolKey) []freeServer {
	var free []freeServer
	for _, s := range eligibleServers(r, key) {
		if n := serverRoom(now, s); n > 0 {
			free = append(free, freeServer{eventInterval(now, r, s), n})
		}
	}
	slices.SortFunc(free, func(a, b freeServer) int { return cmp.Compare(a.interval, b.interval) })
	return free
}

// takeSlot takes a slot of the fastest free server.
func takeSlot(free []freeServer) []freeServer {
	if len(free) == 0 {
		return free
	}
	free[0].slots--
	if free[0].slots == 0 {
		return free[1:]
	}
	return free
}

// poolKeyOf returns the key of the pool that a running item of l on s belongs to.
func poolKeyOf(s *table.Server, l *table.Lot) poolKey {
	return poolKey{s.Service, l.Head.Model, l.Submission.MinimumVersion}
}
