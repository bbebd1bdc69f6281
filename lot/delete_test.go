package lot_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestDeletedLotLeavesNothing guards against rows and objects of deleted lots that remain
// and fill the store, and against the deletion of a lot that has changed in the meantime.
func TestDeletedLotLeavesNothing(t *testing.T) {
	rows := pamoja.NewStore()
	repo := &lot.Repository{Store: rows}
	ctx := context.Background()
	for _, size := range []int{1, 400_000} {
		s := submission(200)
		s.Items[0].Body = []byte(strings.Repeat("x", size))
		stored, _, err := repo.Create(ctx, s, headOf(s, "w1"))
		require.NoError(t, err)
		h := stored.Head
		h.WriteID, h.Listed = "r1", 50
		results := make([]lot.Result, 50)
		for i := range results {
			results[i].Text = strings.Repeat("t", 5000)
		}
		listed, _, err := repo.Append(ctx, h, stored.Version, results, []lot.Progress{{Item: "i60", Events: []string{"e"}}})
		require.NoError(t, err)
		require.Error(t, repo.Delete(ctx, stored), "the head has changed")
		require.NoError(t, repo.Delete(ctx, listed))
		require.Zero(t, rows.Len(), "rows and objects that remain")
		_, err = repo.Head(ctx, lotID)
		require.Equal(t, verdict.ReasonUnknownLot, verdict.ReasonOf(err))
	}
}

// TestDeletionIncludesLateHeads guards against a head that a late creation left in another
// candidate partition and that remained when the lot was deleted: hosts that started later
// took it for an open lot and ran all items of the ended lot again.
func TestDeletionIncludesLateHeads(t *testing.T) {
	for lateWrites := 1; lateWrites < 6; lateWrites++ {
		rows, repo, ended := endedLotWithLateHeads(t, lateWrites)
		require.NoError(t, repo.Delete(context.Background(), ended))
		require.Zero(t, rows.Len(), "%d late writes: rows that remain", lateWrites)
	}
}

// TestInterruptedDeletionKeepsAuthoritativeHead guards against the deletion of a lot's
// authoritative head while another head remains in a partition that is unavailable.
func TestInterruptedDeletionKeepsAuthoritativeHead(t *testing.T) {
	ctx := context.Background()
	for candidate := range 3 {
		rows, repo, ended := endedLotWithLateHeads(t, 3)
		unavailable := lot.HeadKey(lotID, candidate).Part
		for _, outcome := range []pamoja.Outcome{pamoja.RequestLost, pamoja.AnswerLost} {
			rows.SetFault(func(c pamoja.Call) pamoja.Outcome {
				if slices.Contains(c.Parts, unavailable) {
					return outcome
				}
				return pamoja.Served
			})
			require.Error(t, repo.Delete(ctx, ended))
			rows.SetFault(nil)
			if found, err := repo.Head(ctx, lotID); err == nil {
				require.Equal(t, ended, found, "candidate %d unavailable", candidate)
			}
		}
		require.NoError(t, repo.Delete(ctx, ended), "repeated")
		require.Zero(t, rows.Len(), "rows that remain")
	}
}

// TestSupersededHeadIsNotDeletedAsLot guards against a host that knows only a head that was
// created later, and deletes the lot with it.
func TestSupersededHeadIsNotDeletedAsLot(t *testing.T) {
	_, repo, ended := endedLotWithLateHeads(t, 2)
	ctx := context.Background()
	superseded, err := repo.HeadAt(ctx, lotID, 0)
	require.NoError(t, err)
	require.Equal(t, 1, ended.Head.CandidateIndex)
	require.Equal(t, verdict.ReasonConflict, verdict.ReasonOf(repo.Delete(ctx, superseded)))
	found, err := repo.Head(ctx, lotID)
	require.NoError(t, err)
	require.Equal(t, ended, found)
}

// endedLotWithLateHeads creates and ends a lot whose first lateWrites attempts of creation
// are applied after a later attempt succeeded.
func endedLotWithLateHeads(t *testing.T, lateWrites int) (*pamoja.Store, *lot.Repository, lot.StoredHead) {
	t.Helper()
	rows := pamoja.NewStore()
	repo := &lot.Repository{Store: rows, RetryInterval: time.Microsecond}
	rows.SetFault(func(c pamoja.Call) pamoja.Outcome {
		if c.Write && lateWrites > 0 {
			lateWrites--
			return pamoja.AppliedLate
		}
		return pamoja.Served
	})
	s := submission(3)
	created, existing, err := repo.Create(context.Background(), s, headOf(s, "w1"))
	require.NoError(t, err)
	require.Nil(t, existing)
	ended, err := repo.End(context.Background(), lotID, created, "e1")
	require.NoError(t, err)
	rows.ApplyLate()
	return rows, repo, ended
}
