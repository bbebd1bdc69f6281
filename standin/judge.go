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
func (r *VerifyResult) Passed() bool {
	faults := r.Lost + r.Duplicated + r.WrongAnswer + r.FalseNotRun + r.Mislabelled + r.TooStale + r.CutOff
	return faults == 0 && r.Answered > 0 && r.SamplesDelivered > 0
}

// verifier holds the evidence while a run is judged.
type verifier struct {
	VerifyResult
	runs       map[string][]*Run // by prompt
	executions map[string]int    // by Idempotency-Key
	versions   map[ledger.Version]bool
}

// Verify compares a run's received answers with the entries of all ledgers.
func Verify(r Received, entries []JournalEntry) *VerifyResult {
	v := &verifier{runs: Runs(entries), executions: make(map[string]int), versions: make(map[ledger.Version]bool)}
	for _, e := range entries {
		if e.Kind == EntryRun && e.Key != "" {
			v.executions[e.Key]++
		}
	}
	for i := range r.Answers {
		v.checkAnswer(&r.Answers[i])
	}
	for i := range r.Trainers {
		v.checkTrainer(&r.Trainers[i])
	}
	v.WeightVersions = len(v.versions)
	return &v.VerifyResult
}

func (v *verifier) addProblem(counter *int, format string, args ...any) {
	*counter++
	if len(v.Problems) < maxProblems {
		v.Problems = append(v.Problems, fmt.Sprintf(format, args...))
	}
}

func (v *verifier) checkAnswer(a *Answer) {
	ok := a.Status/100 == 2 && !a.Truncated
	if ok {
		v.Answered++
	}
	if a.Kind == KindClaim {
		v.checkClaim(a, ok)
	}
	switch {
	case ok && a.Kind == KindCompletion:
		v.checkCompletion(a)
	case ok:
		if a.Text != ServiceAnswer(a.Method, a.Path, []byte(a.Body)) {
			v.addProblem(&v.WrongAnswer, "%s %s: answer %.60q belongs to another request", a.Kind, a.RequestID, a.Text)
		}
	case a.Kind == KindClaim:
	case a.Truncated:
		v.addProblem(&v.CutOff, "%s %s: answer broke off", a.Kind, a.RequestID)
	case a.Status == 0:
		v.addProblem(&v.Lost, "%s %s: no answer after %d attempts", a.Kind, a.RequestID, a.Attempts)
	default:
		v.Refused++
	}
}

// checkClaim checks a request that must run at most once.
func (v *verifier) checkClaim(a *Answer, ok bool) {
	runs := v.executions[a.Key]
	if runs > 1 {
		v.addProblem(&v.Duplicated, "claim %s ran %d times", a.Key, runs)
	}
	switch {
	case ok && runs == 0:
		v.addProblem(&v.Lost, "claim %s was confirmed but never ran", a.Key)
	case ok:
	case a.AllNotRun && runs > 0:
		v.addProblem(&v.FalseNotRun, "claim %s ran although every attempt was refused as not run (%s)", a.Key, a.Reason)
	case a.AllNotRun:
		v.Refused++
	default:
		v.Unknown++
	}
}

func (v *verifier) checkCompletion(a *Answer) {
	want := Completion(a.Prompt, a.MaxTokens)
	if a.Text != TextOf(want) {
		v.addProblem(&v.WrongAnswer, "completion %s has a wrong text", a.RequestID)
		return
	}
	v.checkLabels("completion "+a.RequestID, a.Prompt, a.Ranges, len(want))
}

// checkLabels checks a version label and notes the versions seen.
func (v *verifier) checkLabels(name, prompt string, ranges []ledger.Range, tokens int) {
	if err := CheckLabels(v.runs[PromptID(prompt)], ranges, tokens); err != nil {
		v.addProblem(&v.Mislabelled, "%s: %v: %v", name, err, ranges)
		return
	}
	for _, r := range ranges {
		v.versions[r.Version] = true
	}
}

func (v *verifier) checkTrainer(t *TrainerLog) {
	v.TrainerIdleMS += t.IdleMS
	v.TrainerRunMS += t.RunMS
	specs := make(map[string]ledger.GroupSpec)
	for _, spec := range t.Submitted {
		specs[spec.ID] = spec
	}
	seen := make(map[string]bool)
	for i := range t.Batches {
		v.Batches++
		for _, s := range t.Batches[i].Samples {
			key := fmt.Sprintf("sample %s/%s/%d", t.Name, s.Group, s.Index)
			spec, known := specs[s.Group]
			switch {
			case !known || s.Index < 0 || s.Index >= spec.Samples:
				v.addProblem(&v.WrongAnswer, "%s was never asked for", key)
			case seen[key]:
				v.addProblem(&v.Duplicated, "%s was delivered again in lot %s", key, t.Batches[i].BatchID)
			default:
				seen[key] = true
				v.checkSample(key, spec, s, t.Batches[i].TrainerVersion)
			}
		}
	}
	for _, spec := range t.Submitted {
		for index := range spec.Samples {
			if key := fmt.Sprintf("sample %s/%s/%d", t.Name, spec.ID, index); !seen[key] {
				v.addProblem(&v.Lost, "%s was accepted but not delivered", key)
			}
		}
	}
}

func (v *verifier) checkSample(key string, spec ledger.GroupSpec, s BatchSample, version ledger.Version) {
	v.SamplesDelivered++
	want := Completion(spec.Prompt, spec.MaxTokens)
	if s.Text != TextOf(want) {
		v.addProblem(&v.WrongAnswer, "%s has a wrong text", key)
		return
	}
	if spec.Scorer != "" && math.Abs(s.Score-ScoreOf(s.Text)) > scoreTolerance {
		v.addProblem(&v.WrongAnswer, "%s has score %g instead of %g", key, s.Score, ScoreOf(s.Text))
	}
	v.checkLabels(key, spec.Prompt, s.Ranges, len(want))
	if age := ledger.Staleness(s.Ranges, version); age > spec.StalenessBound {
		v.addProblem(&v.TooStale, "%s is %d versions old, bound %d", key, age, spec.StalenessBound)
	}
}
