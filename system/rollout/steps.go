package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// stepPlanInterval is the time between two plans of a step. It is much shorter than the
	// time that an output takes.
	stepPlanInterval = 100 * time.Millisecond
	// criticalShare is the share of the expected time until a step is ready above which an
	// item delays the step if it takes longer. It covers the error of the forecast.
	criticalShare = 0.9
)

// groupOf returns the group of an item. An item without a group is one by itself.
func groupOf(spec *lot.Item) string {
	if spec.Group == "" {
		return spec.ID
	}
	return spec.Group
}

// group is a group of a lot with items that are not complete.
type group struct {
	name      string
	remaining time.Duration // expected time until its last item is complete
}

// planStep returns which groups of a lot its trainer does not wait for, and when the others are
// expected to be complete. groups are all groups in the order of the submission; those that
// are complete have no remaining time. The trainer waits for target groups, 0 means all. As
// many groups as it does not wait for may have been carried over from its previous step: they
// are the first ones, and it waits for them.
func planStep(now time.Duration, groups []group, target int, carriesOver bool) table.StepPlan {
	p := table.StepPlan{At: now}
	spare := 0
	if target > 0 {
		spare = max(0, len(groups)-target)
	}
	carried := 0
	if carriesOver {
		carried = min(spare, target)
	}
	rest := slices.Clone(groups[carried:])
	slices.SortStableFunc(rest, func(a, b group) int { return int(a.remaining - b.remaining) })
	needed := len(rest) - spare
	for _, g := range rest[needed:] {
		if g.remaining > 0 {
			if p.Spare == nil {
				p.Spare = make(map[string]bool, spare)
			}
			p.Spare[g.name] = true
		}
	}
	for _, g := range slices.Concat(groups[:carried], rest[:needed]) {
		p.Remaining = max(p.Remaining, g.remaining)
	}
	return p
}

// stepPlan returns the plan of an owned lot and renews it if it is out of date.
func stepPlan(now time.Duration, r *table.Rollout, l *table.Lot) *table.StepPlan {
	if l.Plan.At > 0 && now-l.Plan.At < stepPlanInterval {
		return &l.Plan
	}
	m := r.Models.Find(l.Head.Model)
	var groups []group
	index := make(map[string]int)
	for i := range l.Submission.Items {
		spec := &l.Submission.Items[i]
		name := groupOf(spec)
		at, known := index[name]
		if !known {
			at = len(groups)
			index[name] = at
			groups = append(groups, group{name: name})
		}
		if l.Listed[spec.ID] {
			continue
		}
		item := r.Items.Find(table.ItemKey(l.Head.ID, spec.ID))
		if item == nil {
			continue
		}
		groups[at].remaining = max(groups[at].remaining, remainingTime(now, r, m, item))
	}
	l.Plan = planStep(now, groups, l.Submission.TargetGroups, hasEarlierLot(r, l))
	return &l.Plan
}

// remainingTime returns the expected time until an item is complete. An item whose output is
// complete counts with a moment, because it is not listed yet.
func remainingTime(now time.Duration, r *table.Rollout, m *table.Model, item *table.Item) time.Duration {
	s := r.Servers.Find(item.Server)
	switch {
	case item.Stage == table.ItemScoring:
		return time.Millisecond
	case item.Stage == table.ItemRunning && s != nil:
		interval := eventInterval(r, s)
		return forecastPace(now, r, s).timeFor(remainingEvents(m, item.Spec, eventsDone(now, item, interval)))
	}
	service := ""
	if s != nil {
		service = s.Service
	}
	return time.Duration(remainingEvents(m, item.Spec, float64(len(item.Events))) * float64(medianInterval(r, service)))
}

// hasEarlierLot reports whether an earlier lot of the model of l is known.
func hasEarlierLot(r *table.Rollout, l *table.Lot) bool {
	for _, other := range r.Lots.All() {
		if other.Head.Model == l.Head.Model && other.Head.AcceptedUnixMS < l.Head.AcceptedUnixMS {
			return true
		}
	}
	return false
}

// delaysStep reports whether the step of an item's lot is ready later if the item takes
// longer than remaining. An item of a spare group delays none, unless it is expected to miss
// the due time.
func delaysStep(now time.Duration, r *table.Rollout, l *table.Lot, item *table.Item, remaining time.Duration) bool {
	if route := r.Desired.Match(l.Submission.Host, item.Spec.Path); now+remaining > lotDue(l, route) {
		return true
	}
	p := stepPlan(now, r, l)
	return !p.Spare[groupOf(item.Spec)] && float64(remaining) >= criticalShare*float64(p.Remaining)
}
