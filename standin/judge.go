package standin

import (
	"fmt"
	"math"

	"github.com/lavenderstand/lavenderstand/ledger"
)

const (
	maxProblems    = 20
	scoreTolerance = 1e-9
)

// VerifyResult compares what clients received with the ledgers of the stand-ins.
type VerifyResult struct {
	Answered         int      `json:"answered"`
	Refused          int      `json:"refused"` // rejected with a reason
	Unknown          int      `json:"unknown"` // the claim's caller was told that it may have run
	SamplesDelivered int      `json:"samples_delivered"`
	Batches          int      `json:"lots"`
	WeightVersions   int      `json:"weight_versions"`
	Lost             int      `json:"lost"`
	Duplicated       int      `json:"doubled"`
	WrongAnswer      int      `json:"wrong_answer"`
	FalseNotRun      int      `json:"false_not_run"`
	Mislabelled      int      `json:"mislabelled"`
	TooStale         int      `json:"too_stale"`
	CutOff           int      `json:"cut_off"`
	TrainerIdleMS    int64    `json:"trainer_idle_ms"`
	TrainerRunMS     int64    `json:"trainer_run_ms"`
	Problems         []string `json:"-"`
}

// Passed reports whether something was served and nothing was wrong.
func (j *VerifyResult) Passed() bool {
	faults := j.Lost + j.Duplicated + j.WrongAnswer + j.FalseNotRun + j.Mislabelled + j.TooStale + j.CutOff
	return faults == 0 && j.Answered > 0 && j.SamplesDelivered > 0
}

// judge holds the evidence while a run is judged.
type judge struct {
	VerifyResult
	runs       map[string][]*Run // by prompt
	executions map[string]int    // by Idempotency-Key
	versions   map[ledger.Version]bool
}

// Verify compares a run's received answers with the entries of all ledgers.
func Verify(r Received, entries []JournalEntry) *VerifyResult {
	j := &judge{runs: Runs(entries), executions: make(map[string]int), versions: make(map[ledger.Version]bool)}
	for _, e := range entries {
		if e.Kind == EntryRun && e.Key != "" {
			j.executions[e.Key]++
		}
	}
	for i := range r.Answers {
		j.answer(&r.Answers[i])
	}
	for i := range r.Trainers {
		j.trainer(&r.Trainers[i])
	}
	j.WeightVersions = len(j.versions)
	return &j.VerifyResult
}

func (j *judge) count(counter *int, format string, args ...any) {
	*counter++
	if len(j.Problems) < maxProblems {
		j.Problems = append(j.Problems, fmt.Sprintf(format, args...))
	}
}

func (j *judge) answer(a *Answer) {
	ok := a.Status/100 == 2 && !a.Truncated
	if ok {
		j.Answered++
	}
	if a.Kind == KindClaim {
		j.claim(a, ok)
	}
	switch {
	case ok && a.Kind == KindCompletion:
		j.completion(a)
	case ok:
		if a.Text != ServiceAnswer(a.Method, a.Path, []byte(a.Body)) {
			j.count(&j.WrongAnswer, "%s %s: answer %.60q belongs to another request", a.Kind, a.RequestID, a.Text)
		}
	case a.Kind == KindClaim:
	case a.Truncated:
		j.count(&j.CutOff, "%s %s: answer broke off", a.Kind, a.RequestID)
	case a.Status == 0:
		j.count(&j.Lost, "%s %s: no answer after %d attempts", a.Kind, a.RequestID, a.Attempts)
	default:
		j.Refused++
	}
}

// claim checks a request that must run at most once.
func (j *judge) claim(a *Answer, ok bool) {
	runs := j.executions[a.Key]
	if runs > 1 {
		j.count(&j.Duplicated, "claim %s ran %d times", a.Key, runs)
	}
	switch {
	case ok && runs == 0:
		j.count(&j.Lost, "claim %s was confirmed but never ran", a.Key)
	case ok:
	case a.AllNotRun && runs > 0:
		j.count(&j.FalseNotRun, "claim %s ran although every attempt was refused as not run (%s)", a.Key, a.Reason)
	case a.AllNotRun:
		j.Refused++
	default:
		j.Unknown++
	}
}

func (j *judge) completion(a *Answer) {
	want := Completion(a.Prompt, a.MaxTokens)
	if a.Text != TextOf(want) {
		j.count(&j.WrongAnswer, "completion %s has a wrong text", a.RequestID)
		return
	}
	j.labels("completion "+a.RequestID, a.Prompt, a.Ranges, len(want))
}

// labels checks a version label and notes the versions seen.
func (j *judge) labels(name, prompt string, ranges []ledger.Range, tokens int) {
	if err := CheckLabels(j.runs[PromptID(prompt)], ranges, tokens); err != nil {
		j.count(&j.Mislabelled, "%s: %v: %v", name, err, ranges)
		return
	}
	for _, r := range ranges {
		j.versions[r.Version] = true
	}
}

func (j *judge) trainer(t *TrainerLog) {
	j.TrainerIdleMS += t.IdleMS
	j.TrainerRunMS += t.RunMS
	specs := make(map[string]ledger.GroupSpec)
	for _, spec := range t.Submitted {
		specs[spec.ID] = spec
	}
	seen := make(map[string]bool)
	for i := range t.Batches {
		j.Batches++
		for _, s := range t.Batches[i].Samples {
			key := fmt.Sprintf("sample %s/%s/%d", t.Name, s.Group, s.Index)
			spec, known := specs[s.Group]
			switch {
			case !known || s.Index < 0 || s.Index >= spec.Samples:
				j.count(&j.WrongAnswer, "%s was never asked for", key)
			case seen[key]:
				j.count(&j.Duplicated, "%s was delivered again in lot %s", key, t.Batches[i].BatchID)
			default:
				seen[key] = true
				j.sample(key, spec, s, t.Batches[i].TrainerVersion)
			}
		}
	}
	for _, spec := range t.Submitted {
		for index := range spec.Samples {
			if key := fmt.Sprintf("sample %s/%s/%d", t.Name, spec.ID, index); !seen[key] {
				j.count(&j.Lost, "%s was accepted but not delivered", key)
			}
		}
	}
}

func (j *judge) sample(key string, spec ledger.GroupSpec, s BatchSample, version ledger.Version) {
	j.SamplesDelivered++
	want := Completion(spec.Prompt, spec.MaxTokens)
	if s.Text != TextOf(want) {
		j.count(&j.WrongAnswer, "%s has a wrong text", key)
		return
	}
	if spec.Scorer != "" && math.Abs(s.Score-ScoreOf(s.Text)) > scoreTolerance {
		j.count(&j.WrongAnswer, "%s has score %g instead of %g", key, s.Score, ScoreOf(s.Text))
	}
	j.labels(key, spec.Prompt, s.Ranges, len(want))
	if age := ledger.Staleness(s.Ranges, version); age > spec.StalenessBound {
		j.count(&j.TooStale, "%s is %d versions old, bound %d", key, age, spec.StalenessBound)
	}
}
