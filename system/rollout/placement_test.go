package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	fastInterval = 38 * time.Millisecond
	slowerFactor = 1.3 // of a third of the engines of the deployments
)

// measure sets the pace of a server as if it had been measured until now.
func (w *world) measure(server string, interval time.Duration) {
	s := w.tables.Rollout.Servers.Find(server)
	s.Pace = table.Pace{}
	for age := 3 * time.Second; age >= 0; age -= 300 * time.Millisecond {
		recordPace(w.now-age, &w.tables.Rollout, s, interval, 1, new(command.Outbox))
	}
}

// newPacedWorld returns a world with a fast server and one that is slower by a factor, both
// of two slots, and with known lengths of outputs.
func newPacedWorld(t *testing.T, factor float64) *world {
	w := newWorld(t)
	w.step(w.server("fast", nil), w.server("slower", nil))
	w.learnLengths()
	w.measure("fast", fastInterval)
	w.measure("slower", time.Duration(factor*float64(fastInterval)))
	return w
}

// learnLengths sets the length statistics of the model to one event per 10 tokens.
func (w *world) learnLengths() {
	m, _ := w.tables.Rollout.Models.Upsert(model)
	m.Lengths = table.LengthStats{Outputs: 100, MeanLogRatio: math.Log(0.1), Variance: 0.01}
}

// started returns the run of an item among commands.
func started(commands []command.Command, item string) *command.StartRun {
	for _, c := range commandsOf[command.StartRun](commands) {
		if c.Spec.ID == item {
			return &c
		}
	}
	return nil
}

// progressed returns a progress report of a run.
func progressed(c *command.StartRun, events int, interval time.Duration) event.RunProgressed {
	return event.RunProgressed{Key: c.Key, Run: c.Run, Server: c.Target.ID, Events: make([]string, events), EventInterval: interval}
}

// stopped returns the outcome of a run that was stopped.
func (w *world) stopped(c command.StopRun) event.RunEnded {
	return event.RunEnded{
		Key: c.Key, Run: c.Run, Server: w.tables.Rollout.Items.Find(c.Key).Server, Model: model,
		Failure: &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCanceled},
	}
}

// TestLongestItemsGetFastestServers guards against long items on slow servers while short
// ones occupy the fast ones. In a simulated day, steps waited for one item of 203 events
// that took 9.9 s on a slower engine instead of 7.7 s.
func TestLongestItemsGetFastestServers(t *testing.T) {
	w := newPacedWorld(t, slowerFactor)
	s := submission(4)
	for i, tokens := range []int{100, 1500, 200, 2000} {
		s.Items[i].EstimatedTokens = tokens
	}
	commands := w.accept(s)
	require.Len(t, commandsOf[command.StartRun](commands), 4)
	for item, server := range map[string]string{"i0": "slower", "i1": "fast", "i2": "slower", "i3": "fast"} {
		require.Equal(t, server, started(commands, item).Target.ID, item)
	}
}

// TestLongRunMovesToFasterServer guards against a long run that stays on a slower server
// while a faster one has a free slot, against moves that cost more than they gain, and
// against more moves than there are free slots.
func TestLongRunMovesToFasterServer(t *testing.T) {
	w := newPacedWorld(t, slowerFactor)
	s := submission(4)
	for i, tokens := range []int{1500, 1600, 1200, 1300} {
		s.Items[i].EstimatedTokens = tokens
	}
	commands := w.accept(s)
	long, short := started(commands, "i0"), started(commands, "i2")
	require.Equal(t, "fast", long.Target.ID)
	require.Equal(t, "slower", short.Target.ID)

	require.Empty(t, commandsOf[command.StopRun](w.advance(200*time.Millisecond)), "no slot is free")
	commands = append(w.step(endedRun(*long, "x")), w.advance(moveCheckInterval)...)
	stops := commandsOf[command.StopRun](commands)
	require.Len(t, stops, 1, "one slot is free")
	next := w.step(w.stopped(stops[0]))
	require.Len(t, commandsOf[command.StartRun](next), 1)
	require.Equal(t, "fast", commandsOf[command.StartRun](next)[0].Target.ID)
	require.Empty(t, commandsOf[command.StopRun](w.advance(500*time.Millisecond)), "no slot is free any more")
}

