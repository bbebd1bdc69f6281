package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/registry"
)

// TestRunStaysDuringNoise guards against moves because of noise: a server that is 2.5 times slower
// for 600 ms. With the baseline, runs move after the first report.
func TestRunStaysDuringNoise(t *testing.T) {
	for _, baseline := range []bool{false, true} {
		w := newPacedWorld(t, 1)
		w.tables.Rollout.PaceBaseline = baseline
		s := submission(3)
		for i := range s.Items {
			s.Items[i].EstimatedTokens = 1000
		}
		runs := commandsOf[command.StartRun](w.accept(s))
		moved := 0
		for range 3 {
			for _, r := range runs {
				if r.Target.ID == runs[0].Target.ID {
					moved += len(commandsOf[command.StopRun](w.step(progressed(&r, 1, 5*fastInterval/2))))
				}
			}
			moved += len(commandsOf[command.StopRun](w.advance(200 * time.Millisecond)))
		}
		require.Equal(t, baseline, moved > 0)
	}
}

// TestSlowServerIsTriedAgain guards against a slow server that is never found to have recovered,
// and against one that gets many runs before it was. While there is room on the other server, one
// run after some time measures it again.
func TestSlowServerIsTriedAgain(t *testing.T) {
	w := newWorld(t)
	sixSlots := func(s *registry.Server) { s.Slots = 6 }
	w.step(w.server("fast", sixSlots), w.server("slow", sixSlots))
	w.measure("fast", fastInterval)
	w.measure("slow", 3*fastInterval)
	targets := func(lot string, items int) (on map[string][]command.StartRun) {
		s := submission(items)
		s.ID = lot
		on = make(map[string][]command.StartRun)
		for _, c := range commandsOf[command.StartRun](w.accept(s)) {
			on[c.Target.ID] = append(on[c.Target.ID], c)
		}
		return on
	}
	require.Len(t, targets("l1", 4)["fast"], 4, "the slow server was measured just now")
	w.now += 30 * time.Second
	on := targets("l2", 3)
	require.Len(t, on["slow"], 1, "one run measures the server again")
	require.Len(t, on["fast"], 2)
	for range 7 {
		w.step(progressed(&on["slow"][0], 1, fastInterval))
		w.advance(300 * time.Millisecond)
	}
	require.Len(t, targets("l3", 2)["slow"], 2, "the server has recovered")
}

// TestServersGetRunsByCapacity guards against runs that only slow down others: a server that adds
// no throughput beyond three runs gets no fourth one, while the baseline fills its slots.
func TestServersGetRunsByCapacity(t *testing.T) {
	for _, baseline := range []bool{false, true} {
		w := newWorld(t)
		w.tables.Rollout.PaceBaseline = baseline
		w.step(w.server("s1", func(s *registry.Server) { s.Slots = 6 }))
		server := w.tables.Rollout.Servers.Find("s1")
		for i := range 200 {
			n := 1 + i%6
			recordPace(w.now+time.Duration(i-200)*100*time.Millisecond, &w.tables.Rollout, server, fastInterval*time.Duration(max(3, n))/3, n, new(command.Outbox))
		}
		runs := commandsOf[command.StartRun](w.accept(submission(8)))
		require.Len(t, runs, map[bool]int{false: 3, true: 6}[baseline])
	}
}
