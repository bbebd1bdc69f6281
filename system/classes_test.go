package system_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/system"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestStoreOutageTakesNoShare guards against an outage of the table service that
// reduces the shares of lower classes because claims are refused during it.
func TestStoreOutageTakesNoShare(t *testing.T) {
	s := newSession(system.Classes())
	s.Tables.Config.Body.Classes = map[string]plan.ClassConfig{
		"rollout": {StalenessBound: 4}, "live": {LatencyMS: 200, OnTimeShare: 0.99},
	}
	for i := range 5 {
		s.Step(time.Duration(i)*2*time.Second,
			event.RequestEnded{Class: "live", Verdict: verdict.NotRun, Reason: verdict.ReasonStoreUnavailable},
			event.RequestEnded{Class: "live", Verdict: verdict.Ran, Latency: 100 * ms})
	}
	require.Equal(t, 1.0, s.Tables.Classes.Find("rollout").Share)
}
