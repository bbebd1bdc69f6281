// Package bench compares routing and scheduling policies in a discrete-event
// simulation. It runs the real systems and pickers on a virtual clock, with small
// seeded fakes at their interfaces. It models delay, loss and service time, but no
// processes, networks or disks.
package bench

import (
	"container/heap"
	"time"
)

// virtualClock runs tasks in order of their time. Tasks of the same time run in the
// order in which they were scheduled.
type virtualClock struct {
	now     time.Duration
	lastSeq uint64
	tasks   taskHeap
}

// task is a function that is due at a simulated time.
type task struct {
	at  time.Duration
	seq uint64
	run func()
}

// taskHeap implements heap.Interface; the next task comes first.
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

// at schedules a task at a time, or now if that time has passed.
func (a *virtualClock) at(t time.Duration, run func()) {
	a.lastSeq++
	heap.Push(&a.tasks, task{at: max(t, a.now), seq: a.lastSeq, run: run})
}

func (a *virtualClock) after(d time.Duration, run func()) { a.at(a.now+d, run) }

// every runs a task periodically. The first run is one period from now.
func (a *virtualClock) every(period time.Duration, run func()) {
	a.after(period, func() {
		run()
		a.every(period, run)
	})
}

// runUntil runs all tasks that are due up to and including the end, and advances
// the clock to the end.
func (a *virtualClock) runUntil(end time.Duration) {
	for len(a.tasks) > 0 && a.tasks[0].at <= end {
		next := heap.Pop(&a.tasks).(task)
		a.now = next.at
		next.run()
	}
	a.now = end
}
