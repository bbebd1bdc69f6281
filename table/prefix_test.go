package table

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHintsAreBounded guards against hints whose memory grows without bound with the
// number of servers, and against a limit that evicts the newest hints.
func TestHintsAreBounded(t *testing.T) {
	require.Equal(t, MaxHints, HintLimit(64))
	require.Equal(t, MinHints, HintLimit(5100))
	require.Equal(t, MaxHints, HintLimit(0))
	var h PrefixHints
	for i := range 2 * MaxHints {
		h.Add(uint64(i), time.Duration(i))
	}
	require.Equal(t, MaxHints, h.Len())
	h.SetLimit(HintLimit(5100))
	require.Equal(t, MinHints, h.Len())
	for i := range 10 * MinHints {
		h.Add(uint64(2*MaxHints-1), time.Duration(2*MaxHints+i)) // seen again
	}
	require.LessOrEqual(t, len(h.order), 2*MinHints)
	h.Add(1, time.Hour)
	h.Build(time.Hour)
	require.Len(t, h.Set.Hashes, MinHints)
	require.True(t, h.Set.Has(1))
	require.True(t, h.Set.Has(2*MaxHints-1))
}
