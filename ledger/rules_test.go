package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestCheckRanges guards against accepting ranges that leave tokens without a version
// label.
func TestCheckRanges(t *testing.T) {
	for name, c := range map[string]struct {
		ranges []Range
		tokens int
		ok     bool
	}{
		"one version":    {[]Range{{0, 10, 3}}, 10, true},
		"swap":           {[]Range{{0, 4, 3}, {4, 10, 4}}, 10, true},
		"swap back":      {[]Range{{0, 4, 4}, {4, 10, 3}}, 10, true},
		"gap":            {[]Range{{0, 4, 3}, {5, 10, 4}}, 10, false},
		"overlap":        {[]Range{{0, 4, 3}, {3, 10, 4}}, 10, false},
		"short":          {[]Range{{0, 9, 3}}, 10, false},
		"long":           {[]Range{{0, 11, 3}}, 10, false},
		"no version":     {[]Range{{0, 10, 0}}, 10, false},
		"late start":     {[]Range{{1, 10, 3}}, 10, false},
		"empty range":    {[]Range{{0, 0, 3}, {0, 10, 3}}, 10, false},
		"no tokens":      {nil, 0, false},
		"negative range": {[]Range{{0, 12, 3}, {12, 10, 3}}, 10, false},
	} {
		err := CheckRanges(c.ranges, c.tokens)
		if c.ok {
			require.NoError(t, err, name)
			continue
		}
		require.ErrorIs(t, err, ErrUnlabelled, name)
	}
}

// TestAppendRangeCoversAllTokens guards against ranges that, built chunk by chunk, do not
// cover all appended tokens.
func TestAppendRangeCoversAllTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ranges []Range
		total := 0
		for range rapid.IntRange(1, 30).Draw(t, "chunks") {
			count := rapid.IntRange(1, 9).Draw(t, "count")
			version := Version(rapid.Int64Range(1, 3).Draw(t, "version"))
			ranges = AppendRange(ranges, count, version)
			total += count
		}
		require.NoError(t, CheckRanges(ranges, total))
		for i := 1; i < len(ranges); i++ {
			require.NotEqual(t, ranges[i-1].Version, ranges[i].Version)
		}
	})
}

// TestFreshUsesOldestRangeAndOwnBound guards against a batch that counts as fresh because
// of its newest range only, and against checking a sample with the looser bound of
// another group.
func TestFreshUsesOldestRangeAndOwnBound(t *testing.T) {
	batch := BatchRecord{Samples: []BatchSample{
		{SampleRecord: SampleRecord{Ranges: []Range{{0, 5, 7}, {5, 9, 9}}}, StalenessBound: 2},
		{SampleRecord: SampleRecord{Ranges: []Range{{0, 9, 9}}}, StalenessBound: 1},
	}}
	require.True(t, batch.Fresh(9))
	require.False(t, batch.Fresh(10), "sample 0 is 3 versions behind, its bound is 2")
	batch.Samples[0].StalenessBound = 5
	require.True(t, batch.Fresh(10))
	require.False(t, batch.Fresh(11), "sample 1 is 2 versions behind, its bound is 1")
	require.Equal(t, int64(0), Staleness(batch.Samples[1].Ranges, 3))
}
