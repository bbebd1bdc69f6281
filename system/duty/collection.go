package duty

import (
	"maps"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/usage"
)

const (
	// settleTime is the time within which hosts report their counts to a new holder: the feed
	// that names it (0.5 s), the interval of reports (1 s) and the call itself.
	settleTime = 2 * time.Second
	// stoppedTime is the time between two ticks from which this process is considered to have
	// been stopped. Ticks are at most 0.5 s apart. Reports that arrived meanwhile may have
	// timed out at their senders, which repeat them.
	stoppedTime = 1500 * time.Millisecond
	// clockHosts is the number of clocks whose median is used, this host's included, unless
	// there are fewer hosts. With three, one wrong clock has no effect.
	clockHosts = 3
	// clockWait is the time after which a holder whose clock was never corrected uses the
	// median of the clocks that it knows, even if they are fewer.
	clockWait = 3 * time.Second
	// clockTTL is the time for which the clock of a host counts after its last report.
	clockTTL = 10 * time.Minute
	// maxReadRetry bounds the wait between reads of the stored windows.
	maxReadRetry = time.Second
	minRetry     = 250 * time.Millisecond
)

// Collection merges the counts that hosts report while this process holds the order lease,
// corrects their clocks, and reads the stored windows once.
func Collection(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	u := &t.Duties.Usage
	c, lease := &u.Collection, &t.Rollout.OrderLease
	stopped := c.LastTick != 0 && now-c.LastTick > stoppedTime
	c.LastTick = now
	var reports []event.UsageReported
	for _, e := range in {
		switch e := e.(type) {
		case event.UsageReported:
			reports = append(reports, e)
		case event.UsageRead:
			applyRead(now, u, e, out)
		case event.HolderCountsWritten:
			applyHolderWritten(now, c, e, out)
		}
	}
	active := reporting(&t.Duties) && lease.Held
	switch {
	case active && c.Fence != lease.Fence:
		beginCollection(now, c, lease.Fence)
	case !active && c.Fence != 0:
		beginCollection(now, c, 0)
	case stopped:
		c.SettledFrom = now + settleTime
	}
	if !active {
		if c.HostCounts.Len() > 0 && now > c.Since+keptWindows*u.Window {
			c.HostCounts = table.Table[table.HostCount]{}
		}
		for _, e := range reports {
			out.Add(command.AnswerUsageReport{RequestID: e.RequestID})
		}
		return
	}
	correctClock(now, t, reports, out)
	for _, e := range reports {
		out.Add(command.AnswerUsageReport{RequestID: e.RequestID, Answer: mergeReport(u, e)})
	}
	if u.Clock.Known {
		mergeOwn(t)
	}
	writeHolder(now, c, lease, out)
	if lease.MayAct(now) && !c.Read && !c.Reading {
		if now < c.NextRead {
			out.WakeAt(c.NextRead)
			return
		}
		c.Reading = true
		out.Add(command.ReadUsage{Fence: c.Fence})
	}
}

// beginCollection begins to collect under a fencing token, or ends it if fence is 0. The counts
// of hosts are kept: hosts that did not see another holder do not report them again.
func beginCollection(now time.Duration, c *table.UsageCollection, fence uint64) {
	*c = table.UsageCollection{
		Fence: fence, Since: now, SettledFrom: now + settleTime, LastTick: c.LastTick, HostCounts: c.HostCounts, HostClocks: c.HostClocks,
		Own: table.HolderRow{Changed: true},
	}
}

// correctClock sets the correction of this process to the median of the offsets of the clocks
// that it knows. A correction that it got from another holder is kept until enough clocks are
// known.
func correctClock(now time.Duration, t *table.Tables, reports []event.UsageReported, out *command.Outbox) {
	u := &t.Duties.Usage
	c := &u.Collection
	for _, e := range reports {
		clock, _ := c.HostClocks.Upsert(e.Report.Host)
		*clock = table.HostClock{Offset: e.Report.Clock - (u.Clock.Base + e.ReceivedAt), SeenAt: now}
	}
	if len(reports) == 0 && u.Clock.Known {
		return
	}
	offsets := []time.Duration{0} // of this host
	for host, clock := range c.HostClocks.All() {
		if now-clock.SeenAt > clockTTL {
			c.HostClocks.Delete(host)
			continue
		}
		offsets = append(offsets, clock.Offset)
	}
	if len(offsets) < min(clockHosts, max(1, knownHosts(&t.Rollout))) && (u.Clock.Known || now < c.Since+clockWait) {
		out.WakeAt(c.Since + clockWait)
		return
	}
	u.Clock.Correction, u.Clock.Known = median(offsets), true
	if len(u.Unassigned) > 0 {
		out.WakeAt(now)
	}
}

