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
	"github.com/lavenderstand/lavenderstand/origin"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// newStreamWorld returns a world with a resumable stream route to the engines, whose recorded
// software versions are given.
func newStreamWorld(t *testing.T, versions ...registry.Software) *world {
	w := newWorld(t)
	s := state(2)
	s.Routes = append(s.Routes, desired.Route{
		Name: "streams", Host: "h", Prefix: "/live/", Kind: desired.KindStream, Resumable: true, Timeout: 8 * time.Second,
		Services: []desired.WeightedService{{Service: "engines", Weight: 1}},
	})
	in := []event.Event{event.DesiredRead{State: s}}
	for i, v := range versions {
		in = append(in, w.server(fmt.Sprintf("s%d", i), software(v)))
	}
	w.step(in...)
	if len(versions) > 0 {
		w.step(w.historyRow(versions...), event.SoftwareHistoryWritten{Service: "engines"})
	}
	w.advance(newVersionDelay)
	return w
}

func (w *world) historyRow(versions ...registry.Software) event.Event {
	return event.SoftwareHistoryRead{Rows: []event.SoftwareHistoryRow{{Service: "engines", Versions: versions, Version: w.version()}}}
}

func streamOf(attempt string) origin.Stream { return origin.StreamOf("engines", attempt) }

// resume runs a tick in which a caller resumes a stream, whose attempt is also the request id.
func (w *world) resume(attempt string) []command.Command {
	return w.step(event.StreamOriginRequested{RequestID: attempt, Stream: streamOf(attempt)})
}

// TestOneVersionNeedsNoRecord guards against a store call for each stream, and for each stream
// that is resumed, while a service has a single version.
func TestOneVersionNeedsNoRecord(t *testing.T) {
	w := newStreamWorld(t, "v1")
	commands := w.step(event.StreamBegan{Stream: streamOf("a"), Software: "v1"})
	commands = append(commands, w.resume("b")...)
	commands = append(commands, w.advance(3*time.Second)...)
	require.Empty(t, commandsOf[command.WriteStreamRecord](commands))
	require.Empty(t, commandsOf[command.ReadStreamOrigins](commands))
	require.Equal(t, []command.AnswerStreamOrigin{{RequestID: "b", Software: "v1"}}, commandsOf[command.AnswerStreamOrigin](commands))
}

// TestStaleHistoryIsNotTrusted guards against a host that was cut off and believes that its
// service has a single version.
func TestStaleHistoryIsNotTrusted(t *testing.T) {
	w := newStreamWorld(t, "v1")
	commands := w.step(event.StreamOriginRequested{RequestID: "a", Stream: streamOf("a"), HistoryAge: maxHistoryAge + time.Millisecond})
	require.Empty(t, commandsOf[command.AnswerStreamOrigin](commands))
	reads := commandsOf[command.ReadStreamOrigins](commands)
	require.Len(t, reads, 1)

	commands = w.step(event.StreamOriginsRead{IssuedAt: reads[0].IssuedAt, Failure: &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonStoreUnavailable}})
	require.Equal(t, []command.AnswerStreamOrigin{{RequestID: "a", Reason: verdict.ReasonStoreUnavailable}}, commandsOf[command.AnswerStreamOrigin](commands))
}

// TestStreamsAreRecordedWhileVersionsDiffer guards against a second version at which streams
// begin before other hosts can tell them from those of the first, and against streams that
// began before it came and that no host could tell from those that began after.
func TestStreamsAreRecordedWhileVersionsDiffer(t *testing.T) {
	w := newStreamWorld(t, "v1")
	w.step(event.StreamBegan{Stream: streamOf("old"), Software: "v1"})
	commands := w.step(w.server("new", software("v2")))
	writes := commandsOf[command.WriteSoftwareHistory](append(commands, w.advance(time.Second)...))
	require.NotEmpty(t, writes)
	require.Equal(t, []registry.Software{"v1", "v2"}, writes[0].Versions)
	require.True(t, w.avoidsNewStreams("new"), "not recorded")

	commands = w.step(w.historyRow("v1", "v2"))
	require.True(t, w.avoidsNewStreams("new"), "other hosts may not have read it")
	require.False(t, w.avoidsNewStreams("s0"))
	records := commandsOf[command.WriteStreamRecord](append(commands, w.advance(50*time.Millisecond)...))
	require.Len(t, records, 1)
	require.Equal(t, origin.Record{streamOf("old"): "v1"}, records[0].Record)
	w.advance(newVersionDelay)
	require.False(t, w.avoidsNewStreams("new"))

	w.step(event.StreamRecordWritten{Stored: origin.Stored{Version: w.version()}})
	records = commandsOf[command.WriteStreamRecord](w.step(event.StreamBegan{Stream: streamOf("fresh"), Software: "v2"}))
	require.Len(t, records, 1)
	require.Equal(t, origin.Record{streamOf("old"): "v1", streamOf("fresh"): "v2"}, records[0].Record)
}

// avoidsNewStreams reports whether new streams avoid a server in the published plan.
func (w *world) avoidsNewStreams(server string) bool {
	return w.target(server).AvoidNewStreams
}

// target returns a server in the routing plan.
func (w *world) target(server string) *forward.Target {
	plan := routingPlan(w.now, &w.tables.Rollout)
	i := slices.IndexFunc(plan.Services["engines"], func(t *forward.Target) bool { return t.ID == server })
	return plan.Services["engines"][i]
}

