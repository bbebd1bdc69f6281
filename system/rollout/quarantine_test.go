package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/quarantine"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// ended returns the outcome of a request with content c under which a server ended.
func ended(server string, endedServers int) event.Event {
	return event.ServerOutcome{Outcome: forward.Outcome{Server: server, Failed: true, Ended: true, EndedServers: endedServers, Content: "c"}}
}

// quarantined returns the contents of the newest publication, nil if there is none.
func quarantined(commands []command.Command) map[string]bool {
	published := commandsOf[command.PublishQuarantine](commands)
	if len(published) == 0 {
		return nil
	}
	return published[len(published)-1].Contents
}

// TestTwoCrashesUnderOneRequest guards against other hosts that learn of a request that
// crashes servers only from their own servers, also those that start later.
func TestTwoCrashesUnderOneRequest(t *testing.T) {
	w := newWorld(t)
	first := w.step(ended("a", 1))
	require.Nil(t, quarantined(first))
	require.False(t, commandsOf[command.ReportSuspect](first)[0].Quarantined, "only the counting hosts are told")
	second := w.step(ended("b", 2))
	require.Equal(t, map[string]bool{"c": true}, quarantined(second))
	require.True(t, commandsOf[command.ReportSuspect](second)[0].Quarantined)
	require.Len(t, commandsOf[command.WriteQuarantine](second), 1)

	// The write is repeated until the row is there.
	require.Empty(t, commandsOf[command.WriteQuarantine](w.advance(time.Second)))
	w.step(event.QuarantineWritten{Content: "c", Failure: &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonStoreUnavailable}})
	require.Len(t, commandsOf[command.WriteQuarantine](w.advance(quarantineWriteRetry+20*time.Millisecond)), 1)
	w.step(event.QuarantineWritten{Content: "c"}, event.QuarantineRead{Rows: []event.QuarantineRow{{Content: "c", Version: w.version()}}})
	require.Empty(t, commandsOf[command.WriteQuarantine](w.advance(2*time.Second)))

	late := newWorld(t)
	require.Equal(t, map[string]bool{"c": true}, quarantined(late.step(event.QuarantineRead{Rows: []event.QuarantineRow{{Content: "c", Version: 7}}})))
}

// TestCrashesAreCountedAcrossHosts guards against a request that gets one attempt at each host
// and crashes a server each time.
func TestCrashesAreCountedAcrossHosts(t *testing.T) {
	w := newWorld(t)
	report := func(server string) []command.Command {
		return w.step(event.SuspectReported{Report: quarantine.Report{Content: "c", Server: server}})
	}
	require.Nil(t, quarantined(report("a")))
	require.Nil(t, quarantined(report("a")), "two reports of one end")
	require.Nil(t, quarantined(report("b")))
	third := report("c")
	require.Equal(t, map[string]bool{"c": true}, quarantined(third))
	require.True(t, commandsOf[command.ReportSuspect](third)[0].Quarantined, "the others are told")

	other := newWorld(t)
	told := other.step(event.SuspectReported{Report: quarantine.Report{Content: "c", Server: "c", Quarantined: true}})
	require.Equal(t, map[string]bool{"c": true}, quarantined(told))
	require.Empty(t, commandsOf[command.ReportSuspect](told), "a report is not passed on")
}

// TestHarmlessContentIsCleared guards against the quarantine of a frequent request that was in
// flight at several servers when they ended.
func TestHarmlessContentIsCleared(t *testing.T) {
	w := newWorld(t)
	w.step(ended("a", 1))
	w.step(ended("b", 1))
	w.step(event.ServerOutcome{Outcome: forward.Outcome{Server: "d", Answered: true, Content: "c"}})
	require.Nil(t, quarantined(w.step(ended("e", 1))))
	w.advance(suspectPeriod)
	w.step(ended("f", 1))
	require.Nil(t, quarantined(w.step(ended("g", 1))), "old ends do not count")
}

// TestQuarantineEnds guards against a content that is never tried again, and against rows that
// stay in the store.
func TestQuarantineEnds(t *testing.T) {
	w := newWorld(t)
	w.step(ended("a", 1), ended("b", 2))
	w.step(event.QuarantineRead{Rows: []event.QuarantineRow{{Content: "c", Version: 9}}})
	w.tables.Rollout.OrderLease.Held = true
	w.now += quarantinePeriod
	end := w.step()
	require.Equal(t, map[string]bool{}, quarantined(end))
	require.Equal(t, []command.WriteQuarantine{{Content: "c", Version: 9, Remove: true}}, commandsOf[command.WriteQuarantine](end))
}

// TestSuspectsAreBounded guards against memory that grows with the requests that were in
// flight at servers that ended.
func TestSuspectsAreBounded(t *testing.T) {
	w := newWorld(t)
	for i := range maxSuspects + 50 {
		w.step(event.SuspectReported{Report: quarantine.Report{Content: fmt.Sprint(i), Server: "a"}})
	}
	require.LessOrEqual(t, w.tables.Rollout.Suspects.Len(), maxSuspects)
}
