package standin

import (
	"errors"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// Run is the work that an engine did for one accepted completion, according to its
// ledger.
type Run struct {
	RequestID string
	Prompt    string // PromptID
	Start     int    // index of the first token, which follows the prefix of a resumed completion
	Ranges    []ledger.Range
	Completed bool
}

// Runs collects the runs in the ledgers of engines by PromptID.
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

// ErrMislabelled indicates that no sequence of runs produces the labelled tokens.
var ErrMislabelled = errors.New("version label does not match the ledgers of the engines")

// CheckLabels verifies that exactly the labelled tokens were produced by one run,
// or by a chain of runs in which each run resumed its predecessor.
func CheckLabels(runs []*Run, ranges []ledger.Range, tokens int) error {
	if err := ledger.CheckRanges(ranges, tokens); err != nil {
		return err
	}
	labels := tokenVersions(ranges, 0, tokens)
	reachable := map[int]bool{0: true}
	// No run of a chain starts before its predecessor, so one pass in the order of
	// tokens finds all chains.
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

// tokenVersions returns the version of each token with an index in [from, to).
func tokenVersions(ranges []ledger.Range, from, to int) []ledger.Version {
	versions := make([]ledger.Version, to-from)
	for _, r := range ranges {
		for i := r.From; i < r.To && i < to; i++ {
			versions[i-from] = r.Version
		}
	}
	return versions
}

// matchingEnd returns the index after the last of the run's leading tokens whose
// versions agree with the labels.
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

// lastToken returns the index after the run's last token.
func lastToken(run *Run) int {
	if len(run.Ranges) == 0 {
		return run.Start
	}
	return run.Ranges[len(run.Ranges)-1].To
}
