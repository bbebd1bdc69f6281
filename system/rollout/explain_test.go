package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// explain runs only the system that answers, so that the tables stay as they are.
func (w *world) explain(id, item string) command.AnswerExplain {
	var out command.Outbox
	Explain(w.now, w.tables, []event.Event{event.ExplainRequested{RequestID: "q", Lot: id, Item: item}}, &out)
	return commandsOf[command.AnswerExplain](out.Take())[0]
}

// randomWorld returns a world with an owned lot of waiting items and servers in random states.
func randomWorld(t *testing.T, rng *rand.Rand) *world {
	w := newWorld(t)
	w.accept(submission(3))
	software := func() registry.Software { return registry.Software(fmt.Sprintf("v%d", 1+rng.IntN(2))) }
	chance := func(percent int) bool { return rng.IntN(100) < percent }
	for i := range rng.IntN(6) {
		w.step(w.server(fmt.Sprintf("s%d", i), func(s *registry.Server) {
			s.Software, s.Leaving, s.Zone = software(), chance(15), string(rune('y'+rng.IntN(2)))
			s.Models = map[string]registry.Version{model: registry.Version(rng.IntN(3))}
		}))
	}
	r := &w.tables.Rollout
	w.now += time.Second
	for _, s := range r.Servers.All() {
		s.Running, s.Reserved = rng.IntN(3), rng.IntN(2)
		s.Pace.Recent = time.Duration(5+rng.IntN(40)) * time.Millisecond
		if chance(20) {
			s.SuspectUntil = w.now + time.Second
		}
		if chance(20) {
			s.BusyUntil = w.now + time.Second
		}
		if chance(20) {
			s.PreferredModel = "other"
		}
	}
	for _, item := range r.Items.All() {
		item.Stage, item.Server, item.WaitingSince = table.ItemWaiting, "", w.now-time.Duration(rng.IntN(200))*time.Millisecond
		if chance(60) {
			item.Events, item.Software = make([]string, 1+rng.IntN(10)), software()
			item.RunAfter = rng.IntN(len(item.Events) + 1)
		}
		if chance(20) {
			item.MoveTo = fmt.Sprintf("s%d", rng.IntN(6))
		}
		if chance(20) {
			item.AvoidServer = fmt.Sprintf("s%d", rng.IntN(6))
		}
	}
	return w
}

// TestItemExplanationAgreesWithChoice guards against an explanation of an item that names
// another server than the one on which Dispatch would start it, or no reason for one that is
// not used.
func TestItemExplanationAgreesWithChoice(t *testing.T) {
	bases := make(map[string]int)
	for seed := range uint64(600) {
		w := randomWorld(t, rand.New(rand.NewPCG(seed, 3)))
		r := &w.tables.Rollout
		l := r.Lots.Find("l")
		answer := w.explain("l", "")
		require.Nil(t, answer.Failure, "seed %d", seed)
		require.Len(t, answer.Explanation.Items, 3, "seed %d", seed)
		for _, e := range answer.Explanation.Items {
			key := table.ItemKey("l", e.ID)
			item := r.Items.Find(key)
			chosen := make(pools).choose(w.now, r, newWaitingItem(w.now, r, key, item, l, r.Desired.Match("h", item.Spec.Path)))
			bases[e.Basis]++
			require.Len(t, e.Servers, r.Servers.Len(), "seed %d", seed)
			if chosen != nil {
				require.Equal(t, chosen.ID, e.Server, "seed %d", seed)
				require.Equal(t, chosen.ID, e.Servers[0].ID, "seed %d", seed)
			} else {
				require.Empty(t, e.Server, "seed %d", seed)
			}
			for _, s := range e.Servers {
				possible := s.LeftOut == "" && s.ID != e.Server
				require.False(t, possible && chosen == nil && e.Basis != string(basisAwaits), "seed %d: %s is possible", seed, s.ID)
				require.False(t, possible && e.Basis == string(basisFastest) && s.CompletionMS < e.Servers[0].CompletionMS, "seed %d: %s is faster", seed, s.ID)
			}
		}
	}
	for _, b := range []basis{basisReserved, basisFastest, basisContinues, basisRestart, basisAwaits, basisNoRoom, basisNoServer} {
		require.NotZero(t, bases[string(b)], "%q did not occur in %v", b, bases)
	}
}

// TestExplainFailures guards against an empty answer to a question that this host cannot
// answer, and against items of running stages without their run.
func TestExplainFailures(t *testing.T) {
	w := newWorld(t)
	require.Equal(t, verdict.ReasonUnknownLot, w.explain("l", "").Failure.Reason)
	require.Contains(t, w.explain("", "i0").Failure.Message, `the item "i0"`)
	w.step(w.server("s", nil), headsRead(w.head("foreign", lot.Process{Host: "b"}, 0, 1)))
	w.accept(submission(1))
	require.Contains(t, w.explain("foreign", "i0").Failure.Message, `host "b"`)
	require.Equal(t, "b", w.explain("foreign", "").Explanation.Owner)
	require.Contains(t, w.explain("l", "i9").Failure.Message, `no item "i9"`)
	e := w.explain("", "i0").Explanation
	require.Equal(t, "l", e.ID)
	require.Equal(t, "s", e.Items[0].Server)
	require.NotZero(t, e.Items[0].Run)
	w.tables.Rollout.Desired = nil
	require.Equal(t, verdict.ReasonNotReady, w.explain("l", "").Failure.Reason)
}

// TestPlanDescribesServers guards against explanations of requests from a plan with old
// weights, without the servers that leave, or with missing records that seem present.
func TestPlanDescribesServers(t *testing.T) {
	w := newWorld(t)
	published := func(in event.Event) *forward.Plan {
		commands := commandsOf[command.PublishRouting](w.step(in))
		require.Len(t, commands, 1)
		require.Equal(t, w.now, commands[0].Plan.At)
		return commands[0].Plan
	}
	published(w.server("s", nil))
	newer := published(w.server("s", func(s *registry.Server) { s.Models = map[string]registry.Version{model: 2} }))
	require.Equal(t, registry.Version(2), newer.Services["engines"][0].Models[model])
	w.step(event.FeedChanged{Table: feedServers, Down: true})
	require.True(t, published(w.removed("s")).Services["engines"][0].Missing)
	leaving := published(w.server("s", func(s *registry.Server) { s.Leaving = true }))
	require.Empty(t, leaving.Services["engines"])
	require.Equal(t, "s", leaving.Leaving["engines"][0].ID)
}
