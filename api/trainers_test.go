package api

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// fakeController returns the batches in order and confirms the attempts in confirmable.
type fakeController struct {
	batches     []*ledger.BatchRecord
	confirmable map[int]bool // by attempt
	pulls       []peer.PullRequest
	submits     [][]ledger.GroupSpec
	err         error
}

func (f *fakeController) SubmitGroups(_ context.Context, _ string, groups []ledger.GroupSpec) ([]string, error) {
	f.submits = append(f.submits, groups)
	return []string{groups[0].ID}, f.err
}

func (f *fakeController) DeclareVersion(_ context.Context, _ string, v ledger.Version) (ledger.Version, error) {
	return v + 1, f.err
}

func (f *fakeController) PullBatch(_ context.Context, _ string, p peer.PullRequest) (*ledger.BatchRecord, error) {
	f.pulls = append(f.pulls, p)
	if len(f.batches) == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "none")
	}
	batch := f.batches[0]
	f.batches = f.batches[1:]
	return batch, f.err
}

func (f *fakeController) ConfirmBatch(_ context.Context, _ string, _ int64, attempt int) (ledger.Version, error) {
	if !f.confirmable[attempt] {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "stale")
	}
	return 7, nil
}

type fakeObjects map[string]string

func (o fakeObjects) Put(context.Context, string, []byte) error { return errors.New("unused") }
func (o fakeObjects) Delete(context.Context, string) error      { return errors.New("unused") }
func (o fakeObjects) Get(_ context.Context, key string) ([]byte, bool, error) {
	text, ok := o[key]
	return []byte(text), ok, nil
}

func request(t *testing.T, controller *fakeController, objects fakeObjects, method, path, body string) (int, string) {
	t.Helper()
	e := echo.New()
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			c.Set("principal", "t1")
			return next(c)
		}
	})
	(&TrainerHandlers{Controller: controller, Objects: objects, MaxBodyBytes: 2000}).Register(e)
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Code, recorder.Body.String()
}

func newBatch(attempt int, key string) *ledger.BatchRecord {
	return &ledger.BatchRecord{Trainer: "t1", Step: 2, Attempt: attempt, Samples: []ledger.BatchSample{{
		Score:        1.5,
		SampleRecord: ledger.SampleRecord{Group: "g", Index: 3, ObjectKey: key, FinishedUnixMS: time.Now().Add(-time.Minute).UnixMilli(), Ranges: []ledger.Range{{From: 0, To: 4, Version: 6}}},
	}}}
}

// TestPullConfirmsBeforeDelivery guards against the delivery of a batch that was
// replaced, whether a refused confirmation or a missing text reveals it.
func TestPullConfirmsBeforeDelivery(t *testing.T) {
	controller := &fakeController{
		batches:     []*ledger.BatchRecord{newBatch(1, "gone"), newBatch(2, "k2"), newBatch(3, "k3")},
		confirmable: map[int]bool{1: true, 3: true},
	}
	code, body := request(t, controller, fakeObjects{"k2": "old", "k3": "new"}, http.MethodPost,
		"/v1/trainers/t1/pull", `{"step":2,"version":7,"groups":1,"wait_ms":5000}`)
	require.Equal(t, http.StatusOK, code, body)
	require.JSONEq(t, `{"lot_id":"t1/2/3","step":2,"attempt":3,"checked_version":7,"samples":[{"group":"g","index":3,
		"text":"new","ranges":[{"from":0,"to":4,"version":6}],"score":1.5,"staleness":1,"age_ms":60000}]}`,
		regexp.MustCompile(`"age_ms":60\d{3}`).ReplaceAllString(body, `"age_ms":60000`))
	require.Len(t, controller.pulls, 3)
	require.LessOrEqual(t, controller.pulls[2].Wait, 5*time.Second)
}

// TestPullNotReady guards against an error response where the trainer only has to
// repeat the pull.
func TestPullNotReady(t *testing.T) {
	code, body := request(t, &fakeController{}, nil, http.MethodPost, "/v1/trainers/t1/pull", `{"step":1,"version":1,"groups":1,"wait_ms":0}`)
	require.Equal(t, http.StatusAccepted, code)
	require.JSONEq(t, `{"reason":"not_ready"}`, body)
}

// TestTrainerRefusals guards against calls on behalf of another trainer, and against
// input that would produce invalid row keys or exceed limits.
func TestTrainerRefusals(t *testing.T) {
	group := `{"id":"g","model":"m","prompt":"p","samples":2,"max_tokens":8,"staleness_bound":1}`
	for name, c := range map[string]struct {
		path, body string
		status     int
	}{
		"other trainer":    {"/v1/trainers/t2/groups", `{"groups":[` + group + `]}`, http.StatusForbidden},
		"slash in id":      {"/v1/trainers/t1/groups", `{"groups":[` + strings.Replace(group, `"g"`, `"a/b"`, 1) + `]}`, http.StatusBadRequest},
		"no samples":       {"/v1/trainers/t1/groups", `{"groups":[` + strings.Replace(group, `"samples":2`, `"samples":0`, 1) + `]}`, http.StatusBadRequest},
		"negative bound":   {"/v1/trainers/t1/groups", `{"groups":[` + strings.Replace(group, `bound":1`, `bound":-1`, 1) + `]}`, http.StatusBadRequest},
		"no groups":        {"/v1/trainers/t1/groups", `{"groups":[]}`, http.StatusBadRequest},
		"not JSON":         {"/v1/trainers/t1/groups", `groups`, http.StatusBadRequest},
		"body too large":   {"/v1/trainers/t1/groups", `{"groups":"` + strings.Repeat("x", 3000) + `"}`, http.StatusRequestEntityTooLarge},
		"pull of step 0":   {"/v1/trainers/t1/pull", `{"step":0,"version":1,"groups":1}`, http.StatusBadRequest},
		"pull of 0 groups": {"/v1/trainers/t1/pull", `{"step":1,"version":1,"groups":0}`, http.StatusBadRequest},
	} {
		code, body := request(t, &fakeController{}, nil, http.MethodPost, c.path, c.body)
		require.Equal(t, c.status, code, "%s: %s", name, body)
		require.Contains(t, body, `"verdict":"not_run"`, name)
	}
	code, body := request(t, &fakeController{}, nil, http.MethodPost, "/v1/trainers/t1/groups", `{"groups":[`+group+`]}`)
	require.Equal(t, http.StatusOK, code, body)
}

// TestDeclareAnswersVersionInForce guards against a response that returns the declared
// version although a higher version is in force.
func TestDeclareAnswersVersionInForce(t *testing.T) {
	code, body := request(t, &fakeController{}, nil, http.MethodPut, "/v1/trainers/t1/version", `{"version":3}`)
	require.Equal(t, http.StatusOK, code)
	require.JSONEq(t, `{"version":4}`, body)
	code, _ = request(t, &fakeController{}, nil, http.MethodPut, "/v1/trainers/t1/version", `{"version":0}`)
	require.Equal(t, http.StatusBadRequest, code)
}
