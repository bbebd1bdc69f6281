package lot_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestEndSparesLotOfAnotherOrganisation guards against a caller that ends, by the head of a
// lot that was deleted, the lot that another organisation has created under its id.
func TestEndSparesLotOfAnotherOrganisation(t *testing.T) {
	repo := &lot.Repository{Store: pamoja.NewStore()}
	ctx := context.Background()
	s := submission(1)
	create := func(organisation string) lot.StoredHead {
		h := headOf(s, organisation)
		h.Organisation = organisation
		stored, _, err := repo.Create(ctx, s, h)
		require.NoError(t, err)
		return stored
	}
	old := create("acme")
	require.NoError(t, repo.Delete(ctx, old))
	create("beta")
	_, err := repo.End(ctx, lotID, old, "e1")
	require.Equal(t, verdict.ReasonUnknownLot, verdict.ReasonOf(err))
	current, err := repo.Head(ctx, lotID)
	require.NoError(t, err)
	require.False(t, current.Head.Ended)
}