// TestLongRunTakesFastSlotBeforeShortItems guards against waiting items that take each fast
// slot as it becomes free, while long runs stay on slower servers. In a simulated day, runs
// of 203 events stayed there for 2 to 4 s, and each delayed its step by a fifth of that.
func TestLongRunTakesFastSlotBeforeShortItems(t *testing.T) {
	w := newPacedWorld(t, slowerFactor)
	s := submission(6)
	for i, tokens := range []int{2000, 1900, 1800, 1700, 200, 100} {
		s.Items[i].EstimatedTokens = tokens
	}
	commands := w.accept(s)
	require.Equal(t, "slower", started(commands, "i2").Target.ID)
	commands = w.step(endedRun(*started(commands, "i0"), "x"))
	require.Empty(t, commandsOf[command.StartRun](commands), "the slot is reserved")
	stops := commandsOf[command.StopRun](commands)
	require.Len(t, stops, 1)
	require.Equal(t, "l/i2", stops[0].Key)
	require.Empty(t, commandsOf[command.StartRun](w.advance(100*time.Millisecond)), "the slot stays reserved")
	commands = w.step(w.stopped(stops[0]))
	require.Equal(t, "fast", started(commands, "i2").Target.ID)
	require.Equal(t, "slower", started(commands, "i4").Target.ID, "the waiting item takes the slower slot")
	require.Zero(t, w.tables.Rollout.Servers.Find("fast").Reserved)
}

// reserveSlots accepts a submission of equal items, ends the runs on the fast server, and
// returns those on the slower one, for each of which a slot is then reserved.
func (w *world) reserveSlots(s *lot.Submission) (slower []command.StartRun) {
	for i := range s.Items {
		s.Items[i].EstimatedTokens = 1000
	}
	for _, c := range commandsOf[command.StartRun](w.accept(s)) {
		if c.Target.ID == "fast" {
			w.step(endedRun(c, "x"))
		} else {
			slower = append(slower, c)
		}
	}
	require.NotEmpty(w.t, slower)
	require.Len(w.t, commandsOf[command.StopRun](w.advance(2*moveCheckInterval)), len(slower))
	require.Equal(w.t, len(slower), w.tables.Rollout.Servers.Find("fast").Reserved)
	return slower
}

// TestReservationEndsWithItem guards against slots that stay reserved for items that are
// gone.
func TestReservationEndsWithItem(t *testing.T) {
	w := newPacedWorld(t, 3)
	require.Len(t, w.reserveSlots(submission(4)), 2)
	ended := w.tables.Rollout.Lots.Find("l").Head
	ended.Ended = true
	w.step(headsRead(w.rewritten(ended, w.tables.Rollout.Lots.Find("l").Version, "end")))
	require.Zero(t, w.tables.Rollout.Items.Len())
	require.Zero(t, w.tables.Rollout.Servers.Find("fast").Reserved)
}

// TestReservationEndsWithRun guards against a slot that stays reserved while the output of a
// run that ended before it could be moved is scored.
func TestReservationEndsWithRun(t *testing.T) {
	w := newPacedWorld(t, 3)
	s := submission(3)
	for i := range s.Items {
		s.Items[i].Scorer = &lot.Scorer{ID: "s", Host: "h", Path: "/s/x"}
	}
	slower := w.reserveSlots(s)
	require.Len(t, slower, 1)
	w.step(endedRun(slower[0], "x"))
	require.Equal(t, table.ItemScoring, w.tables.Rollout.Items.Find(slower[0].Key).Stage)
	require.Zero(t, w.tables.Rollout.Servers.Find("fast").Reserved)
}

// TestShortRunStays guards against a move of a run that is about to end.
func TestShortRunStays(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("slower", nil))
	w.learnLengths()
	s := submission(1)
	s.Items[0].EstimatedTokens = 100
	run := started(w.accept(s), "i0")
	w.step(w.server("fast", nil))
	w.measure("fast", fastInterval)
	w.measure("slower", time.Duration(slowerFactor*float64(fastInterval)))
	w.step(progressed(run, 2, time.Duration(slowerFactor*float64(fastInterval))))
	require.Empty(t, commandsOf[command.StopRun](w.advance(time.Second)))
}

