package ledger

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PartitionOf returns the partition, 0 to partitions-1, of a trainer or model. All
// background work for the trainer or model belongs to that partition.
func PartitionOf(name string, partitions int) int {
	return int(xxhash.Sum64String(name) % uint64(partitions))
}

// TrainerKey returns the row key of a trainer.
func TrainerKey(trainer string) string { return "trainer/" + trainer }

// GroupKey returns the row key of a group.
func GroupKey(trainer, group string) string { return "group/" + trainer + "/" + group }

// SampleKey returns the row key of a sample. It contains the attempt, so that a late
// write for an earlier attempt never replaces a sample of a newer attempt.
func SampleKey(trainer, group string, attempt, index int) string {
	return "sample/" + trainer + "/" + group + "/" + strconv.Itoa(attempt) + "/" + strconv.Itoa(index)
}

// BatchKey returns the row key of a batch. Each attempt has its own row, which is written
// only once.
func BatchKey(trainer string, step int64, attempt int) string {
	return "lot/" + trainer + "/" + strconv.FormatInt(step, 10) + "/" + strconv.Itoa(attempt)
}
