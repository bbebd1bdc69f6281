package event

import (
	"time"

	"github.com/lavenderstand/lavenderstand/usage"
)

// RequestBegan changes the count of an organisation by Delta requests that a server began to
// run at a time of this process. Delta is negative if the server refused the request after all.
type RequestBegan struct {
	Organisation string
	At           time.Duration
	Delta        int64
}

// UsageReported holds the counts that another host reports. ReceivedAt is the time at which
// the report arrived.
type UsageReported struct {
	RequestID  string
	ReceivedAt time.Duration
	Report     usage.Report
}

// UsageDelivered is the outcome of command.ReportUsage. RoundTrip is the time from sending the
// report to the answer.
type UsageDelivered struct {
	Boot      string        // boot id of the process that was to receive the report
	Revisions map[int64]int // by window, as in the command
	Totals    map[int64]int64
	Answer    usage.Answer
	SentAt    time.Duration
	RoundTrip time.Duration
	Failure   *Failure
}

// UsageRead holds the stored usage.
type UsageRead struct {
	Fence uint64 // as in the command
	usage.Stored
	Failure *Failure
}

// HolderCountsWritten is the outcome of command.WriteHolderCounts.
type HolderCountsWritten struct {
	Fence   uint64
	Version uint64 // of the row
	Failure *Failure
}

// Name implements Event.
func (HolderCountsWritten) Name() string { return "holder_counts_written" }

// UsageFixed is the outcome of command.FixUsage. Window is the window as stored.
type UsageFixed struct {
	Fence   uint64
	Number  int64
	Window  usage.Window
	Failure *Failure
}

// UsageSent is the outcome of command.SendUsage.
type UsageSent struct {
	Fence   uint64
	Number  int64
	Failure *Failure
}

// UsageMarked is the outcome of command.MarkUsage.
type UsageMarked struct {
	Fence   uint64
	Number  int64
	Failure *Failure
}

// UsageRemoved is the outcome of command.RemoveUsage.
type UsageRemoved struct {
	Fence   uint64
	Numbers []int64
	Failure *Failure
}

// Name implements Event.
func (UsageRemoved) Name() string { return "usage_removed" }

// Name implements Event.
func (RequestBegan) Name() string { return "request_began" }

// Name implements Event.
func (UsageReported) Name() string { return "usage_reported" }

// Name implements Event.
func (UsageDelivered) Name() string { return "usage_delivered" }

// Name implements Event.
func (UsageRead) Name() string { return "usage_read" }

// Name implements Event.
func (UsageFixed) Name() string { return "usage_fixed" }

// Name implements Event.
func (UsageSent) Name() string { return "usage_sent" }

// Name implements Event.
func (UsageMarked) Name() string { return "usage_marked" }
