// Package duty holds the systems for calls to the platform's API that one host at a time must
// make: the holder of the order lease. They count requests by usage window, collect the counts
// of all hosts, fix each window and report it, and they order servers.
package duty

import (
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
)

// Systems returns the systems in the order in which they run each tick, after those of package
// rollout, which maintain the order lease and the addresses of hosts.
func Systems() []system.Named {
	return []system.Named{
		{Name: "duty_settings", Run: Settings},
		{Name: "usage_counts", Run: Counts},
		{Name: "usage_delivery", Run: Delivery},
		{Name: "usage_collection", Run: Collection},
		{Name: "usage_windows", Run: Windows},
		{Name: "usage_reports", Run: Reports},
		{Name: "scaling_demand", Run: Demand},
		{Name: "scaling", Run: Scaling},
	}
}

// nameUsage is the name of the duty to report usage in tables, views and log lines.
const nameUsage = "usage"

// nameScaling is that of the duty to order servers.
const nameScaling = "scaling"

// Settings applies changed settings and records who performs the duties.
func Settings(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	d := &t.Duties
	for _, e := range in {
		if e, ok := e.(event.SettingsRead); ok {
			d.Settings = e.Duties
			if u := &d.Usage; u.Window != e.UsageWindow {
				// The numbers of windows change their meaning, so counts by window are void.
				*u = table.Usage{Clock: u.Clock}
			}
			d.Usage.Window, d.Usage.Due = e.UsageWindow, e.UsageDue
		}
	}
	holder := t.Rollout.OrderLease.Holder
	if holder == d.Holder {
		return
	}
	d.Holder, d.HolderSince = holder, now
	if d.Settings.Usage || d.Settings.Scaling {
		out.Add(command.LogChange{Message: "holder of the duties changed", Fields: []command.Field{field("holder", holder.Host), field("boot_id", holder.BootID)}})
	}
}

// reporting reports whether usage is to be reported in this deployment.
func reporting(d *table.Duties) bool {
	return d.Settings.Usage && d.Settings.Address != "" && d.Usage.Window > 0
}

// windowOf returns the number of the usage window of a time since 1970.
func windowOf(u *table.Usage, at time.Duration) int64 { return int64(at / u.Window) }

// endOf returns the end of a usage window as a time since 1970.
func endOf(u *table.Usage, window int64) time.Duration { return time.Duration(window+1) * u.Window }

// backoff returns the wait after a number of consecutive failures.
func backoff(first, most time.Duration, failures int) time.Duration {
	return min(most, first<<min(failures-1, 10))
}

func field(key, value string) command.Field { return command.Field{Key: key, Value: value} }

func number(n int64) string { return strconv.FormatInt(n, 10) }

// count adds to a counter by a tag.
func count(out *command.Outbox, counter, tag, value string, delta int64) {
	if delta != 0 {
		out.Add(command.Count{Counter: counter, Tags: map[string]string{tag: value}, Delta: delta})
	}
}
