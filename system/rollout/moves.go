package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// moveCost is the time that a run loses when it moves: the old run is stopped, a new
	// connection is made, and the new server reads the prompt.
	moveCost = 80 * time.Millisecond
	// readingShare is the time in which a server reads an event of the output so far, as a
	// share of the time in which it generates one.
	readingShare = 0.02
	// minMoveGain is the gain in expected completion time below which a run stays where it
	// is. It exceeds the error of the measured paces, so that runs do not move to and fro.
	minMoveGain = 200 * time.Millisecond
	// firstMoveGain is the gain for which an item moves the first time. It doubles with each
	// move.
	firstMoveGain = 200 * time.Millisecond
	// minMoveShare is the share of the expected remaining time below which a gain is within
	// the error of the forecast.
	minMoveShare = 0.02
	// maxMoves bounds the moves of an item, apart from those away from leaving servers.
	maxMoves = 4
	// typicalEvents is the number of events for which free servers are compared.
	typicalEvents = 50
	// moveCheckInterval is the minimum time between two searches for runs to move while no
	// item waits.
	moveCheckInterval = 50 * time.Millisecond
)

// move is a run that may complete sooner on a faster server.
type move struct {
	key    string
	item   *table.Item
	done   float64      // estimated number of events so far
	events float64      // expected number of further events
	pace   paceForecast // of the server where the item runs now
	// cutIn is the time until the server is gone, if it announced that time or no other server
	// has its software version, and the run is not expected to be complete by then, else 0.
	cutIn    time.Duration
	baseline bool // see table.Baselines
	idle     bool // the step of the lot is not expected to be ready sooner by the move
}

// gain returns the time by which the run completes sooner if it takes a slot of another
// server, less the time that the most demanding waiting item loses, which takes over the slower
// slot. A server of another software version generates all events again.
func (m *move) gain(to freeServer, waiting float64) time.Duration {
	if m.cutIn > 0 {
		return m.cutIn - moveCost // the output is lost in any case
	}
	gain := m.pace.timeFor(m.events) - to.pace.timeFor(m.events)
	if waiting > 0 {
		gain -= m.pace.timeFor(waiting) - to.pace.timeFor(waiting)
	}
	if canResumeAt(m.item.RunSoftware, to.server) {
		gain -= time.Duration(readingShare * m.done * float64(to.pace.steady))
	} else {
		gain -= to.pace.timeFor(m.done)
	}
	return gain - moveCost
}

// requiredGain returns the gain for which the run moves.
func (m *move) requiredGain() time.Duration {
	if m.cutIn > 0 || m.baseline {
		return minMoveGain
	}
	if m.idle || m.item.Moves >= maxMoves {
		return math.MaxInt64
	}
	return max(firstMoveGain<<m.item.Moves, time.Duration(minMoveShare*float64(m.pace.timeFor(m.events))))
}

// bestSlot returns the index of the free server by which the run gains most. free holds the
// fastest servers first, so the first one of each software version suffices.
func (m *move) bestSlot(free []freeServer, waiting float64) (best int, gain time.Duration) {
	var seen []registry.Software
	for i, f := range free {
		if slices.Contains(seen, f.server.Software) {
			continue
		}
		seen = append(seen, f.server.Software)
		if g := m.gain(f, waiting); i == 0 || g > gain {
			best, gain = i, g
		}
	}
	return best, gain
}

// moveRuns stops runs that are expected to complete sooner on another server with a free
// slot, and reserves that slot. Their items then continue there after their last event.
func moveRuns(now time.Duration, t *table.Tables, waiting []*waitingItem, out *command.Outbox) {
	r := &t.Rollout
	if r.Items.Len() == 0 {
		return
	}
	if next := r.MovesCheckedAt + moveCheckInterval; len(waiting) == 0 && r.MovesCheckedAt > 0 && now < next {
		out.WakeAt(next)
		return
	}
	r.MovesCheckedAt = now
	for _, s := range r.Servers.All() {
		s.Critical = 0
	}
	demand := make(map[poolKey]float64)
	for _, w := range waiting {
		if w.item.MoveTo != "" || w.spare {
			continue
		}
		demand[w.pool] = max(demand[w.pool], w.remaining)
	}
	free := make(map[poolKey][]freeServer)
	moves := make(map[poolKey][]move)
	for key, item := range r.Items.All() {
		s, l := r.Servers.Find(item.Server), r.Lots.Find(item.Lot)
		if item.Stage != table.ItemRunning || item.Stopping || s == nil || l == nil || l.Releasing {
			continue
		}
		pool := poolKeyOf(s, l)
		if _, ok := free[pool]; !ok {
			free[pool] = freeServers(now, r, pool)
		}
		if len(free[pool]) == 0 {
			continue
		}
		m := newMove(now, r, key, item, s, l)
		remaining := m.pace.timeFor(m.events)
		if m.idle = !delaysStep(now, r, l, item, remaining); !m.idle && !r.Baselines.Order {
			s.Critical = max(s.Critical, remaining)
		}
		if m.cutIn > 0 || free[pool][0].pace.typical() < m.pace.typical() {
			moves[pool] = append(moves[pool], m)
		}
	}
	for pool, list := range moves {
		startMoves(list, free[pool], demand[pool], out)
	}
}

