package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/permit"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// acquire asks for a permit of server s with a limit of 4/s.
func (w *world) acquire(maxWait time.Duration, background bool) forward.Permit {
	request := permit.Request{PermitRequest: forward.PermitRequest{Server: "s", Limit: 4, MaxWait: maxWait, Background: background}, Share: 1}
	return commandsOf[command.AnswerPermit](w.step(event.PermitRequested{RequestID: "q", Request: request}))[0].Permit
}

// TestPermitsKeepToTheLimit guards against more permits in a second than a server takes,
// whatever the mix of callers and requests in the background, and against a limit that is
// left unused.
func TestPermitsKeepToTheLimit(t *testing.T) {
	for name, background := range map[string]func(int) bool{
		"callers": func(int) bool { return false }, "background": func(int) bool { return true }, "both": func(i int) bool { return i%2 == 0 },
	} {
		w := newWorld(t)
		var usable []time.Duration // when each permit may be used
		for i := 0; w.now < 9*time.Second; i++ {
			if p := w.acquire(0, background(i)); p.Granted {
				usable = append(usable, w.now+p.Wait)
			}
		}
		for i, from := range usable {
			n := 0
			for _, at := range usable[i:] {
				if at < from+4*time.Second {
					n++
				}
			}
			require.LessOrEqual(t, n, 4*4+4, "%s: the limit and the permits saved up in one second", name)
		}
		require.GreaterOrEqual(t, len(usable), 8*4-1, name)
	}
}

// TestPermitsAreReservedInOrder guards against callers that overtake one another, and against
// a reservation beyond the time that a caller has.
func TestPermitsAreReservedInOrder(t *testing.T) {
	w := newWorld(t)
	var last time.Duration
	granted := 0
	for range 20 {
		p := w.acquire(time.Second, false)
		if !p.Granted {
			require.Greater(t, p.Wait, time.Second)
			continue
		}
		granted++
		require.LessOrEqual(t, p.Wait, time.Second)
		require.GreaterOrEqual(t, w.now+p.Wait, last)
		last = w.now + p.Wait
	}
	require.InDelta(t, 5, granted, 1, "one at once and those of the next second")
}

// TestCallersDoNotStarveScores guards against lots that never end because callers use up the
// limits of the servers that score their items.
func TestCallersDoNotStarveScores(t *testing.T) {
	w := newWorld(t)
	background := 0
	for w.now < 11*time.Second {
		w.acquire(2*time.Second, false)
		if w.acquire(0, true).Granted {
			background++
		}
	}
	require.GreaterOrEqual(t, background, 10*4/2-1, "half of the limit")
}

// TestLimitedEngineGetsOneItemAtATime guards against items that are sent to an engine whose
// limit is used up, and count as failures of that engine.
func TestLimitedEngineGetsOneItemAtATime(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("e1", nil))
	w.step(event.RunStarted{Server: "e1", Model: model, Version: 1, Limit: 2})
	started := commandsOf[command.StartRun](w.accept(submission(3)))
	require.Len(t, started, 1)
	w.step(event.RunEnded{Key: started[0].Key, Run: started[0].Run, Server: "e1", Model: model, Failure: &event.Failure{
		Verdict: verdict.NotRun, Reason: verdict.ReasonServerLimit, RetryAfter: 500 * time.Millisecond,
	}})
	require.Empty(t, commandsOf[command.StartRun](w.advance(450*time.Millisecond)))
	require.Len(t, commandsOf[command.StartRun](w.advance(100*time.Millisecond)), 1)
	s := w.tables.Rollout.Servers.Find("e1")
	require.Zero(t, s.Failures)
	require.Zero(t, s.Refusals)
}

