package system_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lavenderstand/lavenderstand/event"
)

// TestConfigurationSessions checks the rules of the Configuration system in
// simulations of several processes. The golden files show which process serves
// which version at what time.
func TestConfigurationSessions(t *testing.T) {
	const settle = 20 * time.Second // prepared versions from before the start have expired
	sessions := map[string]func(*configWorld){
		"change": func(w *configWorld) { w.change(w.hosts[0], "anna", 1) },
		// All hosts must continue to serve while none of them can read the store.
		"outage_for_all": func(w *configWorld) { w.down = true; w.run(2 * time.Minute); w.down = false },
		// A host that is isolated from the store and its peers must stop serving.
		"cut_one":      func(w *configWorld) { isolateHosts(w, 1); w.change(w.hosts[2], "anna", 1) },
		"cut_minority": func(w *configWorld) { isolateHosts(w, 2); w.change(w.hosts[4], "anna", 1) },
		// A majority that cannot reach the store must not miss a change made by the
		// other hosts.
		"cut_majority": func(w *configWorld) { isolateHosts(w, 3); w.change(w.hosts[4], "anna", 1) },
		// Hosts prepare a change just before they are isolated. Without the pending
		// version the isolated majority would continue to serve the old version.
		"contact_just_before_cut": func(w *configWorld) {
			outageContinuesFor(w, 3)
			w.change(w.hosts[4], "anna", 1)
			w.run(3 * worldTick)
			isolateHosts(w, 3)
		},
		// Only one host of the isolated majority prepared the change. The others must
		// stop serving because of the pending version that it reports.
		"one_prepared_before_cut": func(w *configWorld) {
			outageContinuesFor(w, 3)
			w.hosts[1].frozen, w.hosts[2].frozen = true, true
			w.change(w.hosts[4], "anna", 1)
			w.run(3 * worldTick)
			w.hosts[1].frozen, w.hosts[2].frozen = false, false
			isolateHosts(w, 3)
		},
		// Hosts that restart between prepare and commit have lost the pending version
		// and must not form a majority.
		"restart_between_prepare_and_commit": func(w *configWorld) {
			w.change(w.hosts[4], "anna", 1)
			w.run(2 * worldTick)
			w.hosts[4].frozen = true
			for range 3 {
				restartHost(w, w.hosts[0])
			}
			w.run(time.Second)
			for _, n := range w.hosts[2:] {
				n.cutStore, n.side = true, 1
			}
			w.hosts[0].frozen, w.hosts[1].frozen = false, false
			w.run(worldTick)
		},
		"late_old_row": func(w *configWorld) {
			w.change(w.hosts[0], "anna", 1)
			w.run(time.Second)
			w.send(w.hosts[1], 0, event.ConfigRead{Version: 1, Body: configBody(1)})
			w.send(w.hosts[1], 0, event.ConfigAnnounced{Version: 1, Body: configBody(1)})
		},
		"start_during_outage": func(w *configWorld) {
			w.down = true
			w.run(time.Second)
			w.hosts[4].frozen = true
			w.start("e5")
			w.run(time.Minute)
			w.down = false
		},
		"frozen_for_a_minute": func(w *configWorld) {
			w.hosts[0].frozen = true
			w.change(w.hosts[1], "anna", 1)
			w.run(time.Minute)
			w.hosts[0].frozen = false
		},
		"racing_operators": func(w *configWorld) {
			for i := range 20 {
				w.change(w.hosts[i%5], fmt.Sprintf("operator-%02d", i), 1)
			}
		},
		"commit_outcome_unknown": func(w *configWorld) { w.hosts[0].loseNextAnswer = true; w.change(w.hosts[0], "anna", 1) },
		// A commit takes effect after its sender has timed out. The hosts that
		// prepared it are isolated before that and must have kept it pending.
		"commit_arrives_late": func(w *configWorld) {
			w.slowStore = true
			w.change(w.hosts[4], "anna", 1)
			w.run(5 * time.Second)
			isolateHosts(w, 3)
		},
		// A change that is not prepared by a majority must not be committed.
		"no_majority": func(w *configWorld) {
			for i, n := range w.hosts {
				n.side = i
			}
			w.change(w.hosts[0], "anna", 1)
		},
	}
	for name, session := range sessions {
		t.Run(name, func(t *testing.T) {
			w := newConfigWorld(5)
			w.run(settle)
			w.printf("session %s begins", name)
			session(w)
			w.run(30 * time.Second)
			require.Empty(t, w.violation())
			goldie.New(t, goldie.WithFixtureDir("testdata/configuration")).Assert(t, name, []byte(w.log.String()))
		})
	}
}

// isolateHosts separates the first n hosts from the store and from the other hosts.
func isolateHosts(w *configWorld, n int) {
	for _, h := range w.hosts[:n] {
		h.cutStore, h.side = true, 1
	}
}

// outageContinuesFor simulates an outage of the store that ends after 20 s for all
// but the first n hosts.
func outageContinuesFor(w *configWorld, n int) {
	w.down = true
	w.run(20 * time.Second)
	for _, h := range w.hosts[:n] {
		h.cutStore = true
	}
	w.down = false
}

// TestNoContactInNormalOperation guards against contacts between hosts while the
// store answers, which would cause needless traffic.
func TestNoContactInNormalOperation(t *testing.T) {
	w := newConfigWorld(5)
	w.run(5 * time.Minute)
	require.Zero(t, w.messages)
}

// TestNoOutdatedVersionBeyondBound checks invariant 9 of the design: no
// process serves an outdated version for longer than maxOutdatedTime, under
// generated network partitions, outages, pauses, restarts, lost answers and
// concurrent changes.
func TestNoOutdatedVersionBeyondBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newConfigWorld(rapid.IntRange(3, 5).Draw(rt, "hosts"))
		w.run(20 * time.Second)
		for step := range rapid.IntRange(1, 20).Draw(rt, "steps") {
			injectFault(rt, w, step)
			for range rapid.IntRange(1, 120).Draw(rt, "ticks") {
				w.run(worldTick)
				if v := w.violation(); v != "" {
					rt.Fatalf("%s\n%s", v, w.log.String())
				}
			}
		}
	})
}

func injectFault(rt *rapid.T, w *configWorld, step int) {
	n := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(rt, "host")]
	switch rapid.IntRange(0, 8).Draw(rt, "fault") {
	case 0:
		w.down = !w.down
	case 1:
		n.cutStore = !n.cutStore
	case 2:
		n.side = 1 - n.side
	case 3:
		n.frozen = !n.frozen
	case 4:
		n.loseNextAnswer = true
	case 5:
		restartHost(w, n)
	case 6:
		w.slowStore = !w.slowStore
	default:
		w.change(n, fmt.Sprintf("change-%d", step), w.version)
	}
}

// restartHost replaces a process with a new one on the same host.
func restartHost(w *configWorld, old *configHost) {
	for i, n := range w.hosts {
		if n == old {
			fresh := w.start(old.name)
			fresh.cutStore, fresh.side = old.cutStore, old.side
			w.hosts = append(w.hosts[:i], w.hosts[i+1:]...)
			return
		}
	}
}

// TestLateRowDoesNotConfirm guards against reads of an outdated row that keep a
// process in service.
func TestLateRowDoesNotConfirm(t *testing.T) {
	w := newConfigWorld(1)
	w.run(time.Second)
	w.version = 2
	w.run(3 * time.Second)
	w.version = 1
	w.run(9 * time.Second)
	require.False(t, w.hosts[0].tables.Config.Confirmed)
	require.Equal(t, uint64(2), w.hosts[0].tables.Config.Version)
}
