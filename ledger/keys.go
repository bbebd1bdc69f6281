package ledger

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PartitionOf returns the partition of a unit of background work, a trainer or
// a model.
func PartitionOf(name string, partitions int) int {
	return int(xxhash.Sum64String(name) % uint64(partitions))
}

// TrainerKey returns the row key of a trainer.
func TrainerKey(trainer string) string { return "trainer/" + trainer }

// GroupKey returns the row key of a group.
func GroupKey(trainer, group string) string { return "group/" + trainer + "/" + group }

// SampleKey returns the row key of a sample. It names the attempt, so that a
// late write for an earlier attempt never takes the place of a newer sample.
func SampleKey(trainer, group string, attempt, index int) string {
	return "sample/" + trainer + "/" + group + "/" + strconv.Itoa(attempt) + "/" + strconv.Itoa(index)
}

// BatchKey returns the row key of a batch. Batch rows are write-once, one an attempt.
func BatchKey(trainer string, step int64, attempt int) string {
	return "lot/" + trainer + "/" + strconv.FormatInt(step, 10) + "/" + strconv.Itoa(attempt)
}
