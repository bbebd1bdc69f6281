package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/lot"
)

// withOrganisations returns a read of a desired state with the given organisations.
func withOrganisations(version uint64, organisations ...desired.Organisation) event.Event {
	s := state(version)
	s.Organisations = organisations
	return event.DesiredRead{State: s}
}

func organisation(name string, keys ...string) desired.Organisation {
	return desired.Organisation{Name: name, Keys: keys}
}

// publishedPlan returns the last plan that commands publish.
func publishedPlan(t *testing.T, commands []command.Command) *forward.Plan {
	published := commandsOf[command.PublishRouting](commands)
	require.NotEmpty(t, published)
	return published[len(published)-1].Plan
}

// TestInvalidOrganisationsDoNotTakeEffect guards against a faulty version of the desired state
// that locks out callers or gives a key to one of two organisations.
func TestInvalidOrganisationsDoNotTakeEffect(t *testing.T) {
	w := newWorld(t)
	require.Nil(t, publishedPlan(t, w.step(withOrganisations(2))).Keys)
	faulty := withOrganisations(3, organisation("a", "k", "own"), organisation("b", "k"))
	out := w.step(faulty)
	require.NotEmpty(t, commandsOf[command.Count](out))
	keys := publishedPlan(t, out).Keys
	_, ok := keys.Organisation("k")
	require.False(t, ok, "without a valid version an ambiguous key belongs to nobody")
	_, ok = keys.Organisation("own")
	require.True(t, ok)

	w.step(withOrganisations(4, organisation("a", "k")))
	plan := publishedPlan(t, w.step(withOrganisations(5, organisation("a", "new", "k"), organisation("b", "k"))))
	owner, _ := plan.Keys.Organisation("k")
	require.Equal(t, "a", owner, "the last valid organisations stay in force")
	_, ok = plan.Keys.Organisation("new")
	require.False(t, ok)
	require.EqualValues(t, 5, plan.Desired.Version, "the rest of the version takes effect")
	require.Len(t, plan.Desired.Organisations, 1)
	require.Equal(t, []string{"a"}, hostView(w.now, w.tables).Organisations)

	plan = publishedPlan(t, w.step(withOrganisations(6, organisation("a", "new"))))
	_, ok = plan.Keys.Organisation("k")
	require.False(t, ok, "a removed key is unknown")
}

// TestItemsCarryOrganisation guards against items that run without the organisation of their
// lot, or with the priority of the route although the organisation has one.
func TestItemsCarryOrganisation(t *testing.T) {
	for name, c := range map[string]struct {
		organisations []desired.Organisation
		organisation  string
		priority      int
	}{
		"no organisations": {nil, "", basePriority + 2},
		"no priority":      {[]desired.Organisation{organisation("acme", "k")}, "acme", basePriority + 2},
		"priority":         {[]desired.Organisation{{Name: "acme", Keys: []string{"k"}, Priority: new(int)}}, "acme", basePriority},
		"removed":          {[]desired.Organisation{organisation("other", "k")}, "acme", basePriority + 2},
	} {
		w := newWorld(t)
		s := state(2)
		s.Routes[0].Priority, s.Organisations = 2, c.organisations
		w.step(event.DesiredRead{State: s}, w.server("s1", nil))
		sub := submission(1)
		sub.Organisation = "acme"
		runs := commandsOf[command.StartRun](w.accept(sub))
		require.Len(t, runs, 1, name)
		require.Equal(t, c.organisation, runs[0].Organisation, name)
		require.Equal(t, c.organisations != nil, runs[0].Identified, name)
		require.Equal(t, c.priority, runs[0].Priority, name)
	}
}

// TestOrganisationOfReplacedHeadIsPublished guards against a lot that stays open to the
// organisation whose creation another one supersedes.
func TestOrganisationOfReplacedHeadIsPublished(t *testing.T) {
	w := newWorld(t)
	earlier := w.head("l", lot.Process{Host: "b"}, 0, 1)
	later := w.head("l", lot.Process{Host: "b"}, 0, 1)
	earlier.Head.Organisation, later.Head.Organisation = "acme", "beta"
	w.step(headsRead(later))
	published := commandsOf[command.PublishLots](w.step(headsRead(earlier)))
	require.Len(t, published, 1)
	require.Equal(t, "acme", published[0].Lots["l"].Head.Organisation)
}

// TestPriorityOrdersItemsWithTimeLeft guards against items of an organisation that wait behind
// those of organisations with a lower priority, against items that miss their due time because
// of a priority, and against another order in deployments without organisations.
func TestPriorityOrdersItemsWithTimeLeft(t *testing.T) {
	low := 5
	priorities := []desired.Organisation{{Name: "high", Priority: new(int)}, {Name: "low", Priority: &low}}
	for name, c := range map[string]struct {
		organisations []desired.Organisation
		baseline      bool
		wait          time.Duration
		first         string
	}{
		"time left":        {priorities, false, 0, "high/i0"},
		"late":             {priorities, false, 6 * time.Second, "low/i0"},
		"equal":            {[]desired.Organisation{{Name: "high"}, {Name: "low"}}, false, 0, "low/i0"},
		"baseline":         {priorities, true, 0, "low/i0"},
		"no organisations": {nil, false, 0, "low/i0"},
	} {
		w := newWorld(t)
		s := state(2)
		s.Organisations, s.Routes[0].CompletionTarget = c.organisations, 7*time.Second
		w.step(event.DesiredRead{State: s})
		w.tables.Rollout.Baselines.Shares = c.baseline
		for _, lot := range []string{"low", "high"} {
			sub := submission(1)
			sub.ID, sub.Organisation = lot, lot
			w.accept(sub)
			w.advance(500 * time.Millisecond)
			if lot == "low" {
				w.advance(c.wait)
			}
		}
		var out command.Outbox
		waiting := waitingItems(w.now, w.tables, &out)
		require.Len(t, waiting, 2, name)
		require.Equal(t, c.first, waiting[0].key, name)
	}
}

// TestNoOrganisationStarves guards against lots of an organisation that never run while another
// with a higher priority submits more than the engine can do.
func TestNoOrganisationStarves(t *testing.T) {
	low, done := 5, map[string]int{}
	w := newSlotsWorld(t)
	s := state(2)
	s.Routes[0].CompletionTarget = 7 * time.Second
	s.Organisations = []desired.Organisation{{Name: "high", Priority: new(int)}, {Name: "low", Priority: &low}}
	w.step(event.DesiredRead{State: s})
	var commands []command.Command
	for i := range 40 {
		for _, organisation := range []string{"high", "low"} {
			sub := submission(1)
			if organisation == "high" {
				sub = submission(4)
			}
			sub.ID, sub.Organisation = organisation+string(rune('A'+i)), organisation
			commands = append(commands, w.accept(sub)...)
		}
		started := commandsOf[command.StartRun](commands)
		commands = w.advance(500 * time.Millisecond)
		for _, run := range started {
			done[run.Organisation]++
			commands = append(commands, w.step(endedRun(run, "x"))...)
		}
	}
	t.Logf("completed items: %v", done)
	require.GreaterOrEqual(t, 4*4*done["low"], done["high"], "a quarter of the share of requests served")
	require.Positive(t, done["high"])
}
