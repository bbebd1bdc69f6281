package ledger

import (
	"errors"
	"fmt"
)

// ErrUnlabelled is wrapped by every error that CheckRanges returns.
var ErrUnlabelled = errors.New("sample has no complete version label")

// CheckRanges returns an error unless the ranges cover the tokens 0 (inclusive) to tokens
// (exclusive) without gaps and overlaps and each range has a version. A sample without
// tokens is an error.
func CheckRanges(ranges []Range, tokens int) error {
	next := 0
	for _, r := range ranges {
		if r.From != next || r.To <= r.From {
			return fmt.Errorf("%w: range %d-%d is empty or does not start at token %d", ErrUnlabelled, r.From, r.To, next)
		}
		if r.Version <= 0 {
			return fmt.Errorf("%w: range %d-%d has no weight version", ErrUnlabelled, r.From, r.To)
		}
		next = r.To
	}
	if next != tokens || tokens == 0 {
		return fmt.Errorf("%w: %d of %d tokens are labelled", ErrUnlabelled, next, tokens)
	}
	return nil
}

// AppendRange adds count tokens that one version generated. It extends the last range
// if that has the same version.
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

// Oldest returns the lowest version of the ranges, or 0 if there are no ranges.
func Oldest(ranges []Range) Version {
	var oldest Version
	for i, r := range ranges {
		if i == 0 || r.Version < oldest {
			oldest = r.Version
		}
	}
	return oldest
}

// Staleness returns the number of weight versions by which the oldest range is behind the
// version of the trainer. It is at least 0.
func Staleness(ranges []Range, trainer Version) int64 {
	return max(0, int64(trainer-Oldest(ranges)))
}

// Fresh reports whether the staleness of every sample of the batch is within the bound of
// its group for a trainer at the given version.
func (b *BatchRecord) Fresh(trainer Version) bool {
	for i := range b.Samples {
		if Staleness(b.Samples[i].Ranges, trainer) > b.Samples[i].StalenessBound {
			return false
		}
	}
	return true
}
