package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/desired"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// scoreRetryDelay is the wait after the first failed scoring request.
	scoreRetryDelay = 100 * time.Millisecond
	// minScoreTimeout is the time that a scoring request gets at least. The timeout of its route
	// is meant for callers and may be shorter than the scorer takes.
	minScoreTimeout = 2 * time.Second
)

func startScoring(now time.Duration, t *table.Tables, item *table.Item, out *command.Outbox) {
	t.Rollout.RunCount++
	item.Run = t.Rollout.RunCount
	out.Add(command.ScoreItem{
		Key: table.ItemKey(item.Lot, item.Spec.ID), Run: item.Run, Scorer: item.Spec.Scorer, Timeout: scoreTimeout(now, t, item),
	})
}

// scoreTimeout returns the timeout of the next scoring request of an item. It grows with the
// number of failed requests, because a scorer may take long at the moment, and is bounded by the
// time left to the item.
func scoreTimeout(now time.Duration, t *table.Tables, item *table.Item) time.Duration {
	timeout := minScoreTimeout
	if route := scorerRoute(t, item); route != nil {
		timeout = max(timeout, route.Timeout)
	}
	timeout <<= min(item.ScoreRetries, maxTimeoutDoublings)
	l, route := t.Rollout.Lots.Find(item.Lot), itemRoute(t, item)
	if l == nil || route == nil {
		return timeout
	}
	return min(timeout, max(time.Second, itemTimeout(route)-(now-l.AcceptedAt)))
}

// Scores applies the outcomes of scoring requests and repeats failed requests.
func Scores(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	for _, e := range in {
		s, ok := e.(event.ScoreEnded)
		if !ok {
			continue
		}
		item := t.Rollout.Items.Find(s.Key)
		if item == nil || item.Stage != table.ItemScoring || item.Run != s.Run {
			continue // the lot ended or went to another owner
		}
		item.ScoreFailures += s.Failures
		switch {
		case s.Failure == nil:
			finishItem(now, t, item, result(item, s.Score), out)
		case item.ScoreFailures >= maxScorerAttempts(t, item):
			finishItem(now, t, item, lot.Result{Item: item.Spec.ID, State: lot.StateTerminated}, out)
		default:
			item.NotBefore = now + scoreRetryDelay<<min(item.ScoreRetries, maxDelayDoublings)
			item.ScoreRetries++
			out.Add(command.Count{Counter: "scoring_failed", Tags: map[string]string{"reason": string(s.Failure.Reason)}, Delta: 1})
		}
	}
	retryScores(now, t, out)
}

func maxScorerAttempts(t *table.Tables, item *table.Item) int {
	if route := scorerRoute(t, item); route != nil && route.MaxAttempts > 0 {
		return route.MaxAttempts
	}
	return defaultMaxAttempts
}

// scorerRoute returns the route of the scoring requests of an item, nil if there is none.
func scorerRoute(t *table.Tables, item *table.Item) *desired.Route {
	if t.Rollout.Desired == nil {
		return nil
	}
	return t.Rollout.Desired.Match(item.Spec.Scorer.Host, item.Spec.Scorer.Path)
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
		startScoring(now, t, item, out)
	}
}
