package ledger

import (
	"errors"
	"fmt"
)

// ErrUnlabelled is wrapped by every error of CheckRanges.
var ErrUnlabelled = errors.New("sample has no complete version label")

// CheckRanges verifies that the ranges cover tokens 0 to tokens without gap or
// overlap and that each names a version.
func CheckRanges(ranges []Range, tokens int) error {
	next := 0
	for _, r := range ranges {
		if r.From != next || r.To <= r.From {
			return fmt.Errorf("%w: range %d-%d follows token %d", ErrUnlabelled, r.From, r.To, next)
		}
		if r.Version <= 0 {
			return fmt.Errorf("%w: range %d-%d names no version", ErrUnlabelled, r.From, r.To)
		}
		next = r.To
	}
	if next != tokens || tokens == 0 {
		return fmt.Errorf("%w: %d of %d tokens are labelled", ErrUnlabelled, next, tokens)
	}
	return nil
}

// AppendRange adds tokens produced by one version and joins equal neighbours.
func AppendRange(ranges []Range, count int, v Version) []Range {
	if count <= 0 {
		return ranges
	}
	if n := len(ranges); n > 0 {
		last := &ranges[n-1]
		if last.Version == v {
			last.To += count
			return ranges
		}
		return append(ranges, Range{From: last.To, To: last.To + count, Version: v})
	}
	return append(ranges, Range{From: 0, To: count, Version: v})
}

// Oldest returns the lowest version of the ranges, 0 if there are none.
func Oldest(ranges []Range) Version {
	var oldest Version
	for i, r := range ranges {
		if i == 0 || r.Version < oldest {
			oldest = r.Version
		}
	}
	return oldest
}

// Staleness is the trainer's version minus the oldest version of the sample,
// not below 0.
func Staleness(ranges []Range, trainer Version) int64 {
	return max(0, int64(trainer-Oldest(ranges)))
}

// Fresh reports whether every sample of the batch is within the bound of its group
// for a trainer at the given version.
func (l *BatchRecord) Fresh(trainer Version) bool {
	for i := range l.Samples {
		if Staleness(l.Samples[i].Ranges, trainer) > l.Samples[i].StalenessBound {
			return false
		}
	}
	return true
}