// TestUnknownVersionHoldsStreams guards against streams that begin at a version before other
// hosts know it because the servers of the earlier one are gone, and against streams that never
// begin because the version cannot be recorded.
func TestUnknownVersionHoldsStreams(t *testing.T) {
	w := newStreamWorld(t, "v1")
	w.step(w.server("new", software("v2")), w.removed("s0"))
	require.True(t, w.holdsNewStreams("new"))
	w.step(w.historyRow("v1", "v2"))
	require.True(t, w.holdsNewStreams("new"), "other hosts may not have read it")
	w.advance(newVersionDelay)
	require.False(t, w.holdsNewStreams("new"))

	w = newStreamWorld(t, "v1")
	w.step(w.server("new", software("v2")), w.removed("s0"))
	commands := w.advance(maxHold + historyCheckInterval)
	require.False(t, w.holdsNewStreams("new"), "it could not be recorded")
	plans := commandsOf[command.PublishRouting](commands)
	require.False(t, plans[len(plans)-1].Plan.Services["engines"][0].HoldNewStreams, "the plan is published again")

	w = newStreamWorld(t)
	w.step(w.server("first", software("v1")))
	require.False(t, w.holdsNewStreams("first"), "there is no version that hosts could take it for")
}

func (w *world) holdsNewStreams(server string) bool {
	return w.target(server).HoldNewStreams
}

// TestResumedStreamIsLookedUp guards against a stream that is refused although a host recorded
// it, that is guessed although none did, or for which its caller waits in vain.
func TestResumedStreamIsLookedUp(t *testing.T) {
	w := newStreamWorld(t, "v1", "v2")
	commands := append(w.resume("recorded"), w.resume("unknown")...)
	reads := commandsOf[command.ReadStreamOrigins](commands)
	require.Len(t, reads, 1)
	read := event.StreamOriginsRead{
		IssuedAt: reads[0].IssuedAt, Origins: map[origin.Stream]registry.Software{streamOf("recorded"): "v2"},
		Histories: map[string][]registry.Software{"engines": {"v1", "v2"}},
	}
	commands = w.step(read)
	require.Equal(t, []command.AnswerStreamOrigin{{RequestID: "recorded", Software: "v2"}}, commandsOf[command.AnswerStreamOrigin](commands))

	start := w.now
	var answers []command.AnswerStreamOrigin
	for len(answers) == 0 && w.now < start+2*time.Second {
		commands = w.step()
		for _, c := range commandsOf[command.ReadStreamOrigins](commands) {
			read.IssuedAt = c.IssuedAt
			commands = w.step(read)
		}
		answers = commandsOf[command.AnswerStreamOrigin](commands)
	}
	require.Equal(t, []command.AnswerStreamOrigin{{RequestID: "unknown", Reason: verdict.ReasonSoftwareUnknown}}, answers)
	require.Less(t, w.now-start, maxRecordWait+100*time.Millisecond)
}

// TestRestartedHostKeepsItsRecord guards against a host that starts anew and overwrites the
// record of the streams that it forwarded before.
func TestRestartedHostKeepsItsRecord(t *testing.T) {
	w := newStreamWorld(t, "v1", "v2")
	first := commandsOf[command.WriteStreamRecord](w.step(event.StreamBegan{Stream: streamOf("new"), Software: "v2"}))
	require.Len(t, first, 1)
	require.Zero(t, first[0].Version)
	commands := w.step(event.StreamRecordWritten{
		Stored:  origin.Stored{Record: origin.Record{streamOf("before"): "v1"}, Version: 77},
		Failure: &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonConflict},
	})
	second := commandsOf[command.WriteStreamRecord](append(commands, w.step()...))
	require.Len(t, second, 1)
	require.EqualValues(t, 77, second[0].Version)
	require.Equal(t, origin.Record{streamOf("before"): "v1", streamOf("new"): "v2"}, second[0].Record)
	require.Equal(t, []command.AnswerStreamOrigin{{RequestID: "before", Software: "v1"}}, commandsOf[command.AnswerStreamOrigin](w.resume("before")))
}

// TestVersionLeavesTheHistory guards against a history that lists a version for good, or drops
// it while its streams may still be resumed.
func TestVersionLeavesTheHistory(t *testing.T) {
	w := newStreamWorld(t, "v1", "v2")
	w.advance(missingGracePeriod) // records that are missing after that are gone
	w.step(w.removed("s0"))
	_, ttl := resumableServices(w.tables.Rollout.Desired)
	require.Empty(t, commandsOf[command.WriteSoftwareHistory](w.advance(ttl-2*historyCheckInterval)))
	commands := w.advance(2*historyCheckInterval + time.Second)
	writes := commandsOf[command.WriteSoftwareHistory](commands)
	require.NotEmpty(t, writes)
	require.Equal(t, []registry.Software{"v2"}, writes[0].Versions)
	require.NotEmpty(t, commandsOf[command.PurgeStreamRecords](commands))
}

// TestServicesWithoutResumableStreamsAreNotRecorded guards against store calls that have no use.
func TestServicesWithoutResumableStreamsAreNotRecorded(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s0", software("v1")), w.server("s1", software("v2")))
	commands := w.advance(2 * time.Second)
	require.Empty(t, commandsOf[command.WriteSoftwareHistory](commands))
	require.False(t, w.avoidsNewStreams("s1"))
}

// TestPendingHistoryWriteDoesNotSpin guards against a control loop that ticks without a pause
// while the write of a history is under way.
func TestPendingHistoryWriteDoesNotSpin(t *testing.T) {
	w := newStreamWorld(t, "v1")
	w.step(w.server("new", software("v2")))
	w.advance(100 * time.Millisecond)
	require.True(t, w.tables.Rollout.SoftwareHistories.Find("engines").Writing)
	var out command.Outbox
	StreamOrigins(w.now, w.tables, nil, &out)
	if at, ok := out.Deadline(); ok {
		require.Greater(t, at, w.now)
	}
}
