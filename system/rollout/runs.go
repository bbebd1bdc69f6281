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
	// runRetryDelay is the wait of an item after a backend server answered that its run
	// failed.
	runRetryDelay = 20 * time.Millisecond
	// maxDelayDoublings bounds the doublings of runRetryDelay and scoreRetryDelay, one for each
	// further failure of an item.
	maxDelayDoublings = 3
	// defaultMaxAttempts applies when the route no longer exists or states no MaxAttempts.
	defaultMaxAttempts = 3
)

// Runs applies the progress and the outcomes of runs. An item whose output is complete
// goes to its scorer; any other item waits for a run that continues after its last
// event.
func Runs(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	for _, e := range in {
		switch e := e.(type) {
		case event.RunStarted:
			runStarted(now, t, e, out)
		case event.RunProgressed:
			runProgressed(now, t, e, out)
		case event.RunEnded:
			runEnded(now, t, e, out)
		}
	}
}

// runStarted records that a server has accepted a run and which version it stated.
func runStarted(now time.Duration, t *table.Tables, e event.RunStarted, out *command.Outbox) {
	s := t.Rollout.Servers.Find(e.Server)
	if s == nil {
		return
	}
	recordRequestLimit(now, s, e.Limit, out)
	recordLoadEnd(now, &t.Rollout, s)
	s.Refusals, s.RefusedSince, s.BusyUntil = 0, 0, 0
	if e.Version != 0 && e.Model != "" && s.Models[e.Model] != e.Version {
		setModelVersion(s, e.Model, e.Version)
	}
}

// runProgressed adds the new events of a run to its item, so that they can be stored,
// and records the pace of the server.
func runProgressed(now time.Duration, t *table.Tables, e event.RunProgressed, out *command.Outbox) {
	if s := t.Rollout.Servers.Find(e.Server); s != nil {
		applyInterval(now, &t.Rollout, s, e.EventInterval, e.Requests, out)
	}
	item := t.Rollout.Items.Find(e.Key)
	if item == nil || item.Stage != table.ItemRunning || item.Run != e.Run {
		return // the lot ended or went to another owner
	}
	addEvents(item, e.Events, e.Versions)
	item.EventsAt = now
}

// addEvents appends the events of a run, and the versions that generated them, to an item.
func addEvents(item *table.Item, events []string, versions []registry.Version) {
	if len(item.Events) == 0 {
		item.Software = item.RunSoftware
	}
	item.Events = append(item.Events, events...)
	for _, v := range versions {
		item.Versions = lot.AddVersion(item.Versions, v)
	}
}

// runEnded applies the outcome of a run to its server and its item.
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
	if len(item.Events) > item.RunAfter {
		item.WaitingSince = now // runs without an event are part of the wait
	}
	if e.Failure == nil || e.Failure.Reason != verdict.ReasonServerLimit {
		logRun(item, e, out)
	}
	discarded := item.DiscardOutput
	if discarded {
		discardOutput(item, discardRestart, out)
	}
	if e.Failure != nil && e.Failure.Reason == verdict.ReasonOutputTooLarge {
		discardOutput(item, discardTooLarge, out)
	}
	if e.Failure != nil {
		retryOrTerminate(now, t, item, e, out)
		return
	}
	if discarded {
		return
	}
	cancelReservation(r, item) // the run ended before it could be moved
	m, _ := r.Models.Upsert(e.Model)
	recordLength(m, item.Spec, len(item.Events))
	scoreOrFinish(now, t, item, out)
}

// updateServer applies the outcome of a run to its server.
func updateServer(now time.Duration, r *table.Rollout, s *table.Server, e event.RunEnded, out *command.Outbox) {
	if e.Version != 0 && e.Model != "" && s.Models[e.Model] != e.Version {
		setModelVersion(s, e.Model, e.Version)
	}
	applyInterval(now, r, s, e.EventInterval, e.Requests, out)
	if e.Failure == nil {
		recordSuccess(r, s)
		return
	}
	out.Add(command.Count{Counter: "runs_failed", Tags: map[string]string{"reason": string(e.Failure.Reason)}, Delta: 1})
	switch e.Failure.Reason {
	case verdict.ReasonBackendRefused:
		recordRefusal(now, r, s)
	case verdict.ReasonServerLimit:
		s.BusyUntil = max(s.BusyUntil, now+e.Failure.RetryAfter)
	case verdict.ReasonBackendLeaving: // until the report that says so has been applied
		s.BusyUntil = max(s.BusyUntil, now+minBusyPause)
	case verdict.ReasonCanceled, verdict.ReasonTerminated, verdict.ReasonTooOld:
	case verdict.ReasonBackendFailed, verdict.ReasonUnexpectedStatus:
		recordSuccess(r, s) // the server answers
	default:
		recordFailure(now, r, s, out)
		if s.Failures >= suspectThreshold {
			s.BusyUntil = now + suspectRetryDelay
		}
	}
}

