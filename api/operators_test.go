package api_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/api"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/handler"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/status"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/table"
	"github.com/lavenderstand/lavenderstand/tablestore"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// memoryTables is an in-memory table service. Answers to commits can be lost, either
// before or after the commit takes effect.
type memoryTables struct {
	mu                    sync.Mutex
	rows                  map[string]tablestore.Row
	loseBefore, loseAfter int
}

var errLost = verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "answer lost")

func (m *memoryTables) Commit(_ context.Context, txn tablestore.Txn) (tablestore.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loseBefore > 0 {
		m.loseBefore--
		return tablestore.TxnResult{}, errLost
	}
	for _, c := range txn.If {
		if m.rows[c.Key].Version != c.Version {
			return tablestore.TxnResult{}, nil
		}
	}
	for _, p := range txn.Put {
		m.rows[p.Key] = tablestore.Row{Key: p.Key, Version: m.rows[p.Key].Version + 1, Op: txn.Op, Value: p.Value}
	}
	if m.loseAfter > 0 {
		m.loseAfter--
		return tablestore.TxnResult{}, errLost
	}
	return tablestore.TxnResult{Committed: true}, nil
}

func (m *memoryTables) Get(_ context.Context, key string) (tablestore.Row, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	return row, ok, nil
}

func (m *memoryTables) Scan(context.Context, string) (rows []tablestore.Row, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range m.rows {
		rows = append(rows, row)
	}
	return rows, nil
}

// startOperators serves the operators' calls of a deployment with one host. The host
// runs the production systems with a configuration store in memory.
func startOperators(t *testing.T) (*echo.Echo, *memoryTables) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	inbox, waiters, snapshot := control.NewInbox(64), control.NewWaiters(), new(status.AtomicSnapshot)
	dispatcher := control.NewDispatcher(ctx, inbox, func(command.Command) {})
	handler.RegisterOperators(dispatcher, waiters, snapshot)
	var current event.ConfigRead // accessed only by the executor of CommitConfig, which runs one command at a time
	var author string
	control.Handle(dispatcher, 1, func(context.Context, command.ReadHostRows) event.Event {
		return event.HostRowsRead{Rows: []event.HostRow{{ID: "c1", Host: "c1", Role: "controller"}}}
	})
	control.Handle(dispatcher, 1, func(context.Context, command.WriteHostRow) event.Event { return event.HostRowWritten{} })
	control.Handle(dispatcher, 1, func(_ context.Context, c command.CommitConfig) event.Event {
		committed := c.ExpectedVersion == current.Version
		if committed {
			current, author = event.ConfigRead{Version: c.ExpectedVersion + 1, Body: c.Body}, c.Author
		}
		return event.ConfigCommitted{RequestID: c.RequestID, Committed: committed, Version: current.Version, Author: author, Body: current.Body}
	})
	start := time.Now()
	loop := control.NewLoop(control.Options{
		Tables: table.New(table.Self{ID: "e1", Host: "e1", Role: table.RoleEntry}), Inbox: inbox, Executor: dispatcher,
		Systems: []system.Named{
			{Name: "hosts", Run: system.Hosts(time.Second)},
			{Name: "configuration", Run: system.Configuration(system.ConfigTiming{PollInterval: time.Second, ConfirmWithin: 8 * time.Second, ContactAfter: 3 * time.Second})},
			{Name: "status", Run: system.Status(10 * time.Millisecond)},
		},
		Clock: func() time.Duration { return time.Since(start) },
	})
	done := make(chan struct{})
	go func() { defer close(done); _ = loop.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	tables := &memoryTables{rows: map[string]tablestore.Row{}}
	var op sync.Mutex
	ops := 0
	e := echo.New()
	api.RegisterOperators(e.Group("/v1", func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error { c.Set("principal", "anna"); return next(c) }
	}), &api.OperatorHandlers{Ask: waiters.CallFunc(inbox), Deliver: inbox.Deliver, Status: snapshot, Tables: tables, NewOpID: func() string {
		op.Lock()
		defer op.Unlock()
		ops++
		return fmt.Sprint("op-", ops)
	}})
	// A configuration change is accepted only after the host rows were read.
	require.Eventually(t, func() bool { return len(snapshot.Load().Hosts) == 1 }, 5*time.Second, time.Millisecond)
	return e, tables
}