func newMove(now time.Duration, r *table.Rollout, key string, item *table.Item, s *table.Server, l *table.Lot) move {
	interval := eventInterval(r, s)
	m := move{key: key, item: item, pace: forecastPace(now, r, s), done: eventsDone(now, item, interval), baseline: r.Baselines.Moves}
	m.events = remainingEvents(r.Models.Find(l.Head.Model), item.Spec, m.done)
	if left, cut := timeLeft(now, r, s); cut && time.Duration(m.events*float64(interval)) > left {
		m.cutIn = max(0, left)
	}
	return m
}

// startMoves stops the runs that gain most, at most one for each free slot.
func startMoves(list []move, free []freeServer, waiting float64, out *command.Outbox) {
	gains := make(map[string]time.Duration, len(list))
	for _, m := range list {
		_, gains[m.key] = m.bestSlot(free, waiting)
	}
	slices.SortFunc(list, func(a, b move) int {
		return cmp.Or(-cmp.Compare(gains[a.key], gains[b.key]), cmp.Compare(a.key, b.key))
	})
	for _, m := range list {
		if len(free) == 0 || gains[m.key] < minMoveGain {
			return
		}
		i, gain := m.bestSlot(free, waiting)
		if gain < m.requiredGain() {
			continue // it gains too little, or faster servers of its version have no slot left
		}
		m.item.Moves++
		m.item.Stopping, m.item.MoveTo = true, free[i].server.ID
		free = takeSlot(free, i)
		out.Add(command.StopRun{Key: m.key, Run: m.item.Run})
		out.Add(command.Count{Counter: "runs_moved", Tags: map[string]string{"reason": string(verdict.ReasonSlow)}, Delta: 1})
	}
}

// freeServer is a server with free slots.
type freeServer struct {
	server *table.Server
	pace   paceForecast
	slots  int
}

// freeServers returns the servers of a pool with free slots and without a request limit, the
// fastest first.
func freeServers(now time.Duration, r *table.Rollout, key poolKey) []freeServer {
	var free []freeServer
	for _, s := range eligibleServers(r, key) {
		if s.RequestLimit > 0 {
			continue // each move is one request more
		}
		if n := serverRoom(now, s); n > 0 {
			pace := forecastPace(now, r, s)
			if pace.span > 0 {
				pace.span += burstLength // its slowdown may be a burst, which the run would meet
			}
			free = append(free, freeServer{s, pace, n})
		}
	}
	slices.SortFunc(free, func(a, b freeServer) int {
		return cmp.Or(cmp.Compare(a.pace.typical(), b.pace.typical()), cmp.Compare(a.server.ID, b.server.ID))
	})
	return free
}

// takeSlot reserves a slot of the free server at an index.
func takeSlot(free []freeServer, i int) []freeServer {
	free[i].server.Reserved++
	free[i].slots--
	if free[i].slots == 0 {
		return slices.Delete(free, i, i+1)
	}
	return free
}

// cancelReservation gives up the slot that is reserved for an item.
func cancelReservation(r *table.Rollout, item *table.Item) {
	if s := r.Servers.Find(item.MoveTo); s != nil && s.Reserved > 0 {
		s.Reserved--
	}
	item.MoveTo = ""
}

// poolKeyOf returns the key of the pool that a running item of l on s belongs to.
func poolKeyOf(s *table.Server, l *table.Lot) poolKey {
	return poolKey{service: s.Service, model: l.Head.Model, minVersion: l.Submission.MinimumVersion}
}
