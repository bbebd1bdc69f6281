package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// finishAll accepts a lot and ends all its items with the given output while the store
// answers no write, and returns the write that waits.
func finishAll(w *world, items int, text string) {
	w.step(w.server("s1", nil))
	w.tables.Rollout.Servers.Find("s1").Slots = items
	w.accept(submission(items))
	for _, item := range w.tables.Rollout.Items.All() {
		item.Events, item.Versions = []string{text}, nil
		finishItem(w.now, w.tables, item, result(item, ""), new(command.Outbox))
	}
}

// commitPending handles events, then answers the writes of the lot with answer until this
// process no longer owns it, and returns the writes.
func commitPending(t *testing.T, w *world, answer func(command.WriteLot) event.Event, in ...event.Event) []command.WriteLot {
	var writes []command.WriteLot
	for end := w.now + 30*time.Second; w.now < end; {
		commands := w.step(in...)
		in = nil
		for _, c := range commandsOf[command.WriteLot](commands) {
			writes = append(writes, c)
			in = append(in, answer(c))
		}
		if l := w.tables.Rollout.Lots.Find("l"); l.Stage != table.LotOwned {
			return writes
		}
	}
	require.Fail(t, "the lot is not complete")
	return nil
}

// TestLargeResultsAreWrittenInParts guards against a lot that is never answered because the
// results that wait for the store exceed the size of a call. Texts with much markup take up
// to six times their length.
func TestLargeResultsAreWrittenInParts(t *testing.T) {
	for _, text := range []string{strings.Repeat("<td class=\"x\">a & b</td>", 340), strings.Repeat("\x01", 8000), strings.Repeat("x", 8000)} {
		w := newWorld(t)
		finishAll(w, 72, text)
		listed := 0
		for _, c := range commitPending(t, w, w.lotWritten) {
			require.True(t, sizeOf(c.Results).Fits())
			listed += len(c.Results)
		}
		require.Equal(t, 72, listed)
	}
}

// TestRejectedWriteIsSplit guards against a write that is sent again unchanged although the
// store rejects it, and against a single result that holds up all others.
func TestRejectedWriteIsSplit(t *testing.T) {
	w := newWorld(t)
	finishAll(w, 20, "text")
	bad := w.tables.Rollout.Lots.Find("l").Pending[7].Item
	seen := make(map[string]bool)
	terminated := 0
	commitPending(t, w, func(c command.WriteLot) event.Event {
		key := fmt.Sprint(len(c.Results), c.Head.Listed)
		for _, r := range c.Results {
			key += r.Item + string(r.State)
			if r.Item == bad && r.State == lot.StateCompleted {
				require.False(t, seen[key], "the same write again")
				seen[key] = true
				return event.LotWritten{ID: "l", WriteID: c.Head.WriteID, Failure: &event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonStoreRejected}}
			}
			if r.State == lot.StateTerminated {
				require.Equal(t, bad, r.Item)
				terminated++
			}
		}
		return w.lotWritten(c)
	})
	require.Equal(t, 1, terminated)
	require.NotEmpty(t, seen)
}

// TestUnknownWriteIsNotSplit guards against results that are listed twice because a write whose
// outcome is unknown is replaced by smaller ones.
func TestUnknownWriteIsNotSplit(t *testing.T) {
	w := newWorld(t)
	finishAll(w, 4, "text")
	first := commandsOf[command.WriteLot](w.advance(time.Second))[0]
	w.step(event.LotWritten{ID: "l", WriteID: first.Head.WriteID, Failure: &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonStoreRejected}})
	second := commandsOf[command.WriteLot](w.advance(time.Second))[0]
	require.Equal(t, first, second)
}

// TestOutputThatCannotBeStored guards against an item whose output no commit can hold, and
// against one that a single faulty server ends.
func TestOutputThatCannotBeStored(t *testing.T) {
	w := newWorld(t)
	finishAll(w, 1, strings.Repeat("x", 2_000_000))
	writes := commitPending(t, w, w.lotWritten)
	require.Equal(t, []lot.Result{{Item: "i0", State: lot.StateTerminated}}, writes[0].Results)

	w = newWorld(t)
	w.step(w.server("s1", nil), w.server("s2", nil))
	commands := w.accept(submission(1))
	for attempt := 1; ; attempt++ {
		runs := commandsOf[command.StartRun](commands)
		require.NotEmpty(t, runs)
		failed := endedRun(runs[0])
		failed.Failure = &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonOutputTooLarge}
		failed.Events = []string{strings.Repeat("x", 100)}
		commands = w.step(failed)
		for _, item := range w.tables.Rollout.Items.All() {
			require.Empty(t, item.Events, "an output that cannot be stored is not kept")
		}
		commands = append(commands, w.advance(3*time.Second)...)
		if w.tables.Rollout.Items.Len() == 0 {
			require.Equal(t, defaultMaxAttempts, attempt)
			return
		}
	}
}

// TestLargeProgressDoesNotHideOthers guards against items whose progress is never stored
// because that of an item before them does not fit into a commit.
func TestLargeProgressDoesNotHideOthers(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s1", nil))
	w.accept(submission(3))
	for key, item := range w.tables.Rollout.Items.All() {
		item.Events = []string{"event"}
		if key == table.ItemKey("l", "i0") {
			item.Events = []string{strings.Repeat("x", 1_000_000)}
		}
	}
	progress := unstoredProgress(w.tables, w.tables.Rollout.Lots.Find("l"), lot.Size{})
	require.Len(t, progress, 2)
}

// TestHandoverOfManyResults guards against results that are lost at a planned stop because
// they do not fit into the write that hands the lot over.
func TestHandoverOfManyResults(t *testing.T) {
	w := newWorld(t)
	finishAll(w, 100, strings.Repeat("\"", 8000))
	w.tables.Rollout.Lots.Find("l").Head.Total = 101 // one more item is unfinished
	w.tables.Rollout.Lots.Find("l").VersionSeenAt = w.now
	listed := 0
	for _, c := range commitPending(t, w, w.lotWritten, event.DrainRequested{}) {
		listed += len(c.Results)
		require.Equal(t, listed == 100, c.Head.Owner == lot.Process{}, "released with the last results")
	}
	require.Equal(t, 100, listed)
}
