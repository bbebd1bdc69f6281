package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// tightPause is the time between the completion of a step and the submission of the next
	// one up to which the trainer may be behind: it trains for 0.5 to 1 s. A trainer that
	// pauses for longer than amplePause waits for its schedule.
	tightPause = 1050 * time.Millisecond
	amplePause = 1800 * time.Millisecond
	// raiseUrgency and lowerUrgency bound the factor by which the urgency of a model changes
	// with a step. A model that is behind gets engines within a few steps and gives them back
	// more slowly, as each costs a load.
	raiseUrgency = 1.15
	lowerUrgency = 0.95
	// tightUrgency is the factor for a step without a pause that took as long as those of the
	// other models. It lets a trainer that is behind catch up with those that are not.
	tightUrgency = 1.06
	// minUrgency and maxUrgency bound the urgency, so that a model that is always behind takes
	// at most three times its share from one that never is.
	minUrgency = 0.7
	maxUrgency = 2.1
	// urgencyUnit is the urgency of a model that is neither behind nor ahead, as published.
	urgencyUnit = 1000
)

// nextUrgency returns the urgency of a model whose next step was submitted at a time after
// the last one was ready, negative if it was not ready. ratio is the time that the last step
// took relative to those of the other models. Pauses alone do not tell a trainer that is
// behind from one that keeps to its schedule with little to spare.
func nextUrgency(urgency int, pause time.Duration, ratio float64) int {
	factor := ratio
	switch {
	case pause < 0:
		factor = raiseUrgency
	case pause > amplePause:
		factor = lowerUrgency
	case pause <= tightPause:
		factor *= tightUrgency
	}
	return boundedUrgency(min(raiseUrgency, max(lowerUrgency, factor)) * float64(urgency))
}

func boundedUrgency(u float64) int {
	return int(min(maxUrgency*urgencyUnit, max(minUrgency*urgencyUnit, u)))
}

// beginStep sets the urgency of a lot that this process begins to run. A process that has not
// run the step before continues with the published urgency.
func beginStep(now time.Duration, r *table.Rollout, l *table.Lot) {
	if l.Head.Model == "" {
		return
	}
	m, _ := r.Models.Upsert(l.Head.Model)
	urgency := publishedStep(r, l.Head.Model).Urgency
	if urgency == 0 {
		urgency = urgencyUnit
	}
	if l.Head.Urgency == 0 && l.Head.Listed == 0 && m.LastStep != "" && m.LastStep != l.Head.ID {
		pause := time.Duration(-1)
		if m.StepReadyAt > 0 {
			pause = now - m.StepReadyAt
		}
		urgency = nextUrgency(urgency, pause, stepRatio(r, m))
	}
	l.Carried = carriedGroups(r, m, l)
	if m.LastStep != l.Head.ID {
		m.LastStep, m.StepReadyAt, m.StepOverdue = l.Head.ID, 0, false
	}
	l.Urgency = urgency
}

// updateStep notes when the groups that the trainer of a lot waits for are complete, and sets
// what the next write of the head publishes. A step that is late raises the urgency at once.
func updateStep(now time.Duration, r *table.Rollout, l *table.Lot, h *lot.Head) {
	if l.Head.Model == "" || r.Desired == nil {
		return
	}
	m, _ := r.Models.Upsert(l.Head.Model)
	if m.LastStep == l.Head.ID && m.StepReadyAt == 0 {
		due := lotDue(l, r.Desired.Match(l.Submission.Host, l.Submission.Path))
		open, ready := openGroups(l)
		switch {
		case ready:
			m.OpenGroups = open
			m.StepReadyAt, m.StepTook = now, now-l.AcceptedAt
		case now > due && !m.StepOverdue:
			m.StepOverdue, l.Urgency = true, boundedUrgency(raiseUrgency*float64(l.Urgency))
		}
	}
	h.Urgency, h.EventsPerS, h.ReadyMS = l.Urgency, engineSpeed(r, l.Head.Model), int(m.StepTook.Milliseconds())
}