// TestRunLeavesServerThatTurnedSlow guards against runs that stay on a server that became
// slow, and against items that wait although that server is the only one with room. Six items of
// a step once took 6 to 9 s on a slow server.
func TestRunLeavesServerThatTurnedSlow(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil), w.server("s2", nil))
	w.learnLengths()
	w.measure("s1", fastInterval)
	w.measure("s2", fastInterval)
	s := submission(4)
	for i := range s.Items {
		s.Items[i].EstimatedTokens = 1000
	}
	commands := w.accept(s)
	on := make(map[string][]command.StartRun)
	for _, c := range commandsOf[command.StartRun](commands) {
		on[c.Target.ID] = append(on[c.Target.ID], c)
	}
	require.Len(t, on["s1"], 2)
	slow := 3 * fastInterval
	for range 8 {
		w.step(progressed(&on["s1"][0], 1, slow), progressed(&on["s1"][1], 1, slow))
		w.advance(240 * time.Millisecond)
	}
	require.Empty(t, commandsOf[command.StopRun](w.advance(200*time.Millisecond)), "s2 is full")
	stops := commandsOf[command.StopRun](append(w.step(endedRun(on["s2"][0], "x")), w.advance(moveCheckInterval)...))
	require.Len(t, stops, 1, "s2 has one free slot")

	next := commandsOf[command.StartRun](w.step(w.stopped(stops[0])))
	require.Len(t, next, 1)
	require.Equal(t, "s2", next[0].Target.ID)
	require.Equal(t, 8, next[0].AfterEvent)

	again := submission(4)
	again.ID = "l2"
	more := commandsOf[command.StartRun](w.accept(again))
	require.Len(t, more, 1, "an item starts on a slow server rather than wait")
	require.Equal(t, "s1", more[0].Target.ID)
}

// TestCrashedServerIsTriedByOneItem guards against items that are sent again and again to
// a server that refuses connections, because it is the only one with room. In a simulated
// day, 1,728 runs failed to connect within seconds.
func TestCrashedServerIsTriedByOneItem(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("up", nil), w.server("crashed", nil))
	tries := 0
	commands := w.accept(submission(20))
	for end := w.now + 3*time.Second; w.now < end; {
		var ended []event.Event
		for _, c := range commandsOf[command.StartRun](commands) {
			if c.Target.ID != "crashed" {
				continue
			}
			tries++
			e := endedRun(c)
			e.Versions, e.Version = nil, 0
			e.Failure = &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed}
			ended = append(ended, e)
		}
		commands = w.step(ended...)
	}
	require.LessOrEqual(t, tries, 2+3, "two items at first, then one after each suspect period of 0.5, 1 and 2 s")
	w.now += suspectRetryDelay
	runs := commandsOf[command.StartRun](w.step(event.ServerOutcome{Outcome: forward.Outcome{Server: "crashed", Answered: true}}))
	require.Len(t, runs, 2, "the server works again")
}

// TestAllServersCrashed guards against a busy loop of failing runs when no server is left.
func TestAllServersCrashed(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	tries := 0
	commands := w.accept(submission(4))
	for end := w.now + time.Second; w.now < end; {
		var ended []event.Event
		for _, c := range commandsOf[command.StartRun](commands) {
			tries++
			e := endedRun(c)
			e.Failure = &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectFailed}
			ended = append(ended, e)
		}
		commands = w.step(ended...)
	}
	require.LessOrEqual(t, tries, 2+int(time.Second/suspectRetryDelay))
	require.Greater(t, tries, 4, "the server is tried again")
}

// TestItemsClosestToDueStartFirst guards against an order by age of the lot alone, in
// which the long items of a new lot wait behind short ones that have time left.
func TestItemsClosestToDueStartFirst(t *testing.T) {
	w := newWorld(t)
	w.tables.Rollout.Desired.Routes[0].CompletionTarget = 7 * time.Second
	w.learnLengths()
	old := submission(1)
	old.Items[0].EstimatedTokens = 50
	w.accept(old)
	w.advance(time.Second)
	young := submission(1)
	young.ID, young.Items[0].EstimatedTokens = "l2", 2000
	w.accept(young)
	var out command.Outbox
	w.tables.Rollout.Servers.Upsert("any")
	w.tables.Rollout.Servers.Find("any").Slots = 1
	waiting := waitingItems(w.now, w.tables, &out)
	require.Len(t, waiting, 2)
	require.Equal(t, "l2/i0", waiting[0].key)
}

