package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestRetryAfterFollowsTheCause guards against a constant Retry-After, with which all callers
// that were refused in an outage come back at the same time and before its end.
func TestRetryAfterFollowsTheCause(t *testing.T) {
	refused := func(reason verdict.Reason) error { return verdict.New(verdict.NotRun, reason, "refused") }
	for _, c := range []struct {
		err      error
		outage   time.Duration
		min, max time.Duration
	}{
		{refused(verdict.ReasonDraining), 0, 0, 0},
		{refused(verdict.ReasonNotReady), 0, 100 * time.Millisecond, 300 * time.Millisecond},
		{refused(verdict.ReasonStoreUnavailable), 0, 100 * time.Millisecond, 300 * time.Millisecond},
		{refused(verdict.ReasonStoreUnavailable), 2 * time.Second, time.Second, 3 * time.Second},
		{refused(verdict.ReasonStoreUnavailable), time.Hour, 1500 * time.Millisecond, 4500 * time.Millisecond},
		{verdict.WithRetryAfter(verdict.New(verdict.NotRun, verdict.ReasonOverload, "full"), 70*time.Millisecond), 0, 70 * time.Millisecond, 70 * time.Millisecond},
	} {
		require.InDelta(t, c.min, retryAfter(c.err, c.outage, 0), float64(time.Millisecond), verdict.Message(c.err))
		require.InDelta(t, c.max, retryAfter(c.err, c.outage, 1), float64(time.Millisecond), verdict.Message(c.err))
	}
}
