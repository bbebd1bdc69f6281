package system

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Constants of the share controller. Shares are fractions of the engine slots.
// When a class misses its target, the share of a lower class is multiplied by
// shareDecreaseFactor; when targets are met, shareIncrement is added. Live
// classes thus recover quickly, and training regains its share without
// overshooting.
const (
	classWindow         = 2 * time.Second // time between evaluations of the outcomes
	shareIncrement      = 0.05
	shareDecreaseFactor = 0.5
	minShare            = 0.05 // a decrease to less than this sets the share to 0
	fullShare           = 1.0
	// maxExcessLate bounds Class.ExcessLate, the number of late answers that a
	// class must make up for before the shares of lower classes grow. Failed and
	// refused requests count as late. The bound lets the lower classes recover
	// soon after an outage.
	maxExcessLate = 3.0
	// maxLateCredit is the largest number of late answers that earlier answers
	// on time can compensate for.
	maxLateCredit = 0.5
)

// Classes derives the priority and the share of engine slots of each class from
// the configured targets and the request outcomes that traffic reports. There
// are no configured weights: a class that misses its target takes capacity from
// the classes with lower priority, down to a share of 0, until it meets the
// target again.
func Classes() System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		syncClasses(now, t)
		for _, e := range in {
			if ended, ok := e.(event.RequestEnded); ok {
				countOutcome(t.Classes.Find(ended.Class), ended)
			}
		}
		evaluateClasses(now, t, out)
	}
}

// syncClasses updates the class rows after a change of the configuration. The
// class with the tightest target gets the highest priority: first the classes
// with a latency target, lowest latency first, then the classes with neither a
// latency target nor a staleness bound, then those with only a staleness bound,
// which are used for training.
func syncClasses(now time.Duration, t *table.Tables) {
	changed := t.Classes.Len() != len(t.Config.Body.Classes)
	for name, c := range t.Config.Body.Classes {
		row := t.Classes.Find(name)
		changed = changed || row == nil || row.Target != c.Target()
	}
	if !changed {
		return
	}
	for name := range t.Classes.All() {
		if _, ok := t.Config.Body.Classes[name]; !ok {
			t.Classes.Delete(name)
		}
	}
	order := classOrder(t.Config.Body.Classes)
	for i, name := range order {
		row, created := t.Classes.Upsert(name)
		if created {
			row.Name, row.Share, row.LastEvaluated = name, fullShare, now
		}
		row.Target, row.Priority = t.Config.Body.Classes[name].Target(), len(order)-i
	}
}

func classOrder(classes map[string]plan.ClassConfig) []string {
	names := make([]string, 0, len(classes))
	for name := range classes {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		ta, tb := classes[a].Target(), classes[b].Target()
		return cmp.Or(
			cmp.Compare(classTier(ta), classTier(tb)),
			cmp.Compare(ta.Latency, tb.Latency),
			-cmp.Compare(ta.OnTimeShare, tb.OnTimeShare),
			cmp.Compare(ta.StalenessBound, tb.StalenessBound),
			cmp.Compare(a, b))
	})
	return names
}

func classTier(t plan.Target) int {
	switch {
	case t.Latency > 0:
		return 0
	case t.StalenessBound == 0:
		return 1
	default:
		return 2
	}
}

func countOutcome(c *table.Class, ended event.RequestEnded) {
	switch {
	case c == nil || causedByCaller(ended.Reason) || unrelatedToBackends(ended.Reason):
	case ended.Reason != "" && ended.Verdict == verdict.NotRun:
		c.Refused++
	case ended.Reason != "":
		c.Failed++
	case c.Target.Latency > 0 && ended.Latency > c.Target.Latency:
		c.Late++
	default:
		c.OnTime++
	}
}

// causedByCaller reports whether the reason lies with the caller, so that no
// share of capacity could have improved the outcome.
func causedByCaller(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonBadRequest, verdict.ReasonMissingKey, verdict.ReasonBodyTooLarge, verdict.ReasonCanceled,
		verdict.ReasonDuplicateRequest, verdict.ReasonUnknownModel, verdict.ReasonUnknownRoute, verdict.ReasonVersionChanged:
		return true
	default:
		return false
	}
}

// unrelatedToBackends reports whether the reason has nothing to do with the
// backend servers. If such refusals counted, an outage of the table service
// would take engines away from classes that do not depend on it.
func unrelatedToBackends(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonStoreUnavailable, verdict.ReasonConfigUnconfirmed, verdict.ReasonDraining, verdict.ReasonRateLimited:
		return true
	default:
		return false
	}
}

func evaluateClasses(now time.Duration, t *table.Tables, out *command.Outbox) {
	due := false
	for _, c := range t.Classes.All() {
		due = due || now >= c.LastEvaluated+classWindow
	}
	if due {
		// The highest priority of a class that missed its target, and of one that
		// has excess late answers. It is 0 if there is no such class.
		highestMiss, highestExcess := 0, 0
		for _, c := range t.Classes.All() {
			closeWindow(now, c)
			if c.MissedTarget {
				highestMiss = max(highestMiss, c.Priority)
			}
			if c.ExcessLate > 0 {
				highestExcess = max(highestExcess, c.Priority)
			}
		}
		adjustShares(t, highestMiss, highestExcess, out)
	}
	for _, c := range t.Classes.All() {
		out.WakeAt(c.LastEvaluated + classWindow)
	}
}

func closeWindow(now time.Duration, c *table.Class) {
	total := c.OnTime + c.Late + c.Failed + c.Refused
	c.MissedTarget = false
	if total > 0 {
		c.OnTimeShare = float64(c.OnTime) / float64(total)
		c.MissedTarget = c.Target.Latency > 0 && c.OnTimeShare < c.Target.OnTimeShare
		missed := float64(total-c.OnTime) - (1-c.Target.OnTimeShare)*float64(total)
		if c.Target.Latency > 0 {
			c.ExcessLate = min(max(c.ExcessLate+missed, -maxLateCredit), maxExcessLate)
			c.MissedTarget = c.MissedTarget && c.ExcessLate > 0
		}
	}
	c.OnTime, c.Late, c.Failed, c.Refused, c.LastEvaluated = 0, 0, 0, 0, now
}

// adjustShares reduces the share of the lowest class that still has one if a
// higher class missed its target. It increases the share of the highest class
// below the full share once no higher class has excess late answers. The result
// of one window is not enough for that: a window holds so few requests that a
// target of 99.5% is met in most windows even while more than 0.5% are late.
func adjustShares(t *table.Tables, highestMiss, highestExcess int, out *command.Outbox) {
	var lowest, highest *table.Class
	for _, c := range t.Classes.All() {
		if c.Priority < highestMiss && c.Share > 0 && (lowest == nil || c.Priority < lowest.Priority) {
			lowest = c
		}
		if c.Priority >= max(highestMiss, highestExcess) && c.Share < fullShare && (highest == nil || c.Priority > highest.Priority) {
			highest = c
		}
	}
	if lowest != nil {
		if lowest.Share *= shareDecreaseFactor; lowest.Share < minShare {
			lowest.Share = 0
		}
		out.Add(shareChange(lowest.Name, "down"))
	}
	if highest != nil {
		highest.Share = min(highest.Share+shareIncrement, fullShare)
		out.Add(shareChange(highest.Name, "up"))
	}
}

func shareChange(class, direction string) command.Count {
	return command.Count{Counter: "class_share_changes", Tags: map[string]string{"class": class, "direction": direction}, Delta: 1}
}