// TestRunsDoNotMoveToLimitedEngines guards against moves, each of which is a request more, to
// an engine that takes few requests.
func TestRunsDoNotMoveToLimitedEngines(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("fast", nil))
	w.step(event.RunStarted{Server: "fast", Model: model, Version: 1, Limit: 2})
	r := &w.tables.Rollout
	require.Empty(t, freeServers(w.now, r, poolKey{service: "engines", model: model, minVersion: 1}))
	w.step(event.RunStarted{Server: "fast", Model: model, Version: 1})
	require.Len(t, freeServers(w.now, r, poolKey{service: "engines", model: model, minVersion: 1}), 1)
}

// TestNoModelHasOnlyLimitedEngines guards against a model that is late because all its engines
// name request limits while other models have engines without.
func TestNoModelHasOnlyLimitedEngines(t *testing.T) {
	w := newWorld(t)
	r := &w.tables.Rollout
	d := state(2)
	d.Services = map[string]desired.Service{"engines": {Name: "engines", Models: []string{"m", "n"}}}
	w.step(event.DesiredRead{State: d})
	for i := range 6 {
		w.step(w.server(fmt.Sprintf("e%d", i), func(s *registry.Server) { s.Models = map[string]registry.Version{"m": 1, "n": 1} }))
	}
	w.advance(2 * assignInterval)
	var limited []string
	for id, s := range r.Servers.All() {
		if s.PreferredModel == "m" {
			limited = append(limited, id)
		}
	}
	require.Len(t, limited, 3)
	slices.Sort(limited)
	w.step(event.PresenceRead{Rows: []event.PresenceRow{{Host: "b", Address: "b:1", LimitedEngines: limited, Version: w.version()}}})
	w.advance(2 * assignInterval)
	without := make(map[string]int)
	for id, s := range r.Servers.All() {
		if !slices.Contains(limited, id) {
			without[s.PreferredModel]++
		}
	}
	require.NotZero(t, without["m"])
	require.NotZero(t, without["n"])
}

// TestLimitedEnginesArePublished guards against hosts that divide the engines differently
// because only some of them know the limits.
func TestLimitedEnginesArePublished(t *testing.T) {
	w := newWorld(t)
	w.tables.Rollout.Presence.Address = "a:1"
	w.step(w.server("e1", nil))
	w.step(event.PresenceWritten{}, event.PresenceRead{Rows: []event.PresenceRow{{Host: "a", Address: "a:1", Version: w.version()}}})
	w.advance(presenceRetryDelay)
	w.step(event.RunStarted{Server: "e1", Model: model, Version: 1, Limit: 2})
	written := commandsOf[command.WritePresence](w.step())
	require.Len(t, written, 1)
	require.Equal(t, []string{"e1"}, written[0].LimitedEngines)
	w.step(event.PresenceWritten{}, event.PresenceRead{Rows: []event.PresenceRow{{Host: "a", Address: "a:1", LimitedEngines: []string{"e1"}, Version: w.version()}}})
	require.Empty(t, commandsOf[command.WritePresence](w.advance(2*time.Second)), "nothing has changed")
	require.True(t, limitedEngines(w.now, &w.tables.Rollout)["e1"])

	w.step(event.RunStarted{Server: "e1", Model: model, Version: 1})
	written = commandsOf[command.WritePresence](w.advance(presenceRetryDelay))
	require.Len(t, written, 1)
	require.Empty(t, written[0].LimitedEngines)
	w.advance(limitMemory)
	require.Empty(t, limitedEngines(w.now, &w.tables.Rollout), "an old row does not count")
}

// TestLimitedEnginesMakeUpForOthers guards against a model without any engine that takes all
// requests and with as few of the limited ones as models that have one.
func TestLimitedEnginesMakeUpForOthers(t *testing.T) {
	free := []*table.Server{{PreferredModel: "m"}, {PreferredModel: "n"}}
	unmet := unmetDemand([]string{"m", "n", "o"}, map[string]int{"m": 160, "n": 300, "o": 300}, free, 7)
	quotas := computeQuotas(7, []string{"m", "n", "o"}, unmet)
	require.GreaterOrEqual(t, quotas[2].servers, 4, "the model without another engine gets most")
	require.Positive(t, quotas[0].servers)
	require.Positive(t, quotas[1].servers)
}
