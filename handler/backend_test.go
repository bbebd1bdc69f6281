package handler

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/standin"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// memoryObjects is an object store in memory.
type memoryObjects map[string]string

func (m memoryObjects) Put(_ context.Context, key string, data []byte) error {
	m[key] = string(data)
	return nil
}

func (m memoryObjects) Get(_ context.Context, key string) ([]byte, bool, error) {
	data, ok := m[key]
	return []byte(data), ok, nil
}

func (m memoryObjects) Delete(_ context.Context, key string) error {
	delete(m, key)
	return nil
}

// TestExpiredOrderIsDropped guards against an order that is sent after the lease
// of its issuer may have expired.
func TestExpiredOrderIsDropped(t *testing.T) {
	orders := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		orders++
		w.WriteHeader(http.StatusAccepted)
	}))
	defer server.Close()
	now := 5 * time.Second
	d := BackendDeps{Client: engine.NewClient(""), Clock: func() time.Duration { return now }}
	order := command.OrderWeights{Backend: "e", Address: strings.TrimPrefix(server.URL, "http://"), Deadline: 6 * time.Second}
	require.Nil(t, d.orderWeights(context.Background(), order).(event.OrderAnswered).Failure)
	require.Equal(t, 1, orders)
	now = 6 * time.Second
	failure := d.orderWeights(context.Background(), order).(event.OrderAnswered).Failure
	require.Equal(t, event.Failure{Verdict: verdict.NotRun, Reason: verdict.ReasonDeadline, Message: failure.Message}, *failure)
	require.Equal(t, 1, orders)
}

// TestForeignStateReport guards against accepting the state report of another
// server that has since been given the same address.
func TestForeignStateReport(t *testing.T) {
	e := echo.New()
	standin.NewPlainService(standin.ServiceOptions{Name: "s1"}).Register(e)
	server := httptest.NewServer(e)
	defer server.Close()
	d := BackendDeps{Client: engine.NewClient("")}
	read := command.ReadState{Backend: "s1", Address: strings.TrimPrefix(server.URL, "http://")}
	report := d.readState(context.Background(), read).(event.StateReported)
	require.Nil(t, report.Failure)
	require.Zero(t, report.State.Active)
	read.Backend = "s2"
	report = d.readState(context.Background(), read).(event.StateReported)
	require.Equal(t, verdict.ReasonForeignAnswer, report.Failure.Reason)
	require.Equal(t, engine.State{}, report.State)
}

// TestScoresFollowSampleIndex guards against a score that is assigned to another
// sample of the group, and against scoring a group with a missing text.
func TestScoresFollowSampleIndex(t *testing.T) {
	e := echo.New()
	standin.NewScoringService(standin.ServiceOptions{Name: "x"}).Register(e)
	server := httptest.NewServer(e)
	defer server.Close()
	objects := memoryObjects{"a": "first", "b": "second"}
	d := BackendDeps{Client: engine.NewClient(""), Objects: objects}
	score := command.ScoreGroup{
		Address: strings.TrimPrefix(server.URL, "http://"), Trainer: "t", Attempt: 2, Spec: ledger.GroupSpec{ID: "g"},
		Samples: []ledger.SampleRecord{{Index: 1, ObjectKey: "b"}, {Index: 0, ObjectKey: "a"}},
	}
	scored := d.scoreGroup(context.Background(), score).(event.GroupScored)
	require.Nil(t, scored.Failure)
	require.Equal(t, []float64{standin.ScoreOf("first"), standin.ScoreOf("second")}, scored.Scores)
	require.NoError(t, objects.Delete(context.Background(), "a"))
	require.NotNil(t, d.scoreGroup(context.Background(), score).(event.GroupScored).Failure)
}
