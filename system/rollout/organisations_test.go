package rollout

import (
	"testing"

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
