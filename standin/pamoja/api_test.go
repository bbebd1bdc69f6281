package pamoja_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/standin/pamoja"
	"github.com/lavenderstand/lavenderstand/transport"
	"github.com/lavenderstand/lavenderstand/verdict"
)

func dutyClient(t *testing.T, a *pamoja.API, holder string) *platform.DutyClient {
	server := httptest.NewServer(a)
	t.Cleanup(server.Close)
	client := transport.NewClientWith(transport.Options{SingleUse: true})
	return &platform.DutyClient{HTTP: client, Address: strings.TrimPrefix(server.URL, "http://"), Holder: holder}
}

// TestAPIFindsViolations guards against a stand-in that accepts what the platform forbids.
func TestAPIFindsViolations(t *testing.T) {
	a := &pamoja.API{LeaseTime: time.Second}
	one, two := dutyClient(t, a, "one"), dutyClient(t, a, "two")
	counts := map[string]int64{"a": 1}
	require.NoError(t, one.ReportUsage(t.Context(), 5, 7, counts))
	require.NoError(t, one.ReportUsage(t.Context(), 5, 7, counts))
	require.Empty(t, a.Violations(), "an exact repeat")
	require.NoError(t, two.ReportUsage(t.Context(), 6, 7, map[string]int64{"a": 2}))
	require.NoError(t, one.ReportUsage(t.Context(), 5, 7, counts))
	found := strings.Join(a.Violations(), "; ")
	for _, want := range []string{"window 7 was reported with", "token 5 after one with 6", "order one, two, one"} {
		require.Contains(t, found, want)
	}
}

// TestAPIFaults guards against answers that the client of the API does not understand.
func TestAPIFaults(t *testing.T) {
	for name, test := range map[string]struct {
		api      *pamoja.API
		reason   verdict.Reason
		verdict  verdict.Verdict
		accepted int // of two calls to order servers
	}{
		"fence":       {&pamoja.API{CheckFence: true}, verdict.ReasonConflict, verdict.NotRun, 1},
		"rate":        {&pamoja.API{PerSecond: 1}, verdict.ReasonRateLimited, verdict.NotRun, 1},
		"down":        {&pamoja.API{Fault: always(pamoja.APIFault{Down: true})}, verdict.ReasonPlatformUnavailable, verdict.NotRun, 0},
		"no servers":  {&pamoja.API{Fault: always(pamoja.APIFault{NoServers: true})}, verdict.ReasonConflict, verdict.NotRun, 0},
		"lost answer": {&pamoja.API{Fault: always(pamoja.APIFault{LoseAnswer: true})}, verdict.ReasonConnectionLost, verdict.MayHaveRun, 2},
		"reset":       {&pamoja.API{Fault: always(pamoja.APIFault{Reset: true})}, verdict.ReasonConnectionLost, verdict.MayHaveRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := dutyClient(t, test.api, "h")
			for time.Now().Nanosecond() > int(800*time.Millisecond) { // both calls fall into one second
				time.Sleep(50 * time.Millisecond)
			}
			_ = c.OrderServers(t.Context(), 5, "s", "z", 3, true)
			err := c.OrderServers(t.Context(), 4, "s", "z", 3, true)
			require.Equal(t, test.reason, verdict.ReasonOf(err))
			require.Equal(t, test.verdict, verdict.Of(err))
			require.Len(t, test.api.Accepted(), test.accepted)
			if test.reason == verdict.ReasonPlatformUnavailable {
				require.Equal(t, 2, test.api.Answered(http.StatusServiceUnavailable))
			}
		})
	}
}

func always(f pamoja.APIFault) func(pamoja.APICall) pamoja.APIFault {
	return func(pamoja.APICall) pamoja.APIFault { return f }
}
