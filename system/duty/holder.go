package duty

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/usage"
)

// writeHolder stores the counts that nobody would report to the next holder: those of this host
// and those that it found in the row. At most one write per deliveryInterval is made, so that
// the holder loses no more than another host when it is killed.
func writeHolder(now time.Duration, c *table.UsageCollection, lease *table.OrderLease, out *command.Outbox) {
	if !c.Read || !c.Own.Changed || c.Own.Writing || !lease.MayAct(now) {
		return
	}
	if now < c.Own.NextWrite {
		out.WakeAt(c.Own.NextWrite)
		return
	}
	counts := usage.HolderCounts{Fence: c.Fence}
	byProcess := make(map[string]int) // index in counts.Processes
	for _, h := range c.HostCounts.All() {
		if !h.Stored {
			continue
		}
		process := h.Host + "/" + h.BootID
		i, ok := byProcess[process]
		if !ok {
			i = len(counts.Processes)
			byProcess[process] = i
			counts.Processes = append(counts.Processes, usage.Report{Host: h.Host, BootID: h.BootID})
		}
		counts.Processes[i].Windows = append(counts.Processes[i].Windows, usage.Count{Window: h.Window, Counts: h.Counts})
	}
	c.Own.Changed = false
	if len(counts.Processes) == 0 {
		return
	}
	c.Own.Writing, c.Own.NextWrite = true, now+deliveryInterval
	out.Add(command.WriteHolderCounts{Version: c.Own.Version, Counts: counts})
}

// applyHolderWritten records the outcome of a write of the row. After a conflict another process
// writes it, because this one is about to lose the lease.
func applyHolderWritten(now time.Duration, c *table.UsageCollection, e event.HolderCountsWritten, out *command.Outbox) {
	if e.Fence != c.Fence {
		return
	}
	c.Own.Writing = false
	if e.Failure == nil {
		c.Own.Version = e.Version
		return
	}
	c.Own.Changed, c.Own.NextWrite = true, now+deliveryInterval
	count(out, "usage_store_failed", "reason", string(e.Failure.Reason), 1)
}

// mergeStored merges the counts that the holder before this process stored. A report of the
// same process replaces them.
func mergeStored(c *table.UsageCollection, s usage.Stored) {
	c.Own.Version = s.HolderVersion
	for _, p := range s.Holder.Processes {
		for _, w := range p.Windows {
			key := table.HostCountKey(p.Host, p.BootID, w.Window)
			if w.Window >= c.NextWindow && c.HostCounts.Find(key) == nil {
				mergeCount(c, table.HostCount{Host: p.Host, BootID: p.BootID, Window: w.Window, Counts: w.Counts, Stored: true})
			}
		}
	}
}
