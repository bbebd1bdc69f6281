package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/table"
)

const weightsReadInterval = time.Second

// holdsAnyPartition reports whether this process holds a partition. Without one it
// runs no rollout and does not need the wanted versions.
func holdsAnyPartition(t *table.Tables) bool {
	for _, p := range t.Partitions.All() {
		if p.Held {
			return true
		}
	}
	return false
}

// deleteWeights removes the wanted versions of an earlier lease. Otherwise this
// process would order an old version after it acquires a lease again and before
// its first read.
func deleteWeights(t *table.Tables) {
	for model := range t.Weights.All() {
		t.Weights.Delete(model)
	}
}

func scheduleWeightsRead(now time.Duration, t *table.Tables, out *command.Outbox) {
	b := &t.Controller
	if !holdsAnyPartition(t) {
		deleteWeights(t)
		return
	}
	if b.WeightsPending {
		return // the answer wakes the loop
	}
	if now < b.WeightsNext {
		out.WakeAt(b.WeightsNext)
		return
	}
	b.WeightsPending, b.WeightsNext = true, now+weightsReadInterval
	out.Add(command.ReadWeights{})
}
