package command

import (
	"time"

	"github.com/lavenderstand/lavenderstand/usage"
)

// ReportUsage reports the counts of this host to the holder of the order lease. The executor
// sets the time of the report.
type ReportUsage struct {
	Address   string // of the holder
	Boot      string // boot id of the process of the holder
	Report    usage.Report
	ClockBase time.Duration // time since 1970 at time 0 of this process
	Revisions map[int64]int // by window, returned in the event
	Totals    map[int64]int64
}

// AnswerUsageReport answers event.UsageReported.
type AnswerUsageReport struct {
	RequestID string
	Answer    usage.Answer
}

// ReadUsage reads the stored usage. Fence is returned in the event.
type ReadUsage struct{ Fence uint64 }

// WriteHolderCounts stores the counts of the host that collects counts. Version is the expected
// version of the row.
type WriteHolderCounts struct {
	Version uint64
	Counts  usage.HolderCounts
}

// Name implements Command.
func (WriteHolderCounts) Name() string { return "write_holder_counts" }

// FixUsage stores the counts of a usage window unless they are stored. The executor drops it
// if ValidUntil, a monotonic offset, has passed just before it is sent.
type FixUsage struct {
	Fence      uint64
	Number     int64
	Counts     map[string]int64
	ValidUntil time.Duration
}

// SendUsage reports a usage window to the platform. The executor drops it if ValidUntil has
// passed just before it is sent.
type SendUsage struct {
	Fence      uint64
	Number     int64
	Counts     map[string]int64
	ValidUntil time.Duration
}

// MarkUsage marks a stored usage window as sent.
type MarkUsage struct {
	Fence  uint64
	Window usage.Window
}

// RemoveUsage removes old usage windows.
type RemoveUsage struct {
	Fence   uint64
	Numbers []int64
}

// Name implements Command.
func (ReportUsage) Name() string { return "report_usage" }

// Name implements Command.
func (AnswerUsageReport) Name() string { return "answer_usage_report" }

// Name implements Command.
func (ReadUsage) Name() string { return "read_usage" }

// Name implements Command.
func (FixUsage) Name() string { return "fix_usage" }

// Name implements Command.
func (SendUsage) Name() string { return "send_usage" }

// Name implements Command.
func (MarkUsage) Name() string { return "mark_usage" }

// Name implements Command.
func (RemoveUsage) Name() string { return "remove_usage" }
