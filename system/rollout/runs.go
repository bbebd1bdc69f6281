package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// slowServerPause is the time for which a server that produced clearly slower than the
	// others gets no items; then new runs measure it again.
	slowServerPause = 2 * time.Second
	// runRetryDelay is the wait of an item after a run failed.
	runRetryDelay = 20 * time.Millisecond
	// scoreRetryDelay is the wait after a scoring request that failed.
	scoreRetryDelay = 100 * time.Millisecond
	// defaultMaxAttempts holds for an item whose route is gone.
	defaultMaxAttempts = 3
	// intervalSmoothing is the weight of a new measurement in the smoothed gap.
	intervalSmoothing = 0.3
)

// Runs takes the outcome of runs: text that is complete goes to its scorer, all
// else waits for another run that continues where this one ended.
func Runs(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	for _, e := range in {
		switch e := e.(type) {
		case event.RunStarted:
			runStarted(t, e)
		case event.RunProgressed:
			runProgressed(now, t, e)
		case event.RunEnded:
			runEnded(now, t, e, out)
		}
	}
}

func runStarted(t *table.Tables, e event.RunStarted) {
	s := t.Rollout.Servers.Find(e.Server)
	if s == nil {
		return
	}
	s.Refusals, s.BusyUntil = 0, 0
	if e.Version != 0 && e.Model != "" && s.Models[e.Model] != e.Version {
		setModelVersion(s, e.Model, e.Version)
	}
}

// runProgressed keeps what a run has generated so far, so that it can be stored, and
// learns the pace of its server.
func runProgressed(now time.Duration, t *table.Tables, e event.RunProgressed) {
	if s := t.Rollout.Servers.Find(e.Server); s != nil && e.EventInterval > 0 {
		if limit := slowIntervalLimit(&t.Rollout, s.Service); limit > 0 && e.EventInterval > limit {
			s.SlowUntil = now + slowServerPause
		}
	}
	item := t.Rollout.Items.Find(e.Key)
	if item == nil || item.Stage != table.ItemRunning || item.Run != e.Run {
		return // the lot ended or went to another owner
	}
	addEvents(item, e.Events, e.Versions)
}

func addEvents(item *table.Item, events []string, versions []registry.Version) {
	item.Events = append(item.Events, events...)
	for _, v := range versions {
		item.Versions = lot.AddVersion(item.Versions, v)
	}
}

func runEnded(now time.Duration, t *table.Tables, e event.RunEnded, out *command.Outbox) {
	r := &t.Rollout
	s := r.Servers.Find(e.Server)
	if s != nil {
		updateServer(now, r, s, e, out)
	}
	item := r.Items.Find(e.Key)
	if item == nil || item.Stage != table.ItemRunning || item.Run != e.Run {
		return // the lot ended or went to another owner
	}
	releaseSlot(t, item)
	item.Stage = table.ItemWaiting
	addEvents(item, e.Events, e.Versions)
	logRun(item, e, out)
	if e.Failure != nil {
		retryOrTerminate(now, t, item, e, out)
		return
	}
	scoreOrFinish(now, t, item, out)
}

// updateServer takes what a run showed about its server.
func updateServer(now time.Duration, r *table.Rollout, s *table.Server, e event.RunEnded, out *command.Outbox) {
	if e.Version != 0 && e.Model != "" && s.Models[e.Model] != e.Version {
		setModelVersion(s, e.Model, e.Version)
	}
	if e.EventInterval > 0 {
		s.EventInterval = smooth(s.EventInterval, e.EventInterval)
	}
	if e.Failure == nil {
		recordSuccess(r, s)
		return
	}
	out.Add(command.Count{Counter: "runs_failed", Tags: map[string]string{"reason": string(e.Failure.Reason)}, Delta: 1})
	switch e.Failure.Reason {
	case verdict.ReasonBackendRefused:
		s.BusyUntil = now + min(maxBusyPause, minBusyPause<<min(s.Refusals, 4))
		s.Refusals++
	case verdict.ReasonSlow:
		s.SlowUntil = now + slowServerPause
	case verdict.ReasonCanceled, verdict.ReasonTerminated, verdict.ReasonTooOld:
	case verdict.ReasonBackendFailed:
		recordSuccess(r, s) // it answers; the item fails
	default:
		recordFailure(now, r, s, out)
	}
}

// setModelVersion replaces the map, which the newest record of the server shares.
func setModelVersion(s *table.Server, model string, v registry.Version) {
	models := make(map[string]registry.Version, len(s.Models)+1)
	for name, known := range s.Models {
		models[name] = known
	}
	models[model] = v
	s.Models = models
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return time.Duration((1-intervalSmoothing)*float64(old) + intervalSmoothing*float64(sample))
}

func retryOrTerminate(now time.Duration, t *table.Tables, item *table.Item, e event.RunEnded, out *command.Outbox) {
	item.AvoidServer, item.NotBefore = e.Server, now
	switch e.Failure.Reason {
	case verdict.ReasonBackendFailed:
		item.Failures++
		item.NotBefore = now + runRetryDelay
	case verdict.ReasonTerminated:
		item.UnprocessableAnswers++
	}
	if item.UnprocessableAnswers > 0 || item.Failures >= maxItemAttempts(t, item) {
		finishItem(now, t, item, lot.Result{Item: item.Spec.ID, State: lot.StateTerminated}, out)
	}
}

