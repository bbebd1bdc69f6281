package handler

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/claim"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/tablestore"
)

// TestSweepDeletesExpiredClaimsOnly guards against claim rows that are never
// deleted, and against the deletion of a claim that still protects its request
// from running twice.
func TestSweepDeletesExpiredClaimsOnly(t *testing.T) {
	tables := standin.NewMemoryTables(1)
	newOp := tablestore.OpIDs(rand.Uint64)
	for key, age := range map[string]time.Duration{"old": claim.Retention + time.Minute, "new": claim.Retention - time.Minute} {
		store := &claim.Store{
			Tables: tables, NewOpID: newOp, Now: func() time.Time { return time.Now().Add(-age) },
			Resolve: tablestore.ResolveOptions{Random: rand.Float64},
		}
		_, err := store.Claim(t.Context(), "app", "claims", key, "hash")
		require.NoError(t, err)
	}
	p := &PlatformDeps{Tables: tables, NewOpID: newOp, Random: rand.Float64}
	swept := p.sweepClaims(context.Background(), command.SweepClaims{})
	require.Equal(t, event.ClaimsSwept{Deleted: 1}, swept)
	_, found, err := tables.Get(t.Context(), claim.Key("app", "claims", "old"))
	require.NoError(t, err)
	require.False(t, found)
	_, found, err = tables.Get(t.Context(), claim.Key("app", "claims", "new"))
	require.NoError(t, err)
	require.True(t, found)
}
