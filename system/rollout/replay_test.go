package rollout

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// simulatedRun is a run of an item on a simulated engine.
type simulatedRun struct {
	command.StartRun
	left, done float64 // events
	reported   int
	reportAt   time.Duration
	interval   float64 // smoothed time of an event, in seconds
}

// engineReplay lets one host run a lot of 60 items every 4 s on 12 engines of six slots, whose
// speeds are 0.7 to 1.7 times 45 ms per event. In each 600 ms, 15% of the engines are 2.5 times
// slower.
type engineReplay struct {
	w       *world
	random  *rand.Rand
	runs    map[string]*simulatedRun // by item key
	noisy   map[string]bool
	lengths map[string]float64       // events by item key
	started map[string]time.Duration // of lots
	left    map[string]int           // items of lots
	moves   int
	total   time.Duration // from the start to the end of all items of a lot
	lots    int
	late    int // lots that are not complete within 7.5 s
}

var replaySpeeds = []float64{0.7, 0.7, 0.7, 1, 1, 1, 1, 1.3, 1.3, 1.3, 1.7, 1.7}

func (r *engineReplay) run(t *testing.T, seed uint64, baseline bool) {
	r.w, r.random = newWorld(t), rand.New(rand.NewPCG(seed, 2))
	r.runs, r.lengths, r.noisy = make(map[string]*simulatedRun), make(map[string]float64), make(map[string]bool)
	r.started, r.left = make(map[string]time.Duration), make(map[string]int)
	r.w.tables.Rollout.PaceBaseline = baseline
	for i := range replaySpeeds {
		r.w.step(r.w.server(fmt.Sprintf("e%d", i), func(s *registry.Server) { s.Slots = 6 }))
	}
	r.w.learnLengths()
	for step := range 9000 {
		var in []event.Event
		if step%60 == 0 {
			for i := range replaySpeeds {
				r.noisy[fmt.Sprintf("e%d", i)] = r.random.Float64() < 0.15
			}
		}
		if step%400 == 0 && step < 8000 {
			s := r.submission(fmt.Sprintf("l%d", step/400))
			h := r.w.head(s.ID, r.w.tables.Rollout.Self, 0, len(s.Items))
			in = append(in, event.LotAccepted{Submission: s, Head: h.Head, Version: h.Version}, headsRead(h))
		}
		r.apply(r.w.step(append(in, r.progress()...)...))
	}
	require.Empty(t, r.left, "all lots are complete")
}

func (r *engineReplay) submission(id string) *lot.Submission {
	s := submission(60)
	s.ID, r.started[id], r.left[id] = id, r.w.now, 60
	for i := range s.Items {
		events := math.Min(150, 17*math.Exp(0.3*r.random.NormFloat64()))
		if r.random.Float64() < 0.09 {
			events = math.Min(150, 5*events)
		}
		s.Items[i].EstimatedTokens = int(10 * events * math.Exp(0.2*r.random.NormFloat64()))
		r.lengths[id+"/"+s.Items[i].ID] = math.Ceil(events)
	}
	return s
}

func (r *engineReplay) apply(commands []command.Command) {
	for _, c := range commandsOf[command.StartRun](commands) {
		r.runs[c.Key] = &simulatedRun{StartRun: c, left: r.lengths[c.Key] - float64(c.AfterEvent), reportAt: r.w.now}
	}
	var in []event.Event
	for _, c := range commandsOf[command.StopRun](commands) {
		if run := r.runs[c.Key]; run != nil {
			r.moves++
			delete(r.runs, c.Key)
			e := r.ended(run)
			e.Failure = &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCanceled}
			in = append(in, e)
		}
	}
	for _, c := range commandsOf[command.WriteLot](commands) {
		in = append(in, r.w.lotWritten(c))
	}
	if len(in) > 0 {
		r.apply(r.w.step(in...))
	}
}

// ended returns the outcome of a run.
func (r *engineReplay) ended(run *simulatedRun) event.RunEnded {
	e := endedRun(run.StartRun, make([]string, int(run.done)-run.reported)...)
	e.EventInterval, e.Requests = time.Duration(run.interval*float64(time.Second)), r.running(run.Target.ID)
	return e
}

func (r *engineReplay) running(engine string) (n int) {
	for _, run := range r.runs {
		if run.Target.ID == engine {
			n++
		}
	}
	return max(1, n)
}

// progress lets all runs go on for 10 ms and returns what they report.
func (r *engineReplay) progress() (in []event.Event) {
	for _, key := range slices.Sorted(maps.Keys(r.runs)) {
		run := r.runs[key]
		var engine int
		_, _ = fmt.Sscanf(run.Target.ID, "e%d", &engine)
		interval := 0.045 * replaySpeeds[engine] * (1 + 0.04*float64(r.running(run.Target.ID)-1))
		if r.noisy[run.Target.ID] {
			interval *= 2.5
		}
		if run.interval == 0 {
			run.interval = interval
		}
		run.interval += 0.03 * (interval - run.interval) // a window of about 330 ms
		run.done += 0.01 / interval
		if run.done >= run.left {
			run.done = run.left
			delete(r.runs, key)
			in = append(in, r.ended(run))
			id := key[:len(key)-len(run.Spec.ID)-1]
			if r.left[id]--; r.left[id] == 0 {
				delete(r.left, id)
				took := r.w.now - r.started[id]
				r.total += took
				r.lots++
				if took > 7500*time.Millisecond {
					r.late++
				}
			}
			continue
		}
		period := time.Second
		if run.SlowInterval > 0 && run.interval > run.SlowInterval.Seconds() {
			period = 250 * time.Millisecond
		}
		if r.w.now-run.reportAt >= period {
			e := event.RunProgressed{Key: key, Run: run.Run, Server: run.Target.ID, Events: make([]string, int(run.done)-run.reported), Requests: r.running(run.Target.ID)}
			e.EventInterval = time.Duration(run.interval * float64(time.Second))
			run.reported, run.reportAt = int(run.done), r.w.now
			in = append(in, e)
		}
	}
	return in
}

// TestUnevenEngines guards against runs that move more often than with the baseline, and against
// more lots that are late: results are due 7.5 s after the submission. Engines differ in speed
// and have noise.
func TestUnevenEngines(t *testing.T) {
	var estimate, baseline engineReplay
	for seed := range uint64(4) {
		estimate.run(t, seed, false)
		baseline.run(t, seed, true)
	}
	for name, r := range map[string]*engineReplay{"estimate": &estimate, "baseline": &baseline} {
		t.Logf("%s: %d lots, %d late, mean time %s, %d moves", name, r.lots, r.late, r.total/time.Duration(r.lots), r.moves)
	}
	require.Less(t, estimate.moves, baseline.moves)
	require.LessOrEqual(t, estimate.late, baseline.late)
}
