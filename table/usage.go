package table

import (
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/settings"
)

// Duties is the state of the calls that one host at a time makes to the platform's API.
type Duties struct {
	Settings settings.Duties
	Budget   CallBudget
	Last     Table[DutyCall] // last call of this process, keyed by the name of the duty
	// Holder is the holder of the order lease as last seen, and HolderSince when this process
	// saw it first.
	Holder      lot.Process
	HolderSince time.Duration
	Usage       Usage
	Scaling     Scaling
}

// DutyCall is the last call of a duty. Outcome is empty while the call is under way.
type DutyCall struct {
	Subject string // what the call was about
	At      time.Duration
	Outcome string // sent, or the reason of the failure
}

// CallBudget holds the calls that may be made to the platform's API now.
type CallBudget struct {
	Available float64
	FilledAt  time.Duration // 0 before the first call
}

const (
	// callBudgetShare is the part of the platform's call rate that the holder uses. The rest
	// covers calls of the previous holder that arrive late.
	callBudgetShare = 0.8
	// callBudgetBurst is the time whose calls may be made at once.
	callBudgetBurst = 200 * time.Millisecond
	// unknownCallRate is the assumed rate if the settings state none. The duties together
	// need a few calls per second.
	unknownCallRate = 10
)

// Take reports whether a call may be made now at a rate of perSecond calls, and counts it if
// so. Otherwise it returns the time at which to ask again.
func (b *CallBudget) Take(now time.Duration, perSecond float64) (ok bool, next time.Duration) {
	if perSecond <= 0 {
		perSecond = unknownCallRate
	}
	rate := perSecond * callBudgetShare
	most := max(1, rate*callBudgetBurst.Seconds())
	if b.FilledAt == 0 {
		b.Available = most
	}
	b.Available = min(most, b.Available+rate*(now-b.FilledAt).Seconds())
	b.FilledAt = now
	if b.Available < 1 {
		return false, now + time.Duration((1-b.Available)/rate*float64(time.Second))
	}
	b.Available--
	return true, 0
}

// Usage holds the counts of requests by usage window.
type Usage struct {
	Window time.Duration // length of a usage window, 0 if usage is not reported
	Due    time.Duration // time after the end of a window by which its report is due
	Clock  UsageClock
	// Unassigned holds requests whose window is not known before the clock is corrected.
	Unassigned []event.RequestBegan
	Counted    Table[CountedWindow] // requests of this host, keyed by WindowKey
	Delivery   UsageDelivery
	Collection UsageCollection
}

// UsageClock converts times of this process to true time. Base and Correction never follow
// the time of day of the host, which may jump.
type UsageClock struct {
	Base       time.Duration // time of day of the host since 1970 at time 0 of this process
	Correction time.Duration // median of the offsets of the hosts, to be added
	Known      bool          // Correction is known
}

// Time returns the true time since 1970 at time at of this process.
func (c *UsageClock) Time(at time.Duration) time.Duration { return c.Base + at + c.Correction }

// WindowKey returns the key of a usage window in tables.
func WindowKey(number int64) string { return strconv.FormatInt(number, 10) }

// CountedWindow holds the requests of this host in a usage window.
type CountedWindow struct {
	Number   int64
	Counts   map[string]int64 // by organisation
	Total    int64
	Revision int // number of changes of Counts
	Reported int // revision that the present holder has
	// DeliveredTotal is the largest total that a holder took before it fixed the window.
	DeliveredTotal int64
}

// UsageDelivery is the state of the reports of this host to the holder.
type UsageDelivery struct {
	Flush        string      // id of the request to report all counts at once, empty if there is none
	Receiver     lot.Process // holder to which Reported of the counted windows applies
	Pending      bool        // a report is under way
	NextReport   time.Duration
	Failures     int   // consecutive failures
	FixedThrough int64 // counts of this and earlier windows are no longer changed
}

// UsageCollection is the state of the collection of counts while this process holds the order
// lease.
type UsageCollection struct {
	Fence uint64 // of the lease under which it began, 0 if this process does not collect
	Since time.Duration
	// SettledFrom is the time from which the counts of all hosts are expected to have arrived:
	// some time after the lease was acquired, or after this process was stopped for a while.
	SettledFrom time.Duration
	LastTick    time.Duration
	Read        bool // the stored windows have been read
	Reading     bool
	NextRead    time.Duration
	Failures    int           // consecutive failures of the read
	Removing    bool          // a removal of old rows is under way
	NextRemoval time.Duration // earliest time of the next removal
	SendFailed  bool          // the last report was not accepted
	Own         HolderRow
	NextWindow  int64              // number of the next window to fix, 0 if it is not known
	HostCounts  Table[HostCount]   // keyed by HostCountKey
	HostClocks  Table[HostClock]   // keyed by host name
	Windows     Table[FixedWindow] // keyed by WindowKey
}

// HostCountKey returns the key of the counts of a process in a window.
func HostCountKey(host, boot string, window int64) string {
	return host + "/" + boot + "/" + WindowKey(window)
}

// HostCount holds the counts that a process reported for a window. They are cumulative.
type HostCount struct {
	Host       string
	BootID     string
	Window     int64
	Stored     bool             // of the holder itself or found in its row; no other process reports them
	ReportedAt time.Duration    // by the clock of the process, to tell a late report from a newer one
	Counts     map[string]int64 // by organisation
}

// HolderRow is the state of the row in which the holder stores counts that are not fixed.
type HolderRow struct {
	Version   uint64
	Changed   bool          // the counts differ from the row
	Writing   bool          // a write of the row is under way
	NextWrite time.Duration // earliest time of the next write
}

// HostClock is the offset of the clock of a process from that of this process. A report that
// was under way for some time shows an offset that is too small by that time, so the largest
// offset of some time counts.
type HostClock struct {
	BootID  string
	Offset  time.Duration // largest since Since
	Earlier time.Duration // largest of the time before, equal to Offset if there is none
	Since   time.Duration // when Offset began to be measured
	SeenAt  time.Duration // last report
}

// WindowStage is the progress of the report of a usage window.
type WindowStage string

// Stages of a usage window.
const (
	WindowFixing  WindowStage = "fixing"  // its counts are to be stored
	WindowFixed   WindowStage = "fixed"   // its counts are stored and are to be sent
	WindowSent    WindowStage = "sent"    // the platform has taken the report; the row is to be marked
	WindowMarked  WindowStage = "marked"  // the row says that it was sent
	WindowGivenUp WindowStage = "givenup" // it is not reported
)

// FixedWindow is a usage window that the holder fixes and sends.
type FixedWindow struct {
	Number     int64
	Stage      WindowStage
	Counts     map[string]int64 // as stored, from stage WindowFixed
	RowVersion uint64           // of the stored row, 0 if there is none
	Pending    bool             // a write or a call is under way
	Next       time.Duration    // earliest time of the next write or call
	Failures   int              // consecutive failures in this stage
}
