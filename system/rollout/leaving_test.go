package rollout

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/permit"
	"github.com/lavenderstand/lavenderstand/registry"
)

// start returns the start of a server as world.server publishes it.
func start(id string) registry.Start {
	return registry.Start{Server: id, Address: id + ":1", StartedUnixMS: 1}
}

func said(fromHost bool, starts ...registry.Start) event.Event {
	return event.ServersLeaving{FromHost: fromHost, Starts: starts}
}

// leavingCounts returns the sources of the counts of server_leaving.
func leavingCounts(commands []command.Command) (sources []string) {
	for _, c := range commandsOf[command.Count](commands) {
		if c.Counter == "server_leaving" {
			sources = append(sources, c.Tags["source"])
		}
	}
	return sources
}

// TestServerThatSaysItLeavesIsTreatedAsDraining guards against requests, runs, permits and
// orders for a server that said in an answer that it leaves, and against hosts that tell one
// another again and again.
func TestServerThatSaysItLeavesIsTreatedAsDraining(t *testing.T) {
	for source, fromHost := range map[string]bool{sourceAnswer: false, sourceHost: true} {
		w := newWorld(t)
		w.step(w.server("s1", nil), w.server("s2", nil))
		first := w.step(said(fromHost, start("s1")))
		require.Len(t, lastPlan(first).Services["engines"], 1)
		require.Equal(t, []string{source}, leavingCounts(first))
		require.Len(t, commandsOf[command.LogChange](first), 1)
		require.Len(t, commandsOf[command.MarkLeaving](first), 1, "requests that are about to be sent are withheld")
		shared := commandsOf[command.ShareLeaving](first)
		require.Equal(t, fromHost, len(shared) == 0, "only the host that learns it from an answer tells others")

		again := w.step(said(false, start("s1")), said(true, start("s1")), w.server("s1", nil), said(false, start("s1")))
		require.Empty(t, commandsOf[command.ShareLeaving](again))
		require.Empty(t, leavingCounts(again))
		require.Nil(t, lastPlan(again), "a record does not revoke it")
		for _, run := range commandsOf[command.StartRun](w.accept(submission(4))) {
			require.Equal(t, "s2", run.Target.ID)
		}
		ask := permit.Request{PermitRequest: forward.PermitRequest{Server: "s1", Limit: 10, MaxWait: time.Second}, Share: 1}
		require.False(t, commandsOf[command.AnswerPermit](w.step(event.PermitRequested{Request: ask}))[0].Permit.Granted)
		require.Len(t, engines(&w.tables.Rollout, "engines"), 1, "it gets no order and is no room")
		for _, s := range w.tables.Rollout.Servers.All() {
			s.PreferredModel = model
		}
		require.Equal(t, 2, modelSlots(&w.tables.Rollout, model))
		answer := commandsOf[command.AnswerLeaving](w.step(event.LeavingRequested{RequestID: "q"}))[0]
		require.Equal(t, []registry.Start{start("s1")}, answer.Starts, "a new host that asks is told")
		require.NotZero(t, w.tables.Rollout.Servers.Find("s1").LeavingSince)
	}
}

// TestLeavingBelongsToOneStart guards against a new start of a server that gets no work because
// an earlier one left, and against a start that gets work again because its record expired and
// returned, or was read only after another host had reported it.
func TestLeavingBelongsToOneStart(t *testing.T) {
	for _, next := range []registry.Start{{Server: "s1", Address: "s1:1", StartedUnixMS: 2}, {Server: "s1", Address: "s1:2", StartedUnixMS: 1}, start("s2")} {
		w := newWorld(t)
		w.step(w.server("s1", nil), said(false, start("s1")))
		w.tables.Rollout.Servers.Find("s1").Load.RecordLeaving() // as the executor does
		plan := lastPlan(w.step(w.server(next.Server, func(s *registry.Server) { s.Address, s.StartedUnixMS = next.Address, next.StartedUnixMS })))
		require.Len(t, plan.Services["engines"], 1, next)
		require.False(t, plan.Services["engines"][0].Load.Leaving(), next)
		earlier := registry.Start{Server: next.Server, Address: "s0:1", StartedUnixMS: 1}
		require.Nil(t, lastPlan(w.step(said(true, earlier))), "a late report of an earlier start")
	}
	w := newWorld(t)
	w.step(w.server("s1", nil), said(false, start("s1")))
	w.advance(missingGracePeriod)
	w.step(w.removed("s1"))
	w.advance(3 * time.Second)
	require.Zero(t, w.tables.Rollout.Servers.Len())
	require.Empty(t, lastPlan(w.step(w.server("s1", nil))).Services["engines"], "the record returned")
	early := newWorld(t)
	require.Empty(t, leavingCounts(early.step(said(true, start("s1")))))
	read := early.step(early.server("s1", nil))
	require.Empty(t, lastPlan(read).Services["engines"])
	require.Equal(t, []string{sourceHost}, leavingCounts(read))
	require.Equal(t, []string{sourceRecord}, leavingCounts(early.step(early.server("s2", func(s *registry.Server) { s.Leaving = true }))))
}

// TestLeavingStartsAreBounded guards against memory that grows with reports of servers that do
// not exist, against large messages, and against rows that are never deleted.
func TestLeavingStartsAreBounded(t *testing.T) {
	w := newWorld(t)
	var many []registry.Start
	for i := range maxLeavingStarts + 10 {
		many = append(many, start("x"+strconv.Itoa(i)))
	}
	for _, c := range commandsOf[command.ShareLeaving](w.step(said(false, many...))) {
		require.LessOrEqual(t, len(c.Starts), maxSharedStarts)
	}
	require.Equal(t, maxLeavingStarts, w.tables.Rollout.LeavingStarts.Len())
	w.step(w.server("s1", nil))
	require.Empty(t, lastPlan(w.step(said(false, start("s1")))).Services["engines"], "a listed server is noted all the same")
	w.now += leavingTTL + leavingCheckInterval
	w.step()
	require.Zero(t, w.tables.Rollout.LeavingStarts.Len())
	require.True(t, w.tables.Rollout.Servers.Find("s1").Leaving)
}

// TestNewHostAsksOnce guards against a process that replaces another one and sends requests to a
// server whose answer the other one had passed on.
func TestNewHostAsksOnce(t *testing.T) {
	w := newWorld(t)
	require.Empty(t, commandsOf[command.AskLeaving](w.step()))
	row := event.PresenceRead{Rows: []event.PresenceRow{{Host: "b", Address: "b:1", Version: 1}}}
	require.Len(t, commandsOf[command.AskLeaving](w.step(row)), 1)
	require.Empty(t, commandsOf[command.AskLeaving](w.advance(time.Second)))
}
