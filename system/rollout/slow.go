package rollout

import (
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// updateMedianIntervals computes the median event interval of each service from those of
// its servers.
func updateMedianIntervals(now time.Duration, r *table.Rollout) {
	if r.MedianIntervals == nil {
		r.MedianIntervals = make(map[string]table.MedianInterval)
	}
	intervals := make(map[string][]time.Duration)
	for _, s := range r.Servers.All() {
		if s.EventInterval > 0 && now-r.MedianIntervals[s.Service].At >= medianRefreshInterval {
			intervals[s.Service] = append(intervals[s.Service], s.EventInterval)
		}
	}
	for service, list := range intervals {
		slices.Sort(list)
		r.MedianIntervals[service] = table.MedianInterval{Interval: list[(len(list)-1)/2], At: now}
	}
}

// maxEventInterval returns the mean event interval above which a run on s moves to
// another server, 0 if it must not move.
func maxEventInterval(now time.Duration, r *table.Rollout, service string, s *table.Server) time.Duration {
	if now < s.SlowUntil {
		return 0 // s was chosen although it is slow, so no faster server had room
	}
	return slowIntervalLimit(r, service)
}

// slowIntervalLimit returns the mean event interval above which a server of a service
// counts as slow, 0 before the median of the service is known.
func slowIntervalLimit(r *table.Rollout, service string) time.Duration {
	return time.Duration(slowIntervalRatio * float64(r.MedianIntervals[service].Interval))
}

// stopRunsOnSlowServers stops runs on slow and suspect servers while fast servers with
// the weights have free slots, on which the items then continue after their last event.
// It is called only when no item waits for those slots.
func stopRunsOnSlowServers(now time.Duration, t *table.Tables, out *command.Outbox) {
	r := &t.Rollout
	free := make(map[poolKey]int)
	var candidates []string
	for key, item := range r.Items.All() {
		s, l := r.Servers.Find(item.Server), r.Lots.Find(item.Lot)
		if item.Stage != table.ItemRunning || s == nil || l == nil || isFast(now, s) {
			continue
		}
		pk := poolKeyOf(s, l)
		if _, ok := free[pk]; !ok {
			free[pk] = freeSlots(now, eligibleServers(r, pk))
		}
		if item.Stopping {
			free[pk]-- // the item takes a free slot as soon as its run has ended
			continue
		}
		candidates = append(candidates, key)
	}
	for _, key := range candidates {
		item := r.Items.Find(key)
		pk := poolKeyOf(r.Servers.Find(item.Server), r.Lots.Find(item.Lot))
		if free[pk] <= 0 {
			continue
		}
		free[pk]--
		item.Stopping = true
		out.Add(command.StopRun{Key: key, Run: item.Run})
		out.Add(command.Count{Counter: "runs_moved", Tags: map[string]string{"reason": string(verdict.ReasonSlow)}, Delta: 1})
	}
}

// poolKeyOf returns the key of the pool that a running item of l on s belongs to.
func poolKeyOf(s *table.Server, l *table.Lot) poolKey {
	return poolKey{s.Service, l.Head.Model, l.Submission.MinimumVersion}
}

// freeSlots returns the number of free slots of the fast servers among the given ones.
func freeSlots(now time.Duration, servers []*table.Server) int {
	n := 0
	for _, s := range servers {
		if isFast(now, s) && now >= s.BusyUntil {
			n += max(0, s.Slots-s.Running)
		}
	}
	return n
}
