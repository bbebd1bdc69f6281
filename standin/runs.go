package standin

import (
	"errors"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// Run is what an engine really did for one accepted completion.
type Run struct {
	RequestID string
	Prompt    string // PromptID
	Start     int    // first token, after the prefix of a resume
	Ranges    []ledger.Range
	Completed bool
}

// Runs collects the runs in engine ledgers by prompt.
func Runs(entries []JournalEntry) map[string][]*Run {
	byID := make(map[string]*Run)
	byPrompt := make(map[string][]*Run)
	for _, e := range entries {
		run := byID[e.Run]
		switch {
		case e.Kind == EntryStart:
			run = &Run{RequestID: e.RequestID, Prompt: e.Prompt, Start: e.From}
			byID[e.Run] = run
			byPrompt[e.Prompt] = append(byPrompt[e.Prompt], run)
		case run == nil:
		case e.Kind == EntryTokens:
			run.Ranges = append(run.Ranges, ledger.Range{From: e.From, To: e.To, Version: e.Version})
		case e.Kind == EntryEnd:
			run.Completed = e.Completed
		}
	}
	return byPrompt
}

// ErrMislabelled says that no sequence of runs explains a label.
var ErrMislabelled = errors.New("label does not match what the engines ran")

// CheckLabels verifies that one run, or a chain of runs each of which resumed
// where the one before was left, produced exactly the labelled tokens.
func CheckLabels(runs []*Run, ranges []ledger.Range, tokens int) error {
	if err := ledger.CheckRanges(ranges, tokens); err != nil {
		return err
	}
	labels := tokenVersions(ranges, 0, tokens)
	reachable := map[int]bool{0: true}
	// A run starts at or after the token at which its predecessor started, so
	// one pass in token order finds all chains.
	for at := range tokens + 1 {
		if !reachable[at] {
			continue
		}
		for _, run := range runs {
			if run.Start != at {
				continue
			}
			end := matchingEnd(run, labels)
			for next := at + 1; next <= end; next++ {
				reachable[next] = true
			}
			if run.Completed && end == tokens && lastToken(run) == tokens {
				return nil
			}
		}
	}
	return ErrMislabelled
}

func tokenVersions(ranges []ledger.Range, from, to int) []ledger.Version {
	versions := make([]ledger.Version, to-from)
	for _, r := range ranges {
		for i := r.From; i < r.To && i < to; i++ {
			versions[i-from] = r.Version
		}
	}
	return versions
}

// matchingEnd returns the end of the run's leading tokens that agree with labels.
func matchingEnd(run *Run, labels []ledger.Version) int {
	at := run.Start
	for _, r := range run.Ranges {
		for ; at < r.To; at++ {
			if at >= len(labels) || labels[at] != r.Version {
				return at
			}
		}
	}
	return at
}

func lastToken(run *Run) int {
	if len(run.Ranges) == 0 {
		return run.Start
	}
	return run.Ranges[len(run.Ranges)-1].To
}