// stepRatio returns the time that the last step of a model took relative to the mean of those
// of all models, 1 if either is unknown.
func stepRatio(r *table.Rollout, m *table.Model) float64 {
	sum, n := 0, 0
	for model := range r.Models.All() {
		if took := publishedStep(r, model).ReadyMS; took > 0 {
			sum += took
			n++
		}
	}
	if n == 0 || m.StepTook == 0 {
		return 1
	}
	return float64(m.StepTook.Milliseconds()) * float64(n) / float64(sum)
}

// openGroups returns the groups of an owned lot that are not complete, and whether those are
// that its trainer waits for.
func openGroups(l *table.Lot) (open map[string]bool, ready bool) {
	open = make(map[string]bool)
	groups := make(map[string]bool)
	for i := range l.Submission.Items {
		spec := &l.Submission.Items[i]
		groups[groupOf(spec)] = true
		if !l.Listed[spec.ID] {
			open[groupOf(spec)] = true
		}
	}
	target := l.Submission.TargetGroups
	if target <= 0 || target > len(groups) {
		target = len(groups)
	}
	return open, len(groups)-len(open) >= target
}

// carriedGroups returns how many of the first groups of a lot are left from the previous step
// of its model, -1 if that is unknown.
func carriedGroups(r *table.Rollout, m *table.Model, l *table.Lot) int {
	switch {
	case m.LastStep == "" && !hasOtherLot(r, l):
		return 0
	case m.LastStep == "" || m.LastStep == l.Head.ID || m.StepReadyAt == 0:
		return -1
	}
	carried := make(map[string]bool)
	for i := range l.Submission.Items {
		name := groupOf(&l.Submission.Items[i])
		if !m.OpenGroups[name] {
			break
		}
		carried[name] = true
	}
	return len(carried)
}

// engineSpeed returns the mean speed of the engines of a model in thousandths of an event per
// second. An engine that this process has not measured counts with the median.
func engineSpeed(r *table.Rollout, model string) int {
	sum, n := 0.0, 0
	for _, s := range r.Servers.All() {
		if s.PreferredModel == model && !s.Leaving && s.SuspectUntil == 0 {
			sum += 1000 * float64(time.Second) / float64(eventInterval(r, s))
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return int(sum / float64(n))
}

// publishedStep returns the newest head of a model in which an owner published its urgency. A
// head that was not written by its owner yet, or by an earlier release, has none.
func publishedStep(r *table.Rollout, model string) lot.Head {
	var newest lot.Head
	var newestVersion uint64
	for _, l := range r.Lots.All() {
		if v := l.Head.CreationVersion(l.Version); l.Head.Model == model && l.Head.Urgency > 0 && v > newestVersion {
			newest, newestVersion = l.Head, v
		}
	}
	return newest
}

// modelDemand returns the engine time that the models of a service need in proportion: the
// mean estimated tokens of their lots, by the speed of their engines and their urgency. A
// model without a known speed counts with the mean speed of the others.
func modelDemand(r *table.Rollout, models []string) map[string]int {
	tokens := meanLotTokens(r)
	if r.Baselines.Division {
		return tokens
	}
	steps := make(map[string]lot.Head, len(models))
	speeds, known := 0, 0
	for _, m := range models {
		h := publishedStep(r, m)
		steps[m] = h
		if h.EventsPerS > 0 {
			speeds += h.EventsPerS
			known++
		}
	}
	demand := make(map[string]int, len(models))
	for _, m := range models {
		need := float64(tokens[m])
		if h := steps[m]; h.Urgency > 0 {
			need *= float64(boundedUrgency(float64(h.Urgency))) / urgencyUnit
			if h.EventsPerS > 0 {
				need *= float64(speeds) / float64(known) / float64(h.EventsPerS)
			}
		}
		demand[m] = int(need)
	}
	return demand
}
