package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
)

// trainer is a trainer in a replay of the division of engines. It submits a step every 4 s, or
// as soon as it has trained if it is behind.
type trainer struct {
	model            string
	begun, readyAt   time.Duration
	submitAt, behind time.Duration
	left             float64 // work of the step that is not done, in seconds of one engine
	steps, urgency   int
	took             time.Duration
}

const (
	replayPeriod = 4 * time.Second
	trainTime    = 750 * time.Millisecond
	floorTime    = 1200 * time.Millisecond // no step is ready sooner, whatever the engines
	loadTime     = 900 * time.Millisecond
)

// replayDivision replays a day of trainers and returns how far each is behind at its end, and
// the number of engines that changed their model. work is the work of a step of a trainer, and
// speed the speed of an engine.
func replayDivision(t *testing.T, engines int, day time.Duration, work func(trainer int, now time.Duration) float64, speed func(engine int) float64, baseline bool) (behind []time.Duration, changes int) {
	w := newWorld(t)
	r := &w.tables.Rollout
	r.Baselines.Division = baseline
	service := desired.Service{Name: "engines"}
	var trainers []*trainer
	for i := range 4 {
		trainers = append(trainers, &trainer{model: fmt.Sprint("m", i), urgency: urgencyUnit})
		service.Models = append(service.Models, trainers[i].model)
		m, _ := r.Models.Upsert(trainers[i].model)
		m.NamedVersion = 1
	}
	r.Desired.Services = map[string]desired.Service{"engines": service}
	loaded, loading := make([]string, engines), make([]time.Duration, engines)
	for i := range engines {
		s, _ := r.Servers.Upsert(fmt.Sprintf("e%02d", i))
		loaded[i] = trainers[i*4/engines].model
		s.Server = registry.Server{ID: fmt.Sprintf("e%02d", i), Service: "engines", Slots: 6, Models: map[string]registry.Version{loaded[i]: 1}}
		s.PreferredModel = loaded[i]
	}
	const tick = 50 * time.Millisecond
	for now := tick; now < day; now += tick {
		var out command.Outbox
		EngineAssignment(now, w.tables, nil, &out)
		capacity := map[string]float64{}
		count := map[string]int{}
		for i := range engines {
			s := r.Servers.Find(fmt.Sprintf("e%02d", i))
			if s.PreferredModel != loaded[i] && loading[i] == 0 {
				loading[i], changes = now+loadTime, changes+1
			}
			if loading[i] > 0 && now >= loading[i] {
				loaded[i], loading[i] = s.PreferredModel, 0
				s.Models = map[string]registry.Version{loaded[i]: 1}
			}
			if loading[i] == 0 {
				capacity[loaded[i]] += speed(i)
				count[loaded[i]]++
			}
		}
		for i, tr := range trainers {
			if tr.begun > 0 {
				tr.left -= capacity[tr.model] * tick.Seconds()
				if tr.left > 0 || now-tr.begun < floorTime {
					continue
				}
				tr.took, tr.readyAt, tr.begun = now-tr.begun, now, 0
				tr.steps++
				tr.submitAt = max(now+trainTime, time.Duration(tr.steps)*replayPeriod)
				tr.behind = now + trainTime - time.Duration(tr.steps)*replayPeriod
			}
			if now < tr.submitAt {
				continue
			}
			m, _ := r.Models.Upsert(tr.model)
			m.StepTook = tr.took
			if tr.steps > 0 {
				tr.urgency = nextUrgency(tr.urgency, now-tr.readyAt, stepRatio(r, m))
			}
			tr.begun, tr.left = now, work(i, now)
			l, _ := r.Lots.Upsert(fmt.Sprint(tr.model, "/", tr.steps))
			l.Version, l.Stage = w.version(), table.LotNotOwned
			l.Head = lot.Head{ID: fmt.Sprint(tr.model, tr.steps), Model: tr.model, EstimatedTokens: 26_000, Urgency: tr.urgency, ReadyMS: int(tr.took.Milliseconds())}
			if count[tr.model] > 0 {
				l.Head.EventsPerS = int(25000 * capacity[tr.model] / float64(count[tr.model]))
			}
			r.Lots.Delete(fmt.Sprint(tr.model, "/", tr.steps-8))
		}
	}
	for _, tr := range trainers {
		behind = append(behind, max(0, tr.behind))
	}
	return behind, changes
}

