package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/table"
)

// claimsPartition is the partition whose holder deletes expired claims.
const claimsPartition = 0

// ClaimExpiry has expired claims deleted once per period by the holder of one
// partition. Two holders at once do no harm: only expired rows are deleted.
func ClaimExpiry(period time.Duration) System {
	return func(now time.Duration, t *table.Tables, in []event.Event, out *command.Outbox) {
		b := &t.Background
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
