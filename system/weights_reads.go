package system

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/table"
)

const weightsReadInterval = time.Second

// holdsAnyPartition reports whether this process holds a partition. Without one it leads
// no rollout and needs no wanted versions.
func holdsAnyPartition(t *table.Tables) bool {
	for _, p := range t.Partitions.All() {
		if p.Held {
			return true
		}
	}
	return false
}

// deleteWeights drops what was wanted during an earlier holding: acted upon at
// the next one, it would order an old version before the first read.
func deleteWeights(t *table.Tables) {
	for model := range t.Weights.All() {
		t.Weights.Delete(model)
	}
}

func scheduleWeightsRead(now time.Duration, t *table.Tables, out *command.Outbox) {
	b := &t.Background
	if !holdsAnyPartition(t) {
		deleteWeights(t)
		return
	}
	if b.WeightsPending {
		return // its answer wakes the loop
	}
	if now < b.WeightsNext {
		out.WakeAt(b.WeightsNext)
		return
	}
	b.WeightsPending, b.WeightsNext = true, now+weightsReadInterval
	out.Add(command.ReadWeights{})
}