// TestTrainerThatIsBehindGetsEngines guards against one of four trainers that ends 8.5 to
// 12.4 s behind while the others wait for their schedule, and against engines that change
// their models all the time.
func TestTrainerThatIsBehindGetsEngines(t *testing.T) {
	even := func(int) float64 { return 1 }
	equal := func(int, time.Duration) float64 { return 26 }
	for _, c := range []struct {
		name  string
		day   time.Duration
		work  func(trainer int, now time.Duration) float64
		speed func(engine int) float64
	}{
		{"slow engines", 160 * time.Second, equal, func(engine int) float64 {
			if engine >= 27 {
				return 0.75
			}
			return 1.1
		}},
		{"work above the estimate", 160 * time.Second, func(trainer int, _ time.Duration) float64 {
			if trainer == 3 {
				return 32
			}
			return 25
		}, even},
		{"outage", 110 * time.Second, func(trainer int, now time.Duration) float64 {
			switch {
			case trainer < 3:
				return 24
			case now > 38*time.Second && now < 42*time.Second:
				return 4 * 27.5
			}
			return 27.5
		}, even},
	} {
		old, _ := replayDivision(t, 36, c.day, c.work, c.speed, true)
		behind, changes := replayDivision(t, 36, c.day, c.work, c.speed, false)
		t.Logf("%s: behind %v before, %v now with %d changes", c.name, old, behind, changes)
		require.Greater(t, slices.Max(old), replayPeriod, c.name)
		require.Less(t, slices.Max(behind), replayPeriod, c.name)
		require.LessOrEqual(t, changes, 40, "%s: each step has at most one", c.name)
	}
}

// runStep accepts a lot of one item after a pause, completes it and returns the head that its
// owner writes then.
func (w *world) runStep(id string, pause time.Duration) lot.Head {
	w.advance(pause)
	s := submission(1)
	s.ID = id
	run := commandsOf[command.StartRun](w.accept(s))
	w.advance(500 * time.Millisecond)
	writes := commandsOf[command.WriteLot](append(w.step(endedRun(run[0], "x")), w.advance(100*time.Millisecond)...))
	w.step(w.lotWritten(writes[0]))
	return writes[0].Head
}

// TestOwnerPublishesUrgency guards against hosts that cannot tell which models are behind, a
// new owner that forgets it, and a head of an earlier release that counts as far behind.
func TestOwnerPublishesUrgency(t *testing.T) {
	w := newWorld(t)
	w.step(w.server("s", nil))
	first := w.runStep("l1", 0)
	require.Equal(t, urgencyUnit, first.Urgency)
	require.InDelta(t, 530, first.ReadyMS, 100)
	require.Positive(t, first.EventsPerS)
	behind := w.runStep("l2", trainTime)
	require.Greater(t, behind.Urgency, urgencyUnit)
	ahead := w.runStep("l3", 2*amplePause)
	require.Less(t, ahead.Urgency, behind.Urgency)

	other := newWorld(t)
	other.step(other.server("s", nil), headsRead(event.HeadRow{ID: "l2", Version: 1, Head: behind}))
	other.versions = 1
	require.Equal(t, behind.Urgency, other.runStep("l4", time.Second).Urgency)
	other.step(headsRead(event.HeadRow{ID: "l5", Version: 9, Head: lot.Head{ID: "l5", Model: "old", EstimatedTokens: 10, Total: 1, Listed: 1}}))
	demand := modelDemand(&other.tables.Rollout, []string{model, "old"})
	require.Equal(t, 10, demand["old"])
}

// TestQuotasAreKept guards against engines that change their model for a difference that a
// load does not make up for, against many changes at once, and against a model without engine.
func TestQuotasAreKept(t *testing.T) {
	models := []string{"a", "b"}
	for _, c := range []struct {
		present []int
		demand  map[string]int
		want    []int
	}{
		{[]int{10, 10}, map[string]int{"a": 107, "b": 93}, []int{10, 10}},
		{[]int{10, 10}, map[string]int{"a": 110, "b": 90}, []int{11, 9}},
		{[]int{10, 10}, map[string]int{"a": 190, "b": 10}, []int{14, 6}},
		{[]int{20, 0}, map[string]int{"a": 1000, "b": 1}, []int{19, 1}},
		{[]int{0, 0}, map[string]int{"a": 150, "b": 50}, []int{15, 5}},
	} {
		kept := keepQuotas(c.present, exactShares(20, models, c.demand), computeQuotas(20, models, c.demand))
		require.Equal(t, c.want, []int{kept[0].servers, kept[1].servers}, "%v", c)
	}
}
