package duty

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/executor"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/usage"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	windowLength = 5 * time.Second
	tick         = 50 * time.Millisecond
	// startTime is the true time at which a cluster starts, 1 s after the begin of a window.
	startTime   = 1_700_000_001 * time.Second
	firstWindow = int64(startTime / windowLength)
)

// cluster runs the systems of hosts on a fake clock. Commands are executed at once with the
// real executors, over a store and a platform in memory.
type cluster struct {
	t       *testing.T
	elapsed time.Duration
	hosts   []*fakeHost
	store   *pamoja.Store
	fence   uint64
	api     fakeAPI
}

// fakeHost is a host. A host that is down gets no ticks; its queue is kept if it is frozen.
type fakeHost struct {
	c        *cluster
	name     string
	start    time.Duration // c.elapsed when its process started
	clock    time.Duration // error of its time of day
	tables   *table.Tables
	queue    []event.Event
	down     bool
	isolated bool             // its reports to other hosts are lost
	counts   map[string]int64 // counters by name and outcome, and commands by name
}

// fakeAPI is a platform in memory. outcome decides each call before it is recorded.
type fakeAPI struct {
	accepted []pamoja.APICall
	refused  int
	outcome  func(c pamoja.APICall) (carriedOut bool, err error)
}

func newCluster(t *testing.T, hosts int) *cluster {
	c := &cluster{t: t, store: pamoja.NewStore(), fence: 10}
	for i := range hosts {
		h := &fakeHost{c: c, name: fmt.Sprintf("h%d", i), counts: make(map[string]int64)}
		c.hosts = append(c.hosts, h)
	}
	for _, h := range c.hosts {
		h.restart()
	}
	c.hold(0)
	return c
}

// restart replaces the process of a host.
func (h *fakeHost) restart() {
	h.down, h.queue, h.start = false, nil, h.c.elapsed-time.Millisecond
	h.tables = table.New(table.Self{Host: h.name})
	r := &h.tables.Rollout
	r.Self = lot.Process{Host: h.name, BootID: fmt.Sprint(h.c.elapsed)}
	for _, other := range h.c.hosts {
		p, _ := r.Peers.Upsert(other.name)
		p.Address = other.name
	}
	d := &h.tables.Duties
	d.Settings = settings.Duties{Address: "api", Usage: true, CallsPerSecond: 50}
	d.Usage.Window, d.Usage.Due = windowLength, 10*time.Second
	d.Usage.Clock.Base = startTime + h.start + h.clock
}

func (h *fakeHost) now() time.Duration { return h.c.elapsed - h.start }

// hold makes a host the holder of the order lease, as all hosts see it. The previous holder,
// unless it is down, learns of it as well.
func (c *cluster) hold(index int) {
	c.fence++
	holder := c.hosts[index]
	for _, h := range c.hosts {
		lease := &h.tables.Rollout.OrderLease
		lease.Holder, lease.Held = holder.tables.Rollout.Self, h == holder
		if lease.Held {
			lease.Fence, lease.OrdersFrom, lease.ValidUntil, lease.Yielding = c.fence, h.now(), h.now()+time.Hour, false
		}
	}
}

// began counts requests of an organisation that begin now at a host.
func (c *cluster) began(index int, organisation string, n int64) {
	h := c.hosts[index]
	h.queue = append(h.queue, event.RequestBegan{Organisation: organisation, At: h.now(), Delta: n})
}

// run advances the clock and runs all hosts that are up each tick.
func (c *cluster) run(d time.Duration) {
	for end := c.elapsed + d; c.elapsed < end; {
		c.elapsed += tick
		for _, h := range c.hosts {
			if !h.down {
				h.step()
			}
		}
	}
}

// runUntil runs until the given time after the end of the first window.
func (c *cluster) runUntil(afterFirst time.Duration) {
	c.run(time.Duration(firstWindow+1)*windowLength + afterFirst - startTime - c.elapsed)
}

func (h *fakeHost) step() {
	in := h.queue
	h.queue = nil
	var out command.Outbox
	for _, s := range Systems() {
		s.Run(h.now(), h.tables, in, &out)
	}
	for _, c := range out.Take() {
		h.execute(c)
	}
}

func (h *fakeHost) execute(c command.Command) {
	ctx := context.Background()
	h.counts[c.Name()]++
	duty := &executor.Usage{Store: h.c.store, Now: h.now, Platform: func() executor.UsagePlatform { return h }}
	switch c := c.(type) {
	case command.FixUsage:
		h.queue = append(h.queue, duty.Fix(ctx, c))
	case command.SendUsage:
		h.queue = append(h.queue, duty.Send(ctx, c))
	case command.MarkUsage:
		h.queue = append(h.queue, duty.Mark(ctx, c))
	case command.ReadUsage:
		h.queue = append(h.queue, duty.Read(ctx, c))
	case command.WriteHolderCounts:
		h.queue = append(h.queue, duty.WriteHolder(ctx, c))
	case command.RemoveUsage:
		h.queue = append(h.queue, duty.Remove(ctx, c))
	case command.ReportUsage:
		h.report(c)
	case command.Count:
		h.counts[c.Counter+c.Tags["outcome"]] += c.Delta
	}
}

// report passes a report to the systems of the addressed host at once.
func (h *fakeHost) report(c command.ReportUsage) {
	e := event.UsageDelivered{Boot: c.Boot, Revisions: c.Revisions, Totals: c.Totals, SentAt: h.now()}
	e.Failure = event.FailureOf(verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "unreachable"))
	for _, to := range h.c.hosts {
		if to.name != c.Address || to.down || h.isolated {
			continue
		}
		c.Report.Clock = c.ClockBase + h.now()
		var out command.Outbox
		for _, s := range Systems() {
			s.Run(to.now(), to.tables, []event.Event{event.UsageReported{RequestID: "r", ReceivedAt: to.now(), Report: c.Report}}, &out)
		}
		for _, answer := range out.Take() {
			if a, ok := answer.(command.AnswerUsageReport); ok {
				e.Answer, e.Failure = a.Answer, nil
				continue
			}
			to.execute(answer)
		}
	}
	h.queue = append(h.queue, e)
}

// ReportUsage implements executor.UsagePlatform.
func (h *fakeHost) ReportUsage(_ context.Context, fence uint64, window int64, counts map[string]int64) error {
	call := pamoja.APICall{Duty: pamoja.DutyUsage, Holder: h.name, Fence: fence, Window: window, Counts: counts}
	carriedOut, err := true, error(nil)
	if h.c.api.outcome != nil {
		carriedOut, err = h.c.api.outcome(call)
	}
	if carriedOut {
		h.c.api.accepted = append(h.c.api.accepted, call)
	} else {
		h.c.api.refused++
	}
	return err
}

// reports returns the accepted reports of a window.
func (c *cluster) reports(window int64) []map[string]int64 {
	var all []map[string]int64
	for _, call := range c.api.accepted {
		if call.Window == window {
			all = append(all, call.Counts)
		}
	}
	return all
}

// usageRows returns the stored windows.
func (c *cluster) usageRows() []usage.Window {
	stored, err := usage.Read(context.Background(), c.store)
	if err != nil {
		c.t.Fatal(err)
	}
	return stored.Windows
}