func do(e *echo.Echo, method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// TestConfigChangeOverHTTP guards against a conflict that does not report the version
// in force, an author that a caller can choose freely, and a change that later reads
// do not return.
func TestConfigChangeOverHTTP(t *testing.T) {
	e, _ := startOperators(t)
	code, body := do(e, "PUT", "/v1/config", `{"expected_version":0,"author":"bob","config":{"classes":{"live":{"latency_ms":500}}}}`)
	require.Equal(t, http.StatusOK, code, body)
	require.JSONEq(t, `{"version":1,"author":"anna (bob)"}`, body)
	code, body = do(e, "PUT", "/v1/config", `{"expected_version":0,"config":{}}`)
	require.Equal(t, http.StatusConflict, code, body)
	var conflict api.ConfigConflict
	require.NoError(t, json.Unmarshal([]byte(body), &conflict))
	require.Equal(t, uint64(1), conflict.Current.Version)
	require.Equal(t, "anna (bob)", conflict.Current.Author)
	require.Equal(t, plan.ClassConfig{LatencyMS: 500}, conflict.Current.Config.Classes["live"])
	require.Equal(t, verdict.NotRun, conflict.Error.Verdict)
	require.Eventually(t, func() bool {
		_, body = do(e, "GET", "/v1/config", "")
		return strings.Contains(body, `"version":1`) && strings.Contains(body, `"latency_ms":500`)
	}, time.Second, 5*time.Millisecond)
}

// TestRacingOperators guards against two accepted changes with the same expected
// version, and against a rejected change without an answer.
func TestRacingOperators(t *testing.T) {
	e, _ := startOperators(t)
	const operators = 20
	codes := make(chan int, operators)
	for i := range operators {
		go func() {
			code, _ := do(e, "PUT", "/v1/config", fmt.Sprintf(`{"expected_version":0,"author":"%d","config":{}}`, i))
			codes <- code
		}()
	}
	count := map[int]int{}
	for range operators {
		count[<-codes]++
	}
	require.Equal(t, map[int]int{http.StatusOK: 1, http.StatusConflict: operators - 1}, count)
}

// TestBadConfigIsRefused guards against a configuration that refers to undefined
// names, and against unknown keys that are silently ignored.
func TestBadConfigIsRefused(t *testing.T) {
	e, _ := startOperators(t)
	for body, want := range map[string]string{
		`{"expected_version":0,"config":{"routes":{"r":{"service":"s","class":"none"}}}}`:        `class \"none\" is not defined`,
		`{"expected_version":0,"config":{"trainers":{"m":{"class":"none"}}}}`:                    "trainers.m.model: is missing",
		`{"expected_version":0,"config":{"classes":{"c":{"latency_ms":5,"on_time_share":1.5}}}}`: "on_time_share: 1.5 is not in 0 to 1",
		`{"expected_version":0,"config":{"policy":{"routing":"random"}}}`:                        `policy.routing: \"random\" is not one of`,
		`{"expected_version":0,"config":{"classes":{"c":{"latency":5}}}}`:                        "unknown field",
		`{"config":{}}`: "expected_version is missing",
		`{"expected_version":0,"config":{}}{"config":1}`: "more than one value",
	} {
		code, answer := do(e, "PUT", "/v1/config", body)
		require.Equal(t, http.StatusBadRequest, code, answer)
		require.Contains(t, answer, want)
	}
}

// TestWeightsOutcomeIsReadBack guards against a lost answer that is reported as a
// failure, a change that is applied twice, and a version that decreases.
func TestWeightsOutcomeIsReadBack(t *testing.T) {
	e, tables := startOperators(t)
	put := func(version, expected int) (int, string) {
		return do(e, "PUT", "/v1/weights/dial", fmt.Sprintf(`{"version":%d,"expected_version":%d}`, version, expected))
	}
	code, body := put(3, 0)
	require.Equal(t, 200, code, body)
	tables.loseAfter = 1
	code, body = put(4, 3)
	require.Equal(t, 200, code, body)
	tables.loseBefore = 2
	code, body = put(5, 4)
	require.Equal(t, 200, code, body)
	require.Equal(t, uint64(3), tables.rows["weights/dial"].Version) // one write per change
	code, body = put(6, 3)
	require.Equal(t, 409, code, body)
	require.Contains(t, body, `"current":{"model":"dial","version":5}`)
	code, body = put(4, 5)
	require.Equal(t, 400, code, body)
	_, body = do(e, "GET", "/v1/weights", "")
	require.JSONEq(t, `[{"model":"dial","version":5}]`, body)
}
