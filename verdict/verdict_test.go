package verdict_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// TestPlainErrorMayHaveRun guards against an error without a verdict that is treated as
// NotRun.
func TestPlainErrorMayHaveRun(t *testing.T) {
	require.Equal(t, verdict.MayHaveRun, verdict.Of(errors.New("reset")))
	require.Equal(t, verdict.ReasonUnknown, verdict.ReasonOf(errors.New("reset")))
	require.Equal(t, verdict.Ran, verdict.Of(nil))
	var zero verdict.Verdict
	require.False(t, zero.Retryable(false))
}

// TestVerdictSurvivesWrapping guards against losing the verdict when an error is wrapped.
func TestVerdictSurvivesWrapping(t *testing.T) {
	err := verdict.New(verdict.NotRun, verdict.ReasonOverload, "queue is full")
	wrapped := fmt.Errorf("class live: %w", err)
	require.Equal(t, verdict.NotRun, verdict.Of(wrapped))
	require.Equal(t, verdict.ReasonOverload, verdict.ReasonOf(wrapped))
	outer := verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionLost, "attempt 2")
	require.Equal(t, verdict.MayHaveRun, verdict.Of(outer))
}

// TestMessageNamesCausesWithoutTypes guards against error types in messages to callers,
// and against messages that omit causes.
func TestMessageNamesCausesWithoutTypes(t *testing.T) {
	cause := verdict.Wrap(errors.New("reset"), verdict.MayHaveRun, verdict.ReasonConnectionLost, "call backend server")
	err := verdict.Wrap(cause, verdict.MayHaveRun, verdict.ReasonBackendFailed, "attempt 2")
	require.Equal(t, "attempt 2: call backend server: reset", verdict.Message(err))
	require.Equal(t, "class live: "+cause.Error(), verdict.Message(fmt.Errorf("class live: %w", cause)))
	require.Empty(t, verdict.Message(nil))
}

// TestVerdictText guards against accepting an unknown verdict in a message, and against a
// verdict that changes when it is encoded and decoded.
func TestVerdictText(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		data, err := json.Marshal(v)
		require.NoError(t, err)
		var back verdict.Verdict
		require.NoError(t, json.Unmarshal(data, &back))
		require.Equal(t, v, back)
	}
	var v verdict.Verdict
	require.Error(t, json.Unmarshal([]byte(`"maybe"`), &v))
}

// A non-idempotent request may be sent again if the connection was refused, but not if
// its answer was lost.
func Example() {
	refused := verdict.New(verdict.NotRun, verdict.ReasonConnectFailed, "connection refused")
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "connection reset")
	const idempotent = false
	fmt.Println(verdict.Of(refused), verdict.Of(refused).Retryable(idempotent))
	fmt.Println(verdict.Of(lost), verdict.Of(lost).Retryable(idempotent))
	// Output:
	// not_run true
	// may_have_run false
}
