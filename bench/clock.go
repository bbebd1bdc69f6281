// Package bench measures the decisions of the systems and pickers on a virtual
// clock, with small seeded fakes at their interfaces. It models delay, loss and
// service time, not processes, networks or disks.
package bench

import (
	"container/heap"
	"time"
)

// virtualClock is the virtual clock: work in order of time, then of scheduling.
type virtualClock struct {
	now     time.Duration
	lastSeq uint64
	tasks   taskHeap
}

type task struct {
	at  time.Duration
	seq uint64
	run func()
}

type taskHeap []task

func (a taskHeap) Len() int { return len(a) }
func (a taskHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a taskHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *taskHeap) Push(x any)   { *a = append(*a, x.(task)) }
func (a *taskHeap) Pop() any {
	n := len(*a) - 1
	last := (*a)[n]
	(*a)[n].run = nil
	*a = (*a)[:n]
	return last
}

// at schedules work at a time that is not in the past.
func (a *virtualClock) at(t time.Duration, run func()) {
	a.lastSeq++
	heap.Push(&a.tasks, task{at: max(t, a.now), seq: a.lastSeq, run: run})
}

func (a *virtualClock) after(d time.Duration, run func()) { a.at(a.now+d, run) }

// every runs work at the period from now on.
func (a *virtualClock) every(period time.Duration, run func()) {
	a.after(period, func() {
		run()
		a.every(period, run)
	})
}

// runUntil runs all work that is due before the end.
func (a *virtualClock) runUntil(end time.Duration) {
	for len(a.tasks) > 0 && a.tasks[0].at <= end {
		next := heap.Pop(&a.tasks).(task)
		a.now = next.at
		next.run()
	}
	a.now = end
}
