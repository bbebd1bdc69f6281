package memory_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lavenderstand/lavenderstand/memory"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const kib = 1 << 10

// TestHolderLeavesRoomForOthers guards against one server whose answers use the memory of all.
func TestHolderLeavesRoomForOthers(t *testing.T) {
	b := memory.NewBudget(4000 * kib)
	var faulty, sound memory.Holder
	s := b.Scope()
	defer s.Close()
	require.NoError(t, s.Open(&faulty).Resize(1000*kib))
	require.Equal(t, verdict.ReasonAnswerTooLarge, verdict.ReasonOf(s.Open(&faulty).Resize(200*kib)))
	require.NoError(t, s.Open(&faulty).Resize(64*kib), "small answers need no reservation")
	require.NoError(t, s.Open(&sound).Resize(1000*kib))
}

// TestBudgetIsExhausted guards against requests that together hold more than the budget, and
// against a refusal that changes what is held.
func TestBudgetIsExhausted(t *testing.T) {
	b := memory.NewBudget(1000 * kib)
	s := b.Scope()
	require.NoError(t, s.Open(nil).Resize(1000*kib))
	a := s.Open(nil)
	held := b.Held()
	require.Equal(t, verdict.ReasonMemory, verdict.ReasonOf(a.Resize(200*kib)))
	require.Equal(t, held, b.Held())
	s.Close()
	require.Zero(t, b.Held())
	require.Equal(t, verdict.ReasonCanceled, verdict.ReasonOf(a.Resize(1)), "an attempt that outlives its request holds nothing")
	require.Error(t, s.Open(nil).Resize(1))
}

// TestSmallAccountsShareMemory guards against many small accounts that together hold more
// than the budget leaves room for.
func TestSmallAccountsShareMemory(t *testing.T) {
	b := memory.NewBudget(1024 * kib)
	s := b.Scope()
	accepted := 0
	for s.Open(nil).Resize(64*kib) == nil {
		accepted++
		require.LessOrEqual(t, accepted, 20, "a quarter of the budget without and all of it with a reservation")
	}
	require.Equal(t, 20, accepted)
	a := b.Scope().Open(nil)
	require.Error(t, a.Resize(64*kib))
	s.Close()
	require.Zero(t, b.Held())
	require.NoError(t, a.Resize(64*kib))
	require.Zero(t, b.Held(), "small accounts need no reservation again")
}

// TestReservationsAreReturned guards against bytes that stay reserved after their request
// has ended, until no request is served any more.
func TestReservationsAreReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(1, 2000).Draw(t, "total") * kib
		b := memory.NewBudget(total)
		holders := make([]memory.Holder, 2)
		var scopes []*memory.Scope
		for range rapid.IntRange(1, 5).Draw(t, "requests") {
			s := b.Scope()
			scopes = append(scopes, s)
			for range rapid.IntRange(1, 4).Draw(t, "accounts") {
				a := s.Open(&holders[rapid.IntRange(0, 1).Draw(t, "holder")])
				for range rapid.IntRange(0, 4).Draw(t, "resizes") {
					_ = a.Resize(rapid.Int64Range(0, 600*kib).Draw(t, "size"))
					require.LessOrEqual(t, b.Held(), total)
				}
				if rapid.Bool().Draw(t, "closed") {
					a.Close()
					a.Close()
				}
			}
		}
		for _, s := range scopes {
			s.Close()
		}
		require.Zero(t, b.Held())
		s := b.Scope()
		require.NoError(t, s.Open(&holders[0]).Resize(64*kib+total/4), "the share of a holder is returned as well")
	})
}

// TestUnlimited guards against a program without a budget that cannot serve.
func TestUnlimited(t *testing.T) {
	var b *memory.Budget
	s := b.Scope()
	a := s.Open(nil)
	require.NoError(t, a.Resize(1<<40))
	a.Close()
	s.Close()
}
