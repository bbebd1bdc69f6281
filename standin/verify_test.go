package standin

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// cleanRun returns a run without faults. It has one sample, one completion, one
// claim and one lookup.
func cleanRun() (Received, []JournalEntry) {
	spec := ledger.GroupSpec{ID: "g", Model: "m", Prompt: "sample", Samples: 1, MaxTokens: 8, StalenessBound: 1, Scorer: "s"}
	text := CompletionText("sample", 8)
	count, _ := CompletionLength("live", 8)
	r := Received{
		Trainers: []TrainerLog{{Name: "t", Submitted: []ledger.GroupSpec{spec}, Batches: []Batch{{
			BatchID: "t/1/1", Step: 1, TrainerVersion: 3, Samples: []BatchSample{{
				Group: "g", Text: text, Score: ScoreOf(text), Ranges: []ledger.Range{{From: 0, To: 8, Version: 2}},
			}},
		}}}},
		Answers: []Answer{
			{
				Kind: KindCompletion, Status: 200, Prompt: "live", MaxTokens: 8, Text: CompletionText("live", 8),
				Ranges: []ledger.Range{{From: 0, To: count, Version: 1}},
			},
			{Kind: KindClaim, Key: "k", Status: 200, Method: "POST", Path: "/claims", Body: "b", Text: ServiceAnswer("POST", "/claims", []byte("b"))},
			{Kind: KindLookup, Status: 200, Method: "GET", Path: "/i", Text: ServiceAnswer("GET", "/i", nil)},
		},
	}
	return r, []JournalEntry{
		{Kind: EntryStart, Run: "a", Prompt: PromptID("sample")},
		{Kind: EntryTokens, Run: "a", From: 0, To: 8, Version: 2},
		{Kind: EntryEnd, Run: "a", Completed: true},
		{Kind: EntryStart, Run: "b", Prompt: PromptID("live")},
		{Kind: EntryTokens, Run: "b", From: 0, To: count, Version: 1},
		{Kind: EntryEnd, Run: "b", Completed: true},
		{Kind: EntryRun, Key: "k"},
	}
}

// TestVerifyDetectsInjectedFaults guards against a Verify that misses a kind of
// fault. Every run of the demo would then appear correct.
func TestVerifyDetectsInjectedFaults(t *testing.T) {
	r, entries := cleanRun()
	clean := Verify(r, entries)
	require.True(t, clean.Passed(), clean.Problems)
	require.Equal(t, 3, clean.Answered)
	require.Equal(t, 2, clean.WeightVersions)

	cases := map[string]struct {
		inject func(*Received, *[]JournalEntry)
		count  func(*VerifyResult) int
	}{
		"lost sample": {func(r *Received, _ *[]JournalEntry) { r.Trainers[0].Batches[0].Samples = nil }, func(v *VerifyResult) int { return v.Lost }},
		"lost claim":  {func(_ *Received, e *[]JournalEntry) { *e = (*e)[:6] }, func(v *VerifyResult) int { return v.Lost }},
		"lost answer": {func(r *Received, _ *[]JournalEntry) { r.Answers[2].Status = 0 }, func(v *VerifyResult) int { return v.Lost }},
		"duplicate sample": {func(r *Received, _ *[]JournalEntry) {
			r.Trainers[0].Batches = append(r.Trainers[0].Batches, r.Trainers[0].Batches[0])
		}, func(v *VerifyResult) int { return v.Duplicated }},
		"duplicate claim":  {func(_ *Received, e *[]JournalEntry) { *e = append(*e, JournalEntry{Kind: EntryRun, Key: "k"}) }, func(v *VerifyResult) int { return v.Duplicated }},
		"wrong text":       {func(r *Received, _ *[]JournalEntry) { r.Trainers[0].Batches[0].Samples[0].Text += "x" }, func(v *VerifyResult) int { return v.WrongAnswer }},
		"wrong score":      {func(r *Received, _ *[]JournalEntry) { r.Trainers[0].Batches[0].Samples[0].Score++ }, func(v *VerifyResult) int { return v.WrongAnswer }},
		"wrong completion": {func(r *Received, _ *[]JournalEntry) { r.Answers[0].Text = "" }, func(v *VerifyResult) int { return v.WrongAnswer }},
		"foreign answer":   {func(r *Received, _ *[]JournalEntry) { r.Answers[2].Path = "/j" }, func(v *VerifyResult) int { return v.WrongAnswer }},
		"unrequested sample": {func(r *Received, _ *[]JournalEntry) {
			s := &r.Trainers[0].Batches[0].Samples
			*s = append(*s, BatchSample{Group: "h"})
		}, func(v *VerifyResult) int { return v.WrongAnswer }},
		"mislabelled sample": {func(r *Received, _ *[]JournalEntry) { r.Trainers[0].Batches[0].Samples[0].Ranges[0].Version = 3 }, func(v *VerifyResult) int { return v.Mislabelled }},
		"unlabelled answer":  {func(r *Received, _ *[]JournalEntry) { r.Answers[0].Ranges = nil }, func(v *VerifyResult) int { return v.Mislabelled }},
		"swap not labelled": {func(_ *Received, e *[]JournalEntry) {
			(*e)[1].To = 4
			*e = append(*e, JournalEntry{Kind: EntryTokens, Run: "a", From: 4, To: 8, Version: 3})
		}, func(v *VerifyResult) int { return v.Mislabelled }},
		"unfinished run":   {func(_ *Received, e *[]JournalEntry) { (*e)[2].Completed = false }, func(v *VerifyResult) int { return v.Mislabelled }},
		"stale sample":     {func(r *Received, _ *[]JournalEntry) { r.Trainers[0].Batches[0].TrainerVersion = 4 }, func(v *VerifyResult) int { return v.TooStale }},
		"truncated answer": {func(r *Received, _ *[]JournalEntry) { r.Answers[0].Truncated = true }, func(v *VerifyResult) int { return v.CutOff }},
		"false refusal":    {func(r *Received, _ *[]JournalEntry) { r.Answers[1].Status = 503; r.Answers[1].AllNotRun = true }, func(v *VerifyResult) int { return v.FalseNotRun }},
	}
	for name, c := range cases {
		r, entries := cleanRun()
		c.inject(&r, &entries)
		got := Verify(r, entries)
		require.Equal(t, 1, c.count(got), name)
		require.False(t, got.Passed(), name)
	}
	require.False(t, Verify(Received{}, nil).Passed(), "nothing served")
}