// TestForecastFollowsOutputs checks the forecast of remaining events against outputs drawn
// from the distribution of the deployments: estimates are off by a factor of e^0.5, and
// the engine stops at a limit.
func TestForecastFollowsOutputs(t *testing.T) {
	const tokensPerEvent, limit, outputs = 58, 203, 20000
	random := rand.New(rand.NewPCG(1, 2))
	m := &table.Model{}
	type output struct{ estimate, events float64 }
	var all []output
	for range outputs {
		estimate := math.Exp(3 + random.NormFloat64())
		events := math.Min(limit, math.Ceil(estimate*math.Exp(0.5*random.NormFloat64())))
		all = append(all, output{estimate, events})
		recordLength(m, &lot.Item{EstimatedTokens: int(estimate*tokensPerEvent) + 1}, int(events))
	}
	require.InDelta(t, 0.5, lengthSpread(m.Lengths), 0.15)
	for _, done := range []float64{0, 10, 40, 120} {
		var actual, forecast float64
		for _, o := range all {
			if o.events > done {
				actual += o.events - done
				forecast += remainingEvents(m, &lot.Item{EstimatedTokens: int(o.estimate*tokensPerEvent) + 1, MaxTokens: limit * tokensPerEvent}, done)
			}
		}
		require.InEpsilon(t, actual, forecast, 0.25, "after %v events", done)
	}
}

// TestRemainingEventsIsBounded guards against forecasts that are not positive numbers.
func TestRemainingEventsIsBounded(t *testing.T) {
	require.EqualValues(t, unknownRemainingEvents, remainingEvents(nil, &lot.Item{}, 3))
	m := &table.Model{}
	for range 50 {
		recordLength(m, &lot.Item{EstimatedTokens: 100}, 10)
	}
	for _, limit := range []int{0, 500} {
		for _, done := range []float64{0, 1, 9, 10, 11, 49, 50, 51, 1e4, 1e9} {
			n := remainingEvents(m, &lot.Item{EstimatedTokens: 100, MaxTokens: limit}, done)
			require.False(t, math.IsNaN(n) || math.IsInf(n, 0) || n < minRemainingEvents, "limit %d, done %v: %v", limit, done, n)
		}
	}
}

// benchBusyWorld returns a world whose servers are full and in which items wait.
func benchBusyWorld(b *testing.B, servers, waiting int) *world {
	w := benchWorld(b, servers, 0)
	w.learnLengths()
	w.accept(submission(servers*8 + waiting))
	return w
}

// BenchmarkBusyTick measures a tick in which no slot is free and items wait, and one in
// which a slot becomes free.
func BenchmarkBusyTick(b *testing.B) {
	for _, waiting := range []int{0, 1000} {
		b.Run(fmt.Sprintf("full-waiting-%d", waiting), func(b *testing.B) {
			w := benchBusyWorld(b, 66, waiting)
			for b.Loop() {
				var out command.Outbox
				Dispatch(w.now, w.tables, nil, &out)
				w.tables.Rollout.MovesCheckedAt = 0
			}
		})
	}
	b.Run("slot-free-waiting-1000", func(b *testing.B) {
		w := benchBusyWorld(b, 66, 1000)
		for b.Loop() {
			b.StopTimer()
			for key, item := range w.tables.Rollout.Items.All() {
				if item.Stage == table.ItemRunning {
					releaseSlot(w.tables, item)
					w.tables.Rollout.Items.Delete(key)
					break
				}
			}
			b.StartTimer()
			var out command.Outbox
			Dispatch(w.now, w.tables, nil, &out)
		}
	})
}

// TestStalledItemGetsMoreTime guards against an item that is never done because each of its
// runs is given up before a slow but sound server sends an event, and against a server that
// is usually slow and whose runs are given up for that.
func TestStalledItemGetsMoreTime(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	run := commandsOf[command.StartRun](w.accept(submission(1)))[0]
	first, next := run.FirstEventTimeout, run.NextEventTimeout
	for stalls := range maxTimeoutDoublings + 2 {
		require.Equal(t, first<<min(stalls, maxTimeoutDoublings), run.FirstEventTimeout)
		require.GreaterOrEqual(t, run.NextEventTimeout, next<<min(stalls, maxTimeoutDoublings))
		e := endedRun(run)
		e.Failure = &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonStalled}
		commands := append(w.step(e), w.advance(maxSuspectPeriod+suspectRetryDelay)...)
		run = commandsOf[command.StartRun](commands)[0]
	}

	w = newWorld(t)
	w.step(w.server("slow", nil))
	w.measure("slow", 2*time.Second)
	run = commandsOf[command.StartRun](w.accept(submission(1)))[0]
	require.Greater(t, run.NextEventTimeout, 2*time.Second)
}
