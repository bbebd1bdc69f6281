package telemetry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/settings"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestMetricsAreServed guards against a counter that is kept but not served, or is served
// without the tag that states its reason.
func TestMetricsAreServed(t *testing.T) {
	m := NewMetrics(map[string]string{"host": "e1"}, func(err error) { t.Error(err) })
	counters := NewCounters(m.Scope)
	counters.Refused("live", verdict.ReasonOverload)
	counters.Refused("live", verdict.ReasonOverload)
	counters.Retried("live", verdict.ReasonConnectFailed)
	counters.Answered("live", 3*time.Millisecond)
	inbox := control.NewInbox(1)
	for range 3 {
		inbox.Post(event.AttemptEnded{})
	}
	counted := map[string]uint64{}
	countDropped(m.Scope, inbox.DroppedByKind(), counted)
	countDropped(m.Scope, inbox.DroppedByKind(), counted)
	ObserveTicks(m.Scope)("tick", time.Millisecond)
	core, logs := observer.New(zap.InfoLevel)
	dispatcher := control.NewDispatcher(context.Background(), inbox, func(command.Command) { t.Error("command without executor") })
	Register(dispatcher, m.Scope, zap.New(core))
	dispatcher.Execute(command.Count{Counter: "config_unconfirmed", Delta: 2})
	dispatcher.Execute(command.LogChange{Message: "readiness changed", Fields: []command.Field{{Key: "ready", Value: "true"}}})
	require.NoError(t, m.Close())

	w := httptest.NewRecorder()
	m.Handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`lavender_refused_total{class="live",host="e1",reason="overload"} 2`,
		`lavender_retried_total{class="live",host="e1",reason="connect_failed"} 1`,
		`lavender_answered_seconds_count{class="live",host="e1"} 1`,
		`lavender_inbox_dropped_total{event="attempt_ended",host="e1"} 2`,
		`lavender_tick_seconds_count{host="e1",step="tick"} 1`,
		`lavender_config_unconfirmed_total{host="e1"} 2`,
		"process_cpu_seconds_total", "process_resident_memory_bytes",
	} {
		require.Contains(t, w.Body.String(), line)
	}
	require.Equal(t, 1, logs.FilterField(zap.String("ready", "true")).Len())
}

// TestLoggerRefusesUnknownLevel guards against an unknown log level that is silently replaced
// by a default.
func TestLoggerRefusesUnknownLevel(t *testing.T) {
	_, err := NewLogger(settings.Log{Level: "loud"})
	require.Error(t, err)
	_, err = NewLogger(settings.Log{Level: "warn", Format: "console"})
	require.NoError(t, err)
}