// knownHosts returns the number of hosts whose address is known.
func knownHosts(r *table.Rollout) int {
	n := 0
	for _, p := range r.Peers.All() {
		if p.Address != "" {
			n++
		}
	}
	return n
}

// median sorts values and returns their median, the mean of the middle two if their number is
// even.
func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// mergeReport merges the counts of a report. It takes none while a window of the report is
// being stored or the clock is not corrected; the host then repeats the report.
func mergeReport(u *table.Usage, e event.UsageReported) usage.Answer {
	c := &u.Collection
	if !u.Clock.Known {
		return usage.Answer{}
	}
	fixed := fixedThrough(c)
	for _, w := range e.Report.Windows {
		if beingFixed(c, w.Window) {
			return usage.Answer{}
		}
	}
	for _, w := range e.Report.Windows {
		if w.Window > fixed {
			mergeCount(c, table.HostCount{Host: e.Report.Host, BootID: e.Report.BootID, ReportedAt: e.Report.Clock, Window: w.Window, Counts: w.Counts})
		}
	}
	offset := e.Report.Clock - (u.Clock.Base + e.ReceivedAt)
	return usage.Answer{Holder: true, FixedThrough: fixed, Correction: u.Clock.Correction - offset}
}

// mergeCount replaces the counts of a process in a window unless newer ones are known.
func mergeCount(c *table.UsageCollection, h table.HostCount) {
	row, _ := c.HostCounts.Upsert(table.HostCountKey(h.Host, h.BootID, h.Window))
	if h.ReportedAt >= row.ReportedAt {
		*row = h
	}
}

// mergeOwn merges the counts of this host.
func mergeOwn(t *table.Tables) {
	u, self := &t.Duties.Usage, t.Rollout.Self
	for _, w := range u.Counted.All() {
		if w.Reported == w.Revision || beingFixed(&u.Collection, w.Number) {
			continue
		}
		mergeCount(&u.Collection, table.HostCount{Host: self.Host, BootID: self.BootID, Window: w.Number, Counts: maps.Clone(w.Counts), Stored: true})
		u.Collection.Own.Changed = true
		w.Reported, w.DeliveredTotal = w.Revision, w.Total
	}
}

// fixedThrough returns the number of the last window whose counts are no longer changed, 0 if it
// is not known.
func fixedThrough(c *table.UsageCollection) int64 { return max(0, c.NextWindow-1) }

// beingFixed reports whether a write of the counts of a window is under way.
func beingFixed(c *table.UsageCollection, window int64) bool {
	w := c.Windows.Find(table.WindowKey(window))
	return w != nil && w.Stage == table.WindowFixing && w.Pending
}

// applyRead records the stored windows.
func applyRead(now time.Duration, u *table.Usage, e event.UsageRead, out *command.Outbox) {
	c := &u.Collection
	if e.Fence != c.Fence {
		return
	}
	c.Reading = false
	if e.Failure != nil {
		c.Failures++
		c.NextRead = now + backoff(minRetry, maxReadRetry, c.Failures)
		count(out, "usage_store_failed", "reason", string(e.Failure.Reason), 1)
		return
	}
	c.Read = true
	if e.Unreadable > 0 {
		out.Add(command.LogChange{Message: "stored usage windows cannot be decoded", Fields: []command.Field{field("rows", number(int64(e.Unreadable)))}})
	}
	for _, w := range e.Windows {
		row, _ := c.Windows.Upsert(table.WindowKey(w.Number))
		*row = storedWindow(w)
		c.NextWindow = max(c.NextWindow, w.Number+1)
	}
	mergeStored(c, e.Stored)
}

// storedWindow returns the row of a window that is stored.
func storedWindow(w usage.Window) table.FixedWindow {
	row := table.FixedWindow{Number: w.Number, Stage: table.WindowFixed, Counts: w.Counts, RowVersion: w.Version}
	if w.Sent {
		row.Stage = table.WindowMarked
	}
	return row
}
