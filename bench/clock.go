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

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *taskHeap) Push(x any)   { *h = append(*h, x.(task)) }
func (h *taskHeap) Pop() any {
	n := len(*h) - 1
	last := (*h)[n]
	(*h)[n].run = nil
	*h = (*h)[:n]
	return last
}

// at schedules a task at a time, or now if that time has passed.
func (c *virtualClock) at(t time.Duration, run func()) {
	c.lastSeq++
	heap.Push(&c.tasks, task{at: max(t, c.now), seq: c.lastSeq, run: run})
}

func (c *virtualClock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// every runs a task periodically. The first run is one period from now.
func (c *virtualClock) every(period time.Duration, run func()) {
	c.after(period, func() {
		run()
		c.every(period, run)
	})
}

// runUntil runs all tasks that are due up to and including the end, and advances
// the clock to the end.
func (c *virtualClock) runUntil(end time.Duration) {
	for len(c.tasks) > 0 && c.tasks[0].at <= end {
		next := heap.Pop(&c.tasks).(task)
		c.now = next.at
		next.run()
	}
	c.now = end
}
