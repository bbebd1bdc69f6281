package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// inversionWindow is the length of the windows in which the on-time share of a class
// is compared with its target while training work, a lower class, is started.
const inversionWindow = 30 * time.Second

// Result holds the measurements of one run, without its warm-up.
type Result struct {
	IdleShare          float64            `json:"idle_share"`      // share of the time that trainers wait for a batch
	Steps              int                `json:"steps"`           // training steps started
	StalenessP50       int64              `json:"staleness_p50"`   // of delivered samples, in weight versions
	StalenessP99       int64              `json:"staleness_p99"`   // in weight versions
	StalenessMax       int64              `json:"staleness_max"`   // in weight versions
	StalenessMean      float64            `json:"staleness_mean"`  // in weight versions
	OnTimeShare        map[string]float64 `json:"on_time"`         // share of calls on time, by class
	CallersOnTimeShare float64            `json:"callers_on_time"` // share of calls on time, all classes
	CallsMissed        int                `json:"calls_missed"`    // calls that failed or were late
	Unclaimed          int                `json:"unclaimed"`       // calls refused because their claim could not be stored
	InversionShare     float64            `json:"inversions"`      // share of windows with a class below its target while training work is started
	PrefixHitShare     float64            `json:"prefix_hits"`     // share of prompt blocks that were cached
	SampleTokens       float64            `json:"sample_tokens"`   // mean length of delivered samples
	TooStale           int                `json:"too_stale"`       // samples delivered beyond their staleness bound
	Refusals           map[string]int     `json:"refusals"`        // by class and reason
	Retries            map[string]int     `json:"retries"`         // by class and reason
	Counts             map[string]int     `json:"counts"`          // counted by the systems, by counter and reason

	staleness              *hdrhistogram.Histogram
	tokens                 int64                               // of delivered samples
	samples                int64                               // delivered
	idleTime               time.Duration                       // sum over all trainers
	onTimeCalls, calls     map[string]int                      // by class
	windows                map[time.Duration]map[string][2]int // calls on time and all calls, by start of the window and class
	hitBlocks, totalBlocks int                                 // prompt blocks
}

func newResult() *Result {
	return &Result{
		OnTimeShare: make(map[string]float64), Refusals: make(map[string]int), Retries: make(map[string]int), Counts: make(map[string]int),
		staleness: hdrhistogram.New(0, 1000, 3), onTimeCalls: make(map[string]int), calls: make(map[string]int),
		windows: make(map[time.Duration]map[string][2]int),
	}
}

func (r *Result) recordPrefix(sim *simulation, hit, blocks int) {
	if sim.now >= sim.setup.WarmUp {
		r.hitBlocks += hit
		r.totalBlocks += blocks
	}
}

func (r *Result) recordCount(sim *simulation, c command.Count) {
	if sim.now >= sim.setup.WarmUp {
		r.Counts[c.Counter+suffix(c.Tags["reason"])] += int(c.Delta)
	}
}

func suffix(reason string) string {
	if reason == "" {
		return ""
	}
	return "/" + reason
}

func (r *Result) recordRetry(sim *simulation, class string, reason verdict.Reason) {
	if sim.now >= sim.setup.WarmUp {
		r.Retries[class+"/"+string(reason)]++
	}
}

func (r *Result) recordRefusal(sim *simulation, class string, reason verdict.Reason) {
	if sim.now >= sim.setup.WarmUp {
		r.Refusals[class+"/"+string(reason)]++
	}
}

func (r *Result) recordUnclaimed(sim *simulation) {
	if sim.now >= sim.setup.WarmUp {
		r.Unclaimed++
	}
}

// recordStep counts a training step and adds the time since its trainer started to
// wait.
func (r *Result) recordStep(sim *simulation, since time.Duration) {
	r.idleTime += max(0, sim.now-max(since, sim.setup.WarmUp))
	if sim.now >= sim.setup.WarmUp {
		r.Steps++
	}
}

func (r *Result) recordSample(sim *simulation, s *ledger.BatchSample, version ledger.Version) {
	if sim.now < sim.setup.WarmUp {
		return
	}
	stale := ledger.Staleness(s.Ranges, version)
	_ = r.staleness.RecordValue(stale)
	r.tokens += int64(s.Tokens)
	r.samples++
	if stale > s.StalenessBound {
		r.TooStale++
	}
}

// recordCall counts a caller's request in the window in which it was sent.
func (r *Result) recordCall(sim *simulation, class string, sentAt time.Duration, onTime bool) {
	if sentAt < sim.setup.WarmUp {
		return
	}
	window := sentAt.Truncate(inversionWindow)
	if r.windows[window] == nil {
		r.windows[window] = make(map[string][2]int)
	}
	counts := r.windows[window][class]
	counts[1]++
	r.calls[class]++
	if onTime {
		counts[0]++
		r.onTimeCalls[class]++
	} else {
		r.CallsMissed++
	}
	r.windows[window][class] = counts
}

// recordTrainingStart records that training work was started in the current window.
func (r *Result) recordTrainingStart(sim *simulation) {
	window := sim.now.Truncate(inversionWindow)
	if sim.now >= sim.setup.WarmUp && r.windows[window] != nil {
		r.windows[window]["rollouts"] = [2]int{1, 1}
	}
}

// finish computes the exported fields at the end of a run.
func (r *Result) finish(sim *simulation) {
	for _, t := range sim.trainers {
		if t.waiting {
			r.idleTime += sim.now - max(t.waitingSince, sim.setup.WarmUp)
		}
	}
	r.IdleShare = r.idleTime.Seconds() / (sim.setup.Measure.Seconds() * float64(max(len(sim.trainers), 1)))
	r.StalenessP50, r.StalenessP99 = r.staleness.ValueAtQuantile(50), r.staleness.ValueAtQuantile(99)
	r.StalenessMax, r.StalenessMean = r.staleness.Max(), r.staleness.Mean()
	r.PrefixHitShare = float64(r.hitBlocks) / float64(max(r.totalBlocks, 1))
	r.SampleTokens = float64(r.tokens) / float64(max(r.samples, 1))
	onTime, calls := 0, 0
	for class, n := range r.calls {
		r.OnTimeShare[class] = float64(r.onTimeCalls[class]) / float64(n)
		onTime, calls = onTime+r.onTimeCalls[class], calls+n
	}
	r.CallersOnTimeShare = float64(onTime) / float64(max(calls, 1))
	r.InversionShare = r.inversionShare(sim)
}

// inversionShare returns the share of windows in which a class was below its target
// while training work was started.
func (r *Result) inversionShare(sim *simulation) float64 {
	inverted := 0
	for _, window := range r.windows {
		if window["rollouts"][1] == 0 {
			continue
		}
		for class, c := range sim.setup.Deployment.Classes {
			if n := window[class]; c.OnTimeShare > 0 && n[1] > 0 && float64(n[0]) < c.OnTimeShare*float64(n[1]) {
				inverted++
				break
			}
		}
	}
	return float64(inverted) / float64(max(len(r.windows), 1))
}
