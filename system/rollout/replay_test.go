package rollout

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// slowedBy is the factor by which an engine is slower at a time.
type slowedBy func(engine int, now time.Duration) float64

// burstsOfOthers slows 15% of the engines by 2.5 for 600 ms at a time.
func burstsOfOthers(engine int, now time.Duration) float64 {
	if rand.New(rand.NewPCG(uint64(engine), uint64(now/(600*time.Millisecond)))).Float64() < 0.15 {
		return 2.5
	}
	return 1
}

// lastingSlowdowns slows one engine at a time by 3.5 for 7 s.
func lastingSlowdowns(engine int, now time.Duration) float64 {
	if int(now/(7*time.Second))*5%12 == engine {
		return 3.5
	}
	return 1
}

// constantSpeeds gives the engines factors between 0.7 and 1.7 for good.
func constantSpeeds(engine int, _ time.Duration) float64 { return 0.7 + float64(engine*7%12)/11 }

func product(factors ...slowedBy) slowedBy {
	return func(engine int, now time.Duration) float64 {
		f := 1.0
		for _, g := range factors {
			f *= g(engine, now)
		}
		return f
	}
}

// replay is a number of engines on the virtual clock that generate the outputs of lots.
type replay struct {
	*world
	slowed  slowedBy
	runs    map[string]*replayedRun // by key of the item
	moves   int
	started map[string]time.Duration // of lots
	took    []float64                // seconds until 90% of the groups of a lot were complete
	random  *rand.Rand
}

type replayedRun struct {
	command.StartRun
	engine           int
	begins, reported time.Duration
	events, sent     float64
	stopping         bool
}

const replayedGroups, groupSize, replaySlots = 12, 6, 6

func newReplay(t *testing.T, engines int, slowed slowedBy, seed uint64) *replay {
	p := &replay{world: newWorld(t), slowed: slowed, runs: map[string]*replayedRun{}, started: map[string]time.Duration{}, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range engines {
		p.step(p.server(fmt.Sprint("e", i), func(s *registry.Server) { s.Slots = replaySlots }))
	}
	p.learnLengths()
	return p
}

// submit accepts a lot. A tenth of its items are five times as long as the others.
func (p *replay) submit(id string) {
	s := submission(replayedGroups * groupSize)
	s.ID, s.TargetGroups = id, replayedGroups*9/10
	for i := range s.Items {
		tokens := 200 + p.random.IntN(400)
		if p.random.IntN(10) == 0 {
			tokens *= 5
		}
		s.Items[i].EstimatedTokens, s.Items[i].Group = tokens, fmt.Sprint(id, "g", i/groupSize)
	}
	p.started[id] = p.now
	p.apply(p.accept(s))
}

// apply begins and stops runs.
func (p *replay) apply(commands []command.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case command.StartRun:
			r := &replayedRun{StartRun: c, begins: p.now + 50*time.Millisecond, reported: p.now}
			_, _ = fmt.Sscanf(c.Target.ID, "e%d", &r.engine)
			p.runs[c.Key] = r
		case command.StopRun:
			p.runs[c.Key].stopping = true
			p.moves++
		}
	}
}

// tick advances the engines and the systems by 10 ms.
func (p *replay) tick() {
	var in []event.Event
	for _, key := range slices.Sorted(maps.Keys(p.runs)) {
		r := p.runs[key]
		interval := time.Duration(float64(fastInterval) * p.slowed(r.engine, p.now))
		if p.now >= r.begins {
			r.events += float64(10*time.Millisecond) / float64(interval)
		}
		length := math.Ceil(float64(r.Spec.EstimatedTokens)*0.1) - float64(r.AfterEvent)
		n := int(min(length, r.events) - r.sent)
		report := time.Second
		if r.SlowInterval > 0 && interval > r.SlowInterval {
			report = 250 * time.Millisecond
		}
		if r.stopping || r.events >= length {
			e := endedRun(r.StartRun, make([]string, n)...)
			if r.stopping {
				e.Failure = &event.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCanceled}
			}
			e.EventInterval = interval
			in = append(in, e)
			delete(p.runs, key)
		} else if n >= 3 && p.now-r.reported >= report {
			in = append(in, progressed(&r.StartRun, n, interval))
			r.sent, r.reported = r.sent+float64(n), p.now
		}
	}
	p.apply(p.step(in...))
	for id, at := range p.started {
		if p.completeGroups(id) >= p.tables.Rollout.Lots.Find(id).Submission.TargetGroups {
			p.took = append(p.took, (p.now - at).Seconds())
			delete(p.started, id)
		}
	}
}

func (p *replay) completeGroups(id string) int {
	l, open := p.tables.Rollout.Lots.Find(id), map[string]bool{}
	for _, item := range l.Submission.Items {
		open[item.Group] = open[item.Group] || !l.Listed[item.ID]
	}
	n := 0
	for _, o := range open {
		if !o {
			n++
		}
	}
	return n
}

// replaySteps replays steps, each of which begins when the one before is complete, and returns
// the moves and the mean time of a step.
func replaySteps(t *testing.T, slowed slowedBy, baseline table.Baselines) (moves int, mean float64) {
	const seeds, steps = 12, 8 // fewer seeds differ by 1% of the mean
	for seed := range uint64(seeds) {
		p := newReplay(t, 12, slowed, seed)
		p.tables.Rollout.Baselines = baseline
		for i := range steps {
			p.submit(fmt.Sprint("l", i))
			for limit := p.now + time.Minute; len(p.started) > 0; {
				p.tick()
				if p.now > limit {
					t.Fatal("step does not end")
				}
			}
			p.pause()
		}
		moves += p.moves
		for _, s := range p.took {
			mean += s / (seeds * steps)
		}
	}
	return moves, mean
}

// pause lets the rest of a step run while the trainer trains, and ends it.
func (p *replay) pause() {
	for end := p.now + 500*time.Millisecond; p.now < end; {
		p.tick()
	}
}

// TestMovesPayOff guards against runs that move because of a burst of 600 ms, and against
// runs that stay on an engine that is slower for seconds or for good.
func TestMovesPayOff(t *testing.T) {
	for _, c := range []struct {
		name     string
		slowed   slowedBy
		moves    float64 // most moves relative to the baseline
		duration float64 // longest mean step relative to the baseline
	}{
		{"bursts", burstsOfOthers, 0.3, 1.05},
		{"lasting", lastingSlowdowns, 1, 1.05},
		{"speeds and bursts", product(constantSpeeds, burstsOfOthers), 0.5, 1.05},
		{"speeds, bursts and lasting", product(constantSpeeds, burstsOfOthers, lastingSlowdowns), 0.5, 1.05},
	} {
		old, oldTime := replaySteps(t, c.slowed, table.Baselines{Moves: true, Order: true})
		moves, took := replaySteps(t, c.slowed, table.Baselines{Order: true})
		t.Logf("%s: moves %d before, %d now; mean step %.3f s before, %.3f s now", c.name, old, moves, oldTime, took)
		if float64(moves) > c.moves*float64(old) || took > c.duration*oldTime {
			t.Errorf("%s: more moves than %g or slower than %g times the baseline", c.name, c.moves, c.duration)
		}
	}
}
