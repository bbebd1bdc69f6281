package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
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
// are complete have no remaining time. The trainer waits for target groups, 0 means all. The
// first carried groups are left from its previous step, and it waits for them in any case;
// negative means that any may be that it did not wait for then.
func planStep(now time.Duration, groups []group, target, carried int) table.StepPlan {
	p := table.StepPlan{At: now}
	spare := 0
	if target > 0 {
		spare = max(0, len(groups)-target)
	}
	if carried < 0 || carried > spare {
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

// stepPlan returns the plan of an owned lot and renews it if it is out of date. Slots are short
// if they take longer for all items than the longest item of the groups that the trainer waits
// for: only then do other groups hold it up, which may otherwise replace a late one. A step is over
// once its groups are complete, or when it is late and the trainer has submitted the next one.
func stepPlan(now time.Duration, r *table.Rollout, l *table.Lot) *table.StepPlan {
	if l.Plan.At > 0 && now-l.Plan.At < stepPlanInterval {
		return &l.Plan
	}
	m := r.Models.Find(l.Head.Model)
	var groups []group
	var work time.Duration
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
		remaining := remainingTime(now, r, m, item)
		work += remaining
		groups[at].remaining = max(groups[at].remaining, remaining)
	}
	l.Plan = planStep(now, groups, l.Submission.TargetGroups, l.Carried)
	late := now > lotDue(l, r.Desired.Match(l.Submission.Host, l.Submission.Path))
	l.Plan.Short = work > time.Duration(modelSlots(r, l.Head.Model))*l.Plan.Remaining
	l.Plan.Over = l.Plan.Remaining == 0 || (late && hasLaterLot(r, l))
	return &l.Plan
}

// modelSlots returns the number of slots of the engines of a model.
func modelSlots(r *table.Rollout, model string) int {
	slots := 0
	for _, s := range r.Servers.All() {
		if s.PreferredModel == model && !s.Leaving {
			slots += s.Slots
		}
	}
	return slots
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

// hasLaterLot reports whether a later lot of the model of l is known.
func hasLaterLot(r *table.Rollout, l *table.Lot) bool {
	created := l.Head.CreationVersion(l.Version)
	for _, other := range r.Lots.All() {
		if other.Head.Model == l.Head.Model && other.Head.CreationVersion(other.Version) > created {
			return true
		}
	}
	return false
}

// hasOtherLot reports whether another lot of the model of l is known.
func hasOtherLot(r *table.Rollout, l *table.Lot) bool {
	for id, other := range r.Lots.All() {
		if other.Head.Model == l.Head.Model && id != l.Head.ID {
			return true
		}
	}
	return false
}

// isSpare reports whether the trainer is not expected to wait for an item.
func isSpare(now time.Duration, r *table.Rollout, l *table.Lot, item *table.Item) bool {
	p := stepPlan(now, r, l)
	return p.Over || (p.Short && p.Spare[groupOf(item.Spec)])
}

// delaysStep reports whether the step of an item's lot is ready later if the item takes
// longer than remaining. An item of a spare group delays none, unless it is expected to miss
// the due time.
func delaysStep(now time.Duration, r *table.Rollout, l *table.Lot, item *table.Item, remaining time.Duration) bool {
	due := lotDue(l, r.Desired.Match(l.Submission.Host, item.Spec.Path))
	if now < due && now+remaining > due {
		return true
	}
	p := stepPlan(now, r, l)
	return !p.Over && !p.Spare[groupOf(item.Spec)] && float64(remaining) >= criticalShare*float64(p.Remaining)
}

// preemptLeftover stops runs of lots whose trainers do not wait for them any more, one for each
// waiting item of a later step that no server has room for. They go on when slots are free.
func preemptLeftover(now time.Duration, r *table.Rollout, out *command.Outbox) {
	if r.Baselines.Order || now-r.LeftoverCheckedAt < stepPlanInterval {
		return
	}
	r.LeftoverCheckedAt = now
	waiting := make(map[string]int) // needed items by model
	var leftover []*table.Item
	for _, item := range r.Items.All() {
		l := r.Lots.Find(item.Lot)
		if l == nil || l.Stage != table.LotOwned || l.Releasing || !headConfirmed(r, l) {
			continue
		}
		switch {
		case item.Stage == table.ItemWaiting && now >= item.NotBefore && !isSpare(now, r, l, item):
			waiting[l.Head.Model]++
		case item.Stage == table.ItemRunning && !item.Stopping && item.Moves < maxMoves && stepPlan(now, r, l).Over:
			leftover = append(leftover, item)
		}
	}
	for _, item := range leftover {
		l := r.Lots.Find(item.Lot)
		if s := r.Servers.Find(item.Server); s == nil || waiting[l.Head.Model] == 0 || serverRoom(now, s) > 0 {
			continue
		}
		waiting[l.Head.Model]--
		item.Stopping = true
		item.Moves++
		out.Add(command.StopRun{Key: table.ItemKey(item.Lot, item.Spec.ID), Run: item.Run})
		out.Add(command.Count{Counter: "runs_moved", Tags: map[string]string{"reason": "leftover"}, Delta: 1})
	}
}
