package rollout

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/forward"
	"github.com/lavenderstand/lavenderstand/permit"
	"github.com/lavenderstand/lavenderstand/table"
)

const (
	// permitSavingTime is the time for which unused permits of a server are saved up.
	permitSavingTime = time.Second
	// initialPermits is the number of permits of a server of which this host has granted none
	// yet. It is small, because another host may have granted before.
	initialPermits = 1
	// backgroundShare is the share of a limit that requests in the background get while
	// callers use all of it.
	backgroundShare = 0.5
	// permitBucketTTL is the time after the last request for a permit after which the bucket of
	// a server is deleted.
	permitBucketTTL = 30 * time.Second
	// leavingPermitWait is the time for which a host that asks for a permit of a leaving server
	// does not ask again. It has been told by then.
	leavingPermitWait = time.Second
)

// Permits grants permits for requests to servers that name a request limit. Callers reserve
// future permits up to the longest wait that they state, so that they are served in the order
// in which they asked. Requests in the background get permits that are available now.
func Permits(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
	r := &t.Rollout
	for _, e := range in {
		if req, ok := e.(event.PermitRequested); ok {
			p := grantPermit(now, r, req.Request)
			out.Add(command.AnswerPermit{RequestID: req.RequestID, Permit: p})
			out.Add(command.Count{Counter: "permits_requested", Tags: map[string]string{"outcome": permitOutcome(p)}, Delta: 1})
		}
	}
	for server, b := range r.PermitBuckets.All() {
		if now-b.FilledAt > permitBucketTTL {
			r.PermitBuckets.Delete(server)
		}
	}
}

func permitOutcome(p forward.Permit) string {
	switch {
	case !p.Granted:
		return "refused"
	case p.Wait > 0:
		return "reserved"
	default:
		return "granted"
	}
}

// grantPermit takes a permit from the bucket of a server if it is available in time.
func grantPermit(now time.Duration, r *table.Rollout, req permit.Request) forward.Permit {
	if s := r.Servers.Find(req.Server); s != nil && s.Leaving {
		return forward.Permit{Wait: leavingPermitWait}
	}
	rate := req.Limit * req.Share
	b := filledBucket(now, r, req.Server, rate)
	if req.Background {
		if b.Available < 1 && b.Background < 1 {
			return forward.Permit{Wait: min(timeUntil(1-b.Available, rate), timeUntil(1-b.Background, backgroundShare*rate))}
		}
		b.Available--
		b.Background = max(0, b.Background-1)
		return forward.Permit{Granted: true}
	}
	wait := timeUntil(1-b.Available, rate)
	if wait > req.MaxWait {
		return forward.Permit{Wait: wait}
	}
	b.Available--
	return forward.Permit{Granted: true, Wait: wait}
}

// filledBucket returns the bucket of a server with the permits that have accrued at a rate
// per second.
func filledBucket(now time.Duration, r *table.Rollout, server string, rate float64) *table.PermitBucket {
	b, created := r.PermitBuckets.Upsert(server)
	if created {
		*b = table.PermitBucket{Available: initialPermits, FilledAt: now}
	}
	accrued := rate * (now - b.FilledAt).Seconds()
	b.Available = min(max(1, rate*permitSavingTime.Seconds()), b.Available+accrued)
	b.Background = min(1, b.Background+backgroundShare*accrued)
	b.FilledAt = now
	return b
}

// timeUntil returns the time in which permits accrue at a rate per second.
func timeUntil(permits, rate float64) time.Duration {
	return max(0, time.Duration(permits/rate*float64(time.Second)))
}
