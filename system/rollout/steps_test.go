package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// groupedSubmission returns a submission of a group for each number of estimated tokens, with
// an item each.
func groupedSubmission(id string, target int, groups []string, tokens ...int) *lot.Submission {
	s := submission(len(groups))
	s.ID, s.TargetGroups = id, target
	for i := range s.Items {
		s.Items[i].Group, s.Items[i].EstimatedTokens = groups[i], tokens[i]
	}
	return s
}

// newSlotsWorld returns a world with a server of two slots and known lengths of outputs.
func newSlotsWorld(t *testing.T) *world {
	w := newWorld(t)
	w.tables.Rollout.Desired.Routes[0].CompletionTarget = 7 * time.Second
	w.step(w.server("s", nil))
	w.learnLengths()
	return w
}

func startedItems(commands []command.Command) (items []string) {
	for _, c := range commandsOf[command.StartRun](commands) {
		items = append(items, c.Key)
	}
	return items
}

// TestGroupsThatCompleteFirstComeFirst guards against the longest groups, for which the
// trainer does not wait, in the slots that the others need, and against a group left from the
// previous step that counts as one of them.
func TestGroupsThatCompleteFirstComeFirst(t *testing.T) {
	w := newSlotsWorld(t)
	commands := w.accept(groupedSubmission("l1", 2, []string{"a", "b", "c"}, 2000, 100, 200))
	require.Equal(t, []string{"l1/i2", "l1/i1"}, startedItems(commands))
	first := commandsOf[command.StartRun](commands)
	commands = w.step(endedRun(first[0], "x"))
	require.Equal(t, []string{"l1/i0"}, startedItems(commands))
	w.step(endedRun(first[1], "x"))
	w.advance(100 * time.Millisecond)
	w.step(endedRun(*started(commands, "i0"), "x"))

	commands = w.accept(groupedSubmission("l2", 2, []string{"a", "d", "e"}, 2000, 100, 200))
	require.Equal(t, "l2/i0", startedItems(commands)[0])
	require.Len(t, startedItems(commands), 2)
}

// TestLeftoverDoesNotDelayNextStep guards against items of a step whose trainer has its groups
// that come before those of the next step, because they are due sooner.
func TestLeftoverDoesNotDelayNextStep(t *testing.T) {
	w := newSlotsWorld(t)
	commands := w.accept(groupedSubmission("l1", 1, []string{"a", "b", "c", "d"}, 100, 1000, 1100, 1200))
	require.Equal(t, "l1/i0", startedItems(commands)[0])
	first := commandsOf[command.StartRun](commands)
	w.step(endedRun(first[0], "x"))
	w.advance(2 * stepPlanInterval)
	w.accept(groupedSubmission("l2", 2, []string{"e", "f"}, 100, 100))
	commands = w.step(endedRun(first[1], "x"))
	require.Equal(t, []string{"l2/i0"}, startedItems(commands))
}

// TestLeftoverRunsMakeRoom guards against runs of a step whose trainer has its groups that hold
// all slots while items of the next step wait.
func TestLeftoverRunsMakeRoom(t *testing.T) {
	w := newSlotsWorld(t)
	first := commandsOf[command.StartRun](w.accept(groupedSubmission("l1", 1, []string{"a", "b", "c"}, 100, 1000, 1100)))
	commands := w.step(endedRun(first[0], "x"))
	require.Len(t, startedItems(commands), 1)
	w.advance(2 * stepPlanInterval)
	commands = append(w.accept(groupedSubmission("l2", 1, []string{"d"}, 100)), w.advance(stepPlanInterval)...)
	stops := commandsOf[command.StopRun](commands)
	require.Len(t, stops, 1, "one item waits")
	require.Equal(t, []string{"l2/i0"}, startedItems(w.step(w.stopped(stops[0]))))
}

// TestResultsAreCommittedWhenTheStoreIsBack guards against finished results that wait for the
// retry of a write although the store answers again.
func TestResultsAreCommittedWhenTheStoreIsBack(t *testing.T) {
	w := newSlotsWorld(t)
	run := commandsOf[command.StartRun](w.accept(submission(2)))[0]
	writes := commandsOf[command.WriteLot](append(w.step(endedRun(run, "x")), w.advance(2*resultGatherWindow)...))
	require.Len(t, writes, 1)
	failed := event.LotWritten{ID: "l", WriteID: writes[0].Head.WriteID, Failure: &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonStoreUnavailable}}
	require.Empty(t, commandsOf[command.WriteLot](w.step(event.FeedChanged{Table: feedCoordination, Down: true}, failed)))
	require.Len(t, commandsOf[command.WriteLot](w.step(event.FeedChanged{Table: feedCoordination})), 1)
}

// TestLastItemsHaveNoNeighbours guards against an item beside the one for which the step
// waits, while another engine has as much room.
func TestLastItemsHaveNoNeighbours(t *testing.T) {
	w := newPacedWorld(t, 1.01)
	commands := w.accept(groupedSubmission("l1", 2, []string{"a", "b"}, 2000, 100))
	require.Equal(t, "fast", started(commands, "i0").Target.ID)
	require.Equal(t, "slower", started(commands, "i1").Target.ID)
	w.advance(2 * stepPlanInterval)
	commands = w.accept(groupedSubmission("l2", 1, []string{"c"}, 300))
	require.Equal(t, "slower", started(commands, "i0").Target.ID)
}

// TestOrderWithinStep guards against steps that wait for their longest groups while slots are
// short.
func TestOrderWithinStep(t *testing.T) {
	times := make(map[bool]float64)
	for _, baseline := range []bool{true, false} {
		for seed := range uint64(3) {
			p := newReplay(t, 3, constantSpeeds, seed)
			p.tables.Rollout.Baselines = table.Baselines{Order: baseline}
			for i := range 8 {
				p.submit(fmt.Sprint("l", i))
				for len(p.started) > 0 {
					p.tick()
				}
				p.pause()
			}
			for _, s := range p.took {
				times[baseline] += s / 24
			}
		}
	}
	t.Logf("mean step %.2f s before, %.2f s now", times[true], times[false])
	require.Less(t, times[false], times[true])
}
