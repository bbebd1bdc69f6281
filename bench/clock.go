// Package bench measures the decisions of the systems and pickers on a virtual
// clock, with small seeded fakes at their interfaces. It models delay, loss and
// service time, not processes, networks or disks.
package bench

import (
	"container/heap"
	"time"
)

// agenda is the virtual clock: work in order of time, then of scheduling.
type agenda struct {
	now   time.Duration
	order uint64
	items items
}

type item struct {
	at    time.Duration
	order uint64
	run   func()
}

type items []item

func (a items) Len() int { return len(a) }
func (a items) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a items) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *items) Push(x any)   { *a = append(*a, x.(item)) }
func (a *items) Pop() any {
	n := len(*a) - 1
	last := (*a)[n]
	(*a)[n].run = nil
	*a = (*a)[:n]
	return last
}

// at schedules work at a time that is not in the past.
func (a *agenda) at(t time.Duration, run func()) {
	a.order++
	heap.Push(&a.items, item{at: max(t, a.now), order: a.order, run: run})
}

func (a *agenda) after(d time.Duration, run func()) { a.at(a.now+d, run) }

// every runs work at the period from now on.
func (a *agenda) every(period time.Duration, run func()) {
	a.after(period, func() {
		run()
		a.every(period, run)
	})
}

// runUntil runs all work that is due before the end.
func (a *agenda) runUntil(end time.Duration) {
	for len(a.items) > 0 && a.items[0].at <= end {
		next := heap.Pop(&a.items).(item)
		a.now = next.at
		next.run()
	}
	a.now = end
}
