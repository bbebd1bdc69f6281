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

// Constants of the share controller. A miss halves a share below and a met
// target adds a step, so that live classes recover quickly and training returns
// without overshooting.
const (
	classWindow         = 2 * time.Second
	shareIncrement      = 0.05
	shareDecreaseFactor = 0.5
	minShare            = 0.05 // a lower result becomes 0
	fullShare           = 1.0
	// maxExcessLate bounds the answers that a class has to make up for before lower
	// classes get more, so that the end of an outage is followed by recovery.
	maxExcessLate = 3.0
	// maxLateCredit is the number of late answers that earlier ones on time pay for.
	maxLateCredit = 0.5
)

// Classes derives the priority and the share of engine slots of each class from
// the operators' targets and the outcomes that traffic reports. Nobody sets a
// weight: a class that misses its target takes capacity from the classes below
// it, down to nothing, until it meets the target again.
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

// syncClasses follows the configuration. The tightest class gets the highest
// priority: latency targets by length, then the others, then those that have a
// staleness bound and no latency target, which is training.
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

// causedByCaller reports outcomes that no share of capacity could have improved.
func causedByCaller(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonBadRequest, verdict.ReasonMissingKey, verdict.ReasonBodyTooLarge, verdict.ReasonCanceled,
		verdict.ReasonDuplicateRequest, verdict.ReasonUnknownModel, verdict.ReasonUnknownRoute, verdict.ReasonVersionChanged:
		return true
	default:
		return false
	}
}

// unrelatedToBackends reports refusals that have nothing to do with the backend servers. If
// they counted, an outage of the table service would take the engines from
// classes that do not need it.
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
		highestMiss, highestDebt := 0, 0 // priorities of the highest such classes
		for _, c := range t.Classes.All() {
			closeWindow(now, c)
			if c.MissedTarget {
				highestMiss = max(highestMiss, c.Priority)
			}
			if c.ExcessLate > 0 {
				highestDebt = max(highestDebt, c.Priority)
			}
		}
		adjustShares(t, highestMiss, highestDebt, out)
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

// adjustShares takes from the lowest class that still has a share while a class
// above it misses its target. It gives to the highest without a whole one once no
// class above owes answers on time: a window holds few requests, so that a target
// of 99.5% is mostly met in it even while more than 0.5% are late.
func adjustShares(t *table.Tables, highestMiss, highestDebt int, out *command.Outbox) {
	var lowest, highest *table.Class
	for _, c := range t.Classes.All() {
		if c.Priority < highestMiss && c.Share > 0 && (lowest == nil || c.Priority < lowest.Priority) {
			lowest = c
		}
		if c.Priority >= max(highestMiss, highestDebt) && c.Share < fullShare && (highest == nil || c.Priority > highest.Priority) {
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
