package executor

import (
	"context"
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/usage"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// deliveryTimeout bounds the report of a host to the holder of the order lease.
	deliveryTimeout = 700 * time.Millisecond
	// dutyTimeout bounds a call to the platform's API.
	dutyTimeout = 700 * time.Millisecond
	// maxDutyInFlight is the time after the end of the lease at which a call that was begun
	// before is given up. The next holder waits as long before its first call.
	maxDutyInFlight = 300 * time.Millisecond
)

// UsageReports executes command.ReportUsage.
type UsageReports struct {
	Dial func(address string) usage.Receiver
	Now  func() time.Duration // clock of command.ReportUsage.ClockBase
}

// Send reports the counts of this host to the holder of the order lease.
func (r *UsageReports) Send(ctx context.Context, c command.ReportUsage) event.Event {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	e := event.UsageDelivered{Boot: c.Boot, Revisions: c.Revisions, Totals: c.Totals, SentAt: r.Now()}
	c.Report.Clock = c.ClockBase + e.SentAt
	answer, err := r.Dial(c.Address).Report(ctx, c.Report)
	e.Answer, e.Failure, e.RoundTrip = answer, event.FailureOf(err), r.Now()-e.SentAt
	return e
}

// UsagePlatform is the client interface to the platform's API that Usage needs.
type UsagePlatform interface {
	ReportUsage(ctx context.Context, fence uint64, window int64, counts map[string]int64) error
}

// Usage executes the commands of the host that reports usage to the platform.
type Usage struct {
	Store    store.Client
	Platform func() UsagePlatform // as the present settings state
	Now      func() time.Duration // clock of ValidUntil of the commands
}

// checkLease returns an error if the order lease is no longer valid.
func (u *Usage) checkLease(validUntil time.Duration) error {
	if u.Now() >= validUntil {
		return verdict.New(verdict.NotRun, verdict.ReasonNotHolder, "the order lease expired before the call was sent")
	}
	return nil
}

// Fix executes command.FixUsage.
func (u *Usage) Fix(ctx context.Context, c command.FixUsage) event.Event {
	e := event.UsageFixed{Fence: c.Fence, Number: c.Number}
	err := u.checkLease(c.ValidUntil)
	if err == nil {
		e.Window, err = usage.Fix(ctx, u.Store, c.Number, c.Counts)
	}
	e.Failure = event.FailureOf(err)
	return e
}

// Send executes command.SendUsage.
func (u *Usage) Send(ctx context.Context, c command.SendUsage) event.Event {
	err := u.checkLease(c.ValidUntil)
	if err == nil {
		limit := min(dutyTimeout, c.ValidUntil+maxDutyInFlight-u.Now())
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		err = u.Platform().ReportUsage(callCtx, c.Fence, c.Number, c.Counts)
	}
	return event.UsageSent{Fence: c.Fence, Number: c.Number, Failure: event.FailureOf(err)}
}

// Mark executes command.MarkUsage.
func (u *Usage) Mark(ctx context.Context, c command.MarkUsage) event.Event {
	err := usage.MarkSent(ctx, u.Store, c.Window)
	return event.UsageMarked{Fence: c.Fence, Number: c.Window.Number, Failure: event.FailureOf(err)}
}

// Read executes command.ReadUsage.
func (u *Usage) Read(ctx context.Context, c command.ReadUsage) event.Event {
	stored, err := usage.Read(ctx, u.Store)
	return event.UsageRead{Fence: c.Fence, Stored: stored, Failure: event.FailureOf(err)}
}

// WriteHolder executes command.WriteHolderCounts.
func (u *Usage) WriteHolder(ctx context.Context, c command.WriteHolderCounts) event.Event {
	version, err := usage.WriteHolder(ctx, u.Store, c.Version, c.Counts)
	return event.HolderCountsWritten{Fence: c.Counts.Fence, Version: version, Failure: event.FailureOf(err)}
}

// Remove executes command.RemoveUsage.
func (u *Usage) Remove(ctx context.Context, c command.RemoveUsage) event.Event {
	err := usage.Remove(ctx, u.Store, c.Numbers)
	return event.UsageRemoved{Fence: c.Fence, Numbers: c.Numbers, Failure: event.FailureOf(err)}
}