func logRun(item *table.Item, e event.RunEnded, out *command.Outbox) {
	fields := []command.Field{
		field("lot", item.Lot), field("item", item.Spec.ID), field("server", e.Server), field("run", itoa(e.Run)),
		field("events", itoa(len(item.Events))), field("version", itoa(int(e.Version))), field("gap_ms", millis(e.EventInterval)),
	}
	if e.Failure == nil {
		out.Add(command.LogChange{Message: "run of item complete", Fields: fields})
		return
	}
	out.Add(command.LogChange{Message: "run of item ended early", Fields: append(fields,
		field("reason", string(e.Failure.Reason)), field("error", e.Failure.Message))})
}

func maxItemAttempts(t *table.Tables, item *table.Item) int {
	if route := itemRoute(t, item); route != nil && route.MaxAttempts > 0 {
		return route.MaxAttempts
	}
	return defaultMaxAttempts
}

func itemRoute(t *table.Tables, item *table.Item) *desired.Route {
	l := t.Rollout.Lots.Find(item.Lot)
	if l == nil || l.Submission == nil || t.Rollout.Desired == nil {
		return nil
	}
	return t.Rollout.Desired.Match(l.Submission.Host, item.Spec.Path)
}

// scoreOrFinish sends a complete text to its scorer. A text that several versions
// made is generated again on a route that wants one.
func scoreOrFinish(now time.Duration, t *table.Tables, item *table.Item, out *command.Outbox) {
	route := itemRoute(t, item)
	if route != nil && route.SingleVersion && len(item.Versions) > 1 {
		out.Add(command.Count{Counter: "items_mixed_versions", Delta: 1})
		item.Events, item.Versions, item.StoredEvents = nil, nil, 0
		return
	}
	if item.Spec.Scorer == nil {
		finishItem(now, t, item, result(item, ""), out)
		return
	}
	item.Stage, item.NotBefore = table.ItemScoring, 0
	startScoring(item, out)
}

func result(item *table.Item, score string) lot.Result {
	return lot.Result{
		Item: item.Spec.ID, State: lot.StateCompleted, Text: joinLines(item.Events), Versions: item.Versions, Score: score,
	}
}

func joinLines(lines []string) string {
	size := 0
	for _, l := range lines {
		size += len(l) + 1
	}
	text := make([]byte, 0, size)
	for i, l := range lines {
		if i > 0 {
			text = append(text, '\n')
		}
		text = append(text, l...)
	}
	return string(text)
}

func startScoring(item *table.Item, out *command.Outbox) {
	item.ScoreRuns++
	out.Add(command.ScoreItem{Key: table.ItemKey(item.Lot, item.Spec.ID), Scorer: item.Spec.Scorer})
}

// finishItem queues the result of an item for the next write of its lot.
func finishItem(now time.Duration, t *table.Tables, item *table.Item, res lot.Result, out *command.Outbox) {
	l := t.Rollout.Lots.Find(item.Lot)
	key := table.ItemKey(item.Lot, item.Spec.ID)
	if res.State == lot.StateTerminated {
		out.Add(command.LogChange{Message: "item terminated", Fields: []command.Field{
			field("lot", item.Lot), field("item", item.Spec.ID), field("failures", itoa(item.Failures)),
			field("unprocessed", itoa(item.UnprocessableAnswers)), field("score_failures", itoa(item.ScoreFailures)),
		}})
	}
	t.Rollout.Items.Delete(key)
	if l == nil || l.Stage != table.LotOwned || l.Listed[res.Item] {
		return
	}
	l.Listed[res.Item] = true
	if len(l.Pending) == 0 {
		l.PendingSince = now
	}
	l.Pending = append(l.Pending, res)
}

// Scores takes the outcome of scoring requests.
func Scores(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	for _, e := range in {
		s, ok := e.(event.ScoreEnded)
		if !ok {
			continue
		}
		item := t.Rollout.Items.Find(s.Key)
		if item == nil || item.Stage != table.ItemScoring {
			continue
		}
		item.ScoreFailures += s.Failures
		switch {
		case s.Failure == nil:
			finishItem(now, t, item, result(item, s.Score), out)
		case item.ScoreFailures >= maxScorerAttempts(t, item):
			finishItem(now, t, item, lot.Result{Item: item.Spec.ID, State: lot.StateTerminated}, out)
		default:
			item.NotBefore = now + scoreRetryDelay
			out.Add(command.Count{Counter: "scoring_failed", Tags: map[string]string{"reason": string(s.Failure.Reason)}, Delta: 1})
		}
	}
	retryScores(now, t, out)
}

func maxScorerAttempts(t *table.Tables, item *table.Item) int {
	if t.Rollout.Desired != nil {
		route := t.Rollout.Desired.Match(item.Spec.Scorer.Host, item.Spec.Scorer.Path)
		if route != nil && route.MaxAttempts > 0 {
			return route.MaxAttempts
		}
	}
	return defaultMaxAttempts
}

func retryScores(now time.Duration, t *table.Tables, out *command.Outbox) {
	for _, item := range t.Rollout.Items.All() {
		if item.Stage != table.ItemScoring || item.NotBefore == 0 {
			continue
		}
		if now < item.NotBefore {
			out.WakeAt(item.NotBefore)
			continue
		}
		item.NotBefore = 0
		startScoring(item, out)
	}
}
