package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// inversionWindow is the time over which a class's on-time share is compared
// with its target while a lower class is served.
const inversionWindow = 30 * time.Second

// Result holds the figures of one run, without its warm-up.
type Result struct {
	IdleShare          float64            `json:"idle_share"`
	Steps              int                `json:"steps"`
	StalenessP50       int64              `json:"staleness_p50"`
	StalenessP99       int64              `json:"staleness_p99"`
	StalenessMax       int64              `json:"staleness_max"`
	StalenessMean      float64            `json:"staleness_mean"`
	OnTimeShare        map[string]float64 `json:"on_time"` // by class
	CallersOnTimeShare float64            `json:"callers_on_time"`
	CallsMissed        int                `json:"calls_missed"`
	Unclaimed          int                `json:"unclaimed"`  // refused because the claim could not be stored
	InversionShare     float64            `json:"inversions"` // share of windows with a class below target while training starts
	PrefixHitShare     float64            `json:"prefix_hits"`
	SampleTokens       float64            `json:"sample_tokens"` // mean length of delivered samples
	TooStale           int                `json:"too_stale"`     // delivered beyond the bound
	Refusals           map[string]int     `json:"refusals"`      // by class and reason
	Retries            map[string]int     `json:"retries"`
	Counts             map[string]int     `json:"counts"` // of the systems, by counter and reason

	staleness      *hdrhistogram.Histogram
	tokens         int64
	samples        int64
	idleTime       time.Duration
	right, asked   map[string]int
	windows        map[time.Duration]map[string][2]int
	hitBlocks, all int
}

func newResult() *Result {
	return &Result{
		OnTimeShare: make(map[string]float64), Refusals: make(map[string]int), Retries: make(map[string]int), Counts: make(map[string]int),
		staleness: hdrhistogram.New(0, 1000, 3), right: make(map[string]int), asked: make(map[string]int),
		windows: make(map[time.Duration]map[string][2]int),
	}
}

func (r *Result) notePrefix(w *world, hit, blocks int) {
	if w.now >= w.setup.WarmUp {
		r.hitBlocks += hit
		r.all += blocks
	}
}

func (r *Result) count(w *world, c command.Count) {
	if w.now >= w.setup.WarmUp {
		r.Counts[c.Counter+suffix(c.Tags["reason"])] += int(c.Delta)
	}
}

func suffix(reason string) string {
	if reason == "" {
		return ""
	}
	return "/" + reason
}

func (r *Result) retried(w *world, class string, reason verdict.Reason) {
	if w.now >= w.setup.WarmUp {
		r.Retries[class+"/"+string(reason)]++
	}
}

func (r *Result) refused(w *world, class string, reason verdict.Reason) {
	if w.now >= w.setup.WarmUp {
		r.Refusals[class+"/"+string(reason)]++
	}
}

func (r *Result) unclaimed(w *world) {
	if w.now >= w.setup.WarmUp {
		r.Unclaimed++
	}
}

// idle adds the time since a trainer began to wait.
func (r *Result) idle(w *world, since time.Duration) {
	r.idleTime += max(0, w.now-max(since, w.setup.WarmUp))
	if w.now >= w.setup.WarmUp {
		r.Steps++
	}
}

func (r *Result) delivered(w *world, s *ledger.BatchSample, version ledger.Version) {
	if w.now < w.setup.WarmUp {
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

// called counts a caller's request by the time at which it was sent.
func (r *Result) called(w *world, class string, asked time.Duration, right bool) {
	if asked < w.setup.WarmUp {
		return
	}
	window := asked.Truncate(inversionWindow)
	if r.windows[window] == nil {
		r.windows[window] = make(map[string][2]int)
	}
	counts := r.windows[window][class]
	counts[1]++
	r.asked[class]++
	if right {
		counts[0]++
		r.right[class]++
	} else {
		r.CallsMissed++
	}
	r.windows[window][class] = counts
}

// trained notes that training work was started.
func (r *Result) trained(w *world) {
	window := w.now.Truncate(inversionWindow)
	if w.now >= w.setup.WarmUp && r.windows[window] != nil {
		r.windows[window]["rollouts"] = [2]int{1, 1}
	}
}

func (r *Result) finish(w *world) {
	for _, t := range w.trainers {
		if t.waiting {
			r.idleTime += w.now - max(t.pulledAt, w.setup.WarmUp)
		}
	}
	r.IdleShare = r.idleTime.Seconds() / (w.setup.Measure.Seconds() * float64(max(len(w.trainers), 1)))
	r.StalenessP50, r.StalenessP99 = r.staleness.ValueAtQuantile(50), r.staleness.ValueAtQuantile(99)
	r.StalenessMax, r.StalenessMean = r.staleness.Max(), r.staleness.Mean()
	r.PrefixHitShare = float64(r.hitBlocks) / float64(max(r.all, 1))
	r.SampleTokens = float64(r.tokens) / float64(max(r.samples, 1))
	right, asked := 0, 0
	for class, n := range r.asked {
		r.OnTimeShare[class] = float64(r.right[class]) / float64(n)
		right, asked = right+r.right[class], asked+n
	}
	r.CallersOnTimeShare = float64(right) / float64(max(asked, 1))
	r.InversionShare = r.inverted(w)
}

// inverted returns the share of windows in which a class was below its target
// although training work was started.
func (r *Result) inverted(w *world) float64 {
	inverted := 0
	for _, window := range r.windows {
		if window["rollouts"][1] == 0 {
			continue
		}
		for class, c := range w.setup.Deployment.Classes {
			if n := window[class]; c.OnTimeShare > 0 && n[1] > 0 && float64(n[0]) < c.OnTimeShare*float64(n[1]) {
				inverted++
				break
			}
		}
	}
	return float64(inverted) / float64(max(len(r.windows), 1))
}