// setModelVersion sets the version of a model on a server. It replaces the Models map
// because the map is shared with the newest record of the server.
func setModelVersion(s *table.Server, model string, v registry.Version) {
	models := make(map[string]registry.Version, len(s.Models)+1)
	for name, known := range s.Models {
		models[name] = known
	}
	models[model] = v
	s.Models = models
}

// retryOrTerminate lets an item wait for its next run after a failed one, or terminates
// it if it can never be done or has used up its attempts.
func retryOrTerminate(now time.Duration, t *table.Tables, item *table.Item, e event.RunEnded, out *command.Outbox) {
	item.NotBefore = now
	if e.Failure.Reason != verdict.ReasonServerLimit {
		item.AvoidServer = e.Server
	}
	switch e.Failure.Reason {
	case verdict.ReasonBackendFailed:
		item.Failures++
		item.NotBefore = now + runRetryDelay
	case verdict.ReasonUnexpectedStatus:
		item.NotBefore = now + runRetryDelay<<min(item.UnexpectedAnswers, maxDelayDoublings)
		item.UnexpectedAnswers++
	case verdict.ReasonTerminated:
		item.UnprocessableAnswers++
	case verdict.ReasonStalled:
		item.Stalls++
	case verdict.ReasonOutputTooLarge: // several servers must agree, one may be faulty
		item.OversizedOutputs++
	}
	if item.UnprocessableAnswers > 0 || max(item.Failures, item.OversizedOutputs) >= maxItemAttempts(t, item) {
		finishItem(now, t, item, lot.Result{Item: item.Spec.ID, State: lot.StateTerminated}, out)
	}
}

func logRun(item *table.Item, e event.RunEnded, out *command.Outbox) {
	fields := []command.Field{
		field("lot", item.Lot), field("item", item.Spec.ID), field("server", e.Server), field("run", itoa(e.Run)),
		field("events", itoa(len(item.Events))), field("version", itoa(int(e.Version))), field("gap_ms", millis(e.EventInterval)),
		field("software", string(item.RunSoftware)), field("resumed_after", itoa(item.RunAfter)), field("began_software", string(item.Software)),
	}
	if e.Failure == nil {
		out.Add(command.LogChange{Message: "run of item completed", Fields: fields})
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

// scoreOrFinish sends a complete output to its scorer, or finishes the item if it has
// none. An output generated by several weight versions is discarded and generated
// again if the route requires a single version.
func scoreOrFinish(now time.Duration, t *table.Tables, item *table.Item, out *command.Outbox) {
	route := itemRoute(t, item)
	if route != nil && route.SingleVersion && len(item.Versions) > 1 {
		out.Add(command.Count{Counter: "items_mixed_versions", Delta: 1})
		discardOutput(item, discardWeights, out)
		return
	}
	if item.Spec.Scorer == nil {
		finishItem(now, t, item, result(item, ""), out)
		return
	}
	item.Stage, item.NotBefore = table.ItemScoring, 0
	startScoring(now, t, item, out)
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

// stopItem stops the run or the scoring request of an item that is about to be deleted.
func stopItem(t *table.Tables, key string, item *table.Item, out *command.Outbox) {
	switch item.Stage {
	case table.ItemRunning:
		out.Add(command.StopRun{Key: key, Run: item.Run})
		releaseSlot(t, item)
	case table.ItemScoring:
		out.Add(command.StopScore{Key: key, Run: item.Run})
	}
}

// finishItem deletes an item and queues its result for the next write of its lot.
func finishItem(now time.Duration, t *table.Tables, item *table.Item, res lot.Result, out *command.Outbox) {
	l := t.Rollout.Lots.Find(item.Lot)
	key := table.ItemKey(item.Lot, item.Spec.ID)
	if res.State == lot.StateTerminated {
		out.Add(command.LogChange{Message: "item terminated", Fields: []command.Field{
			field("lot", item.Lot), field("item", item.Spec.ID), field("failures", itoa(item.Failures)),
			field("unprocessed", itoa(item.UnprocessableAnswers)), field("oversized", itoa(item.OversizedOutputs)), field("score_failures", itoa(item.ScoreFailures)),
		}})
	}
	cancelReservation(&t.Rollout, item)
	t.Rollout.Items.Delete(key)
	if l == nil || l.Stage != table.LotOwned || l.Listed[res.Item] {
		return
	}
	if !res.Size().Fits() {
		terminateResult(l, &res, out)
	}
	l.Listed[res.Item] = true
	if len(l.Pending) == 0 {
		l.PendingSince = now
	}
	l.Pending = append(l.Pending, res)
}
