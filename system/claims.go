package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// claimsPartition is the number of the partition whose holder deletes expired
// claims.
const claimsPartition = 0

// ClaimExpiry requests the deletion of expired claims once per period if this
// process holds claimsPartition. Two processes that do so at the same time do
// no harm because only expired rows are deleted.
func ClaimExpiry(period time.Duration) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		b := &t.Controller
		for _, e := range in {
			if swept, ok := e.(event.ClaimsSwept); ok {
				b.SweepPending = false
				out.Add(command.Count{Counter: "claims_deleted", Delta: int64(swept.Deleted)})
			}
		}
		p := t.Partitions.Find(table.PartitionKey(claimsPartition))
		if p == nil || !p.Held || p.Releasing || b.SweepPending {
			return
		}
		if now < b.SweepNext {
			out.WakeAt(b.SweepNext)
			return
		}
		b.SweepPending, b.SweepNext = true, now+period
		out.Add(command.SweepClaims{})
	}
}
