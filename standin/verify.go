package standin

import (
	"fmt"
	"math"

	"github.com/lavenderstand/lavenderstand/ledger"
)

const (
	maxProblems    = 20   // problems described in a VerifyResult; all are counted
	scoreTolerance = 1e-9 // absolute difference of two equal scores
)

// VerifyResult is the result of a comparison of the answers that clients received
// with the ledgers of the fakes.
type VerifyResult struct {
	Answered         int      `json:"answered"`          // caller requests that succeeded
	Refused          int      `json:"refused"`           // caller requests rejected with a reason
	Unknown          int      `json:"unknown"`           // claims whose caller was told that they may have run
	SamplesDelivered int      `json:"samples_delivered"` // to trainers
	Batches          int      `json:"lots"`              // batches that trainers received
	WeightVersions   int      `json:"weight_versions"`   // different versions in correct labels
	Lost             int      `json:"lost"`              // requests without an answer, claims confirmed but not run, samples not delivered
	Duplicated       int      `json:"doubled"`           // claims run and samples delivered more than once
	WrongAnswer      int      `json:"wrong_answer"`      // answers or samples with wrong content
	FalseNotRun      int      `json:"false_not_run"`     // claims that ran although all attempts were reported as not run
	Mislabelled      int      `json:"mislabelled"`       // version labels that differ from the ledgers
	TooStale         int      `json:"too_stale"`         // samples beyond their staleness bound
	CutOff           int      `json:"cut_off"`           // answers that broke off
	TrainerIdleMS    int64    `json:"trainer_idle_ms"`   // sum over all trainers
	TrainerRunMS     int64    `json:"trainer_run_ms"`    // sum over all trainers
	Problems         []string `json:"-"`                 // descriptions of the first problems
}

// Passed reports whether at least one caller request and one sample were served
// and no problem was found.
func (r *VerifyResult) Passed() bool {
	problems := r.Lost + r.Duplicated + r.WrongAnswer + r.FalseNotRun + r.Mislabelled + r.TooStale + r.CutOff
	return problems == 0 && r.Answered > 0 && r.SamplesDelivered > 0
}

// verifier holds the state of one call of Verify.
type verifier struct {
	VerifyResult
	runs       map[string][]*Run       // by PromptID
	executions map[string]int          // by Idempotency-Key
	versions   map[ledger.Version]bool // seen in correct labels
}

// Verify compares what clients received in a run with the entries of all ledgers.
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

// addProblem increments a counter of the result and describes the problem.
func (v *verifier) addProblem(counter *int, format string, args ...any) {
	*counter++
	if len(v.Problems) < maxProblems {
		v.Problems = append(v.Problems, fmt.Sprintf(format, args...))
	}
}

// checkAnswer checks the answer to a caller request.
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
			v.addProblem(&v.WrongAnswer, "%s %s: answer %.60q does not match the request", a.Kind, a.RequestID, a.Text)
		}
	case a.Kind == KindClaim:
	case a.Truncated:
		v.addProblem(&v.CutOff, "%s %s: response ended early", a.Kind, a.RequestID)
	case a.Status == 0:
		v.addProblem(&v.Lost, "%s %s: no answer after %d attempts", a.Kind, a.RequestID, a.Attempts)
	default:
		v.Refused++
	}
}

// checkClaim checks a claim, which must run at most once.
func (v *verifier) checkClaim(a *Answer, ok bool) {
	runs := v.executions[a.Key]
	if runs > 1 {
		v.addProblem(&v.Duplicated, "claim %s ran %d times, expected at most once", a.Key, runs)
	}
	switch {
	case ok && runs == 0:
		v.addProblem(&v.Lost, "claim %s was answered with success but never ran", a.Key)
	case ok:
	case a.AllNotRun && runs > 0:
		v.addProblem(&v.FalseNotRun, "claim %s ran although every attempt was rejected with verdict not_run (reason %s)", a.Key, a.Reason)
	case a.AllNotRun:
		v.Refused++
	default:
		v.Unknown++
	}
}

func (v *verifier) checkCompletion(a *Answer) {
	want := Completion(a.Prompt, a.MaxTokens)
	if a.Text != TextOf(want) {
		v.addProblem(&v.WrongAnswer, "completion %s has the wrong text", a.RequestID)
		return
	}
	v.checkLabels("completion "+a.RequestID, a.Prompt, a.Ranges, len(want))
}

// checkLabels checks the version label of a completion and records its versions.
func (v *verifier) checkLabels(name, prompt string, ranges []ledger.Range, tokens int) {
	if err := CheckLabels(v.runs[PromptID(prompt)], ranges, tokens); err != nil {
		v.addProblem(&v.Mislabelled, "%s: %v: %v", name, err, ranges)
		return
	}
	for _, r := range ranges {
		v.versions[r.Version] = true
	}
}

// checkTrainer checks that each submitted sample was delivered exactly once.
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
				v.addProblem(&v.WrongAnswer, "%s was delivered but not requested", key)
			case seen[key]:
				v.addProblem(&v.Duplicated, "%s was delivered again in batch %s", key, t.Batches[i].BatchID)
			default:
				seen[key] = true
				v.checkSample(key, spec, s, t.Batches[i].TrainerVersion)
			}
		}
	}
	for _, spec := range t.Submitted {
		for index := range spec.Samples {
			if key := fmt.Sprintf("sample %s/%s/%d", t.Name, spec.ID, index); !seen[key] {
				v.addProblem(&v.Lost, "%s was accepted but never delivered", key)
			}
		}
	}
}

func (v *verifier) checkSample(key string, spec ledger.GroupSpec, s BatchSample, version ledger.Version) {
	v.SamplesDelivered++
	want := Completion(spec.Prompt, spec.MaxTokens)
	if s.Text != TextOf(want) {
		v.addProblem(&v.WrongAnswer, "%s has the wrong text", key)
		return
	}
	if spec.Scorer != "" && math.Abs(s.Score-ScoreOf(s.Text)) > scoreTolerance {
		v.addProblem(&v.WrongAnswer, "%s has score %g, expected %g", key, s.Score, ScoreOf(s.Text))
	}
	v.checkLabels(key, spec.Prompt, s.Ranges, len(want))
	if age := ledger.Staleness(s.Ranges, version); age > spec.StalenessBound {
		v.addProblem(&v.TooStale, "%s is stale by %d versions, bound is %d", key, age, spec.StalenessBound)
	}
}
