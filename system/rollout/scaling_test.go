package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/registry"
)

// TestInvalidScalingDoesNotTakeEffect guards against orders by invalid bounds, and against the
// loss of the valid ones or of the rest of the desired state.
func TestInvalidScalingDoesNotTakeEffect(t *testing.T) {
	w := newWorld(t)
	read := func(version uint64, s *desired.Scaling) (inForce *desired.Scaling, counted bool) {
		d := state(version)
		engines := d.Services["engines"]
		engines.Scaling = s
		d.Services["engines"] = engines
		for _, c := range commandsOf[command.Count](w.step(event.DesiredRead{State: d})) {
			counted = counted || c.Counter == "scaling_bounds_invalid"
		}
		require.Equal(t, version, w.tables.Rollout.Desired.Version)
		return w.tables.Rollout.Desired.Services["engines"].Scaling, counted
	}
	valid := &desired.Scaling{Max: 3, SpotPriceRatio: 0.2, ZonePrices: map[string]float64{"z": 1}}
	got, counted := read(2, &desired.Scaling{Min: 4, Max: 3, SpotPriceRatio: 0.2, ZonePrices: map[string]float64{"z": 1}})
	require.Nil(t, got, "nothing is ordered without valid bounds")
	require.True(t, counted)
	got, counted = read(3, valid)
	require.Equal(t, valid, got)
	require.False(t, counted)
	got, counted = read(4, &desired.Scaling{})
	require.Equal(t, valid, got)
	require.True(t, counted)
	got, _ = read(5, nil)
	require.Nil(t, got, "bounds that are removed do not stay in force")
}

// TestRunsLeaveBeforeAnnouncedEnd guards against runs that stay on a server until it ends at the
// time that it announced, against new runs there, and against moves of runs that end before.
func TestRunsLeaveBeforeAnnouncedEnd(t *testing.T) {
	for _, notice := range []time.Duration{2500 * time.Millisecond, time.Minute} {
		w := newWorld(t)
		w.tables.Rollout.BackendDrainPeriod = time.Minute
		w.step(w.server("e1", nil))
		started := commandsOf[command.StartRun](w.accept(submission(1)))
		require.Len(t, started, 1)
		require.Equal(t, "e1", started[0].Target.ID)
		server := w.tables.Rollout.Servers.Find("e1")
		server.Pace.Usual, server.Pace.Recent, server.Pace.MeasuredAt = 500*time.Millisecond, 500*time.Millisecond, w.now
		leaving := func(s *registry.Server) { s.Leaving, s.Spot, s.LeavesIn = true, true, notice }
		w.step(w.server("e2", nil), w.server("e1", leaving)) // of the same software version
		stopped := commandsOf[command.StopRun](w.advance(100 * time.Millisecond))
		require.Equal(t, notice < time.Minute, len(stopped) > 0, "notice of %s", notice)
		at := w.tables.Rollout.Servers.Find("e1").LeavesAt
		w.step(w.server("e1", leaving))
		require.Equal(t, at, w.tables.Rollout.Servers.Find("e1").LeavesAt, "a repeated notice does not postpone the end")
	}
}
